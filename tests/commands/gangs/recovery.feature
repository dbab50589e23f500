Feature: A new decider adopts, completes or stops what it finds

  Scenario Outline: A gang recorded as <state> whose members are found as <found>
    When a gang recorded as "<state>" is found with the members "<found>"
    Then the new decider chooses "<choice>"

    Examples: adopting a gang that may be whole
      | state    | found                    | choice        |
      | running  | running running          | AdoptGang     |
      | starting | running running          | AdoptGang     |
      | running  | running finished         | AdoptGang     |
      | running  | running unreachable      | AdoptGang     |

    Examples: completing a start
      | state    | found                    | choice        |
      | starting | reserved reserved        | ResumeStart |
      | starting | running reserved         | ResumeStart |

    Examples: stopping what can't be whole
      | state    | found                    | choice        |
      | starting | running unreachable      | StopAttempt   |
      | starting | reserved missing         | StopAttempt   |
      | starting | missing missing          | StopAttempt   |
      | running  | running missing          | StopAttempt   |
      | running  | running failed           | StopAttempt   |
      | running  | running stopped          | StopAttempt   |
      | running  | running reserved         | StopAttempt   |
      | running  | finished finished        | StopAttempt   |
      | stopping | running running          | StopAttempt   |
      | running  |                          | StopAttempt   |

    Examples: nothing to do
      | state     | found                   | choice        |
      | accepted  | missing missing         | NothingToRecover   |
      | cancelled | missing missing         | NothingToRecover   |

  Scenario: A member of an older attempt is a stray
    Given a worker that holds leases of the attempts 1 and 2 of a job
    When the gang of the attempt 2 is held
    Then the stray leases are those of the attempt 1
