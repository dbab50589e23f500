Feature: A new decider adopts, resumes or stops the gangs that it finds

  # Guards against stopping a gang that runs whole, and against keeping a part of a gang
  # running, after another daemon became the decider.
  Scenario Outline: A gang recorded as <state> whose members are found as <found>
    When a gang recorded as "<state>" is found with the members "<found>"
    Then the new decider chooses "<choice>"

    Examples: adopting a gang of which no member is known to be lost
      | state    | found                    | choice           |
      | running  | running running          | AdoptGang        |
      | starting | running running          | AdoptGang        |
      | running  | running finished         | AdoptGang        |
      | running  | running unreachable      | AdoptGang        |

    Examples: resuming an interrupted start
      | state    | found                    | choice           |
      | starting | reserved reserved        | ResumeStart      |
      | starting | running reserved         | ResumeStart      |

    Examples: stopping a gang that is incomplete or was being stopped
      | state    | found                    | choice           |
      | starting | running unreachable      | StopAttempt      |
      | starting | reserved missing         | StopAttempt      |
      | starting | missing missing          | StopAttempt      |
      | running  | running missing          | StopAttempt      |
      | running  | running failed           | StopAttempt      |
      | running  | running stopped          | StopAttempt      |
      | running  | running reserved         | StopAttempt      |
      | running  | finished finished        | StopAttempt      |
      | stopping | running running          | StopAttempt      |
      | running  |                          | StopAttempt      |

    Examples: jobs without tasks
      | state     | found                   | choice           |
      | accepted  | missing missing         | NothingToRecover |
      | cancelled | missing missing         | NothingToRecover |

  # Guards against tasks of an earlier attempt that keep their worker occupied.
  Scenario: The lease of an earlier attempt is orphaned
    Given a worker holds leases of attempts 1 and 2 of a job
    When the decider holds the gang of attempt 2
    Then the orphaned leases are those of attempt 1
