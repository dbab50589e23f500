Feature: A cancelled id never starts, whenever its job is stored

  # Guards against a job that starts although its client was told that nothing will run:
  # its submission got no response and was stored late.
  Scenario Outline: A job that is stored <time> its id was cancelled is <state>
    Given the id of a job of the queue "renders" that is stored <time> its cancellation
    When it is cancelled through <queues>
    Then the job is "<state>"

    Examples:
      | time   | queues                                        | state     |
      | after  | the queue "renders"                           | cancelled |
      | before | the queue "renders"                           | cancelled |
      | after  | the queues "quotes" and "renders"             | cancelled |
      | before | the queues "quotes" and "renders"             | cancelled |
      | after  | a daemon of an earlier version                | cancelled |
      | before | a daemon of an earlier version                | cancelled |

  # Guards against an accepted job that is lost because a client of another queue cancels
  # the same id.
  Scenario Outline: A cancellation through another queue has no effect on a job
    Given the id of a job of the queue "renders" that is stored <time> its cancellation
    When it is cancelled through the queue "quotes"
    Then the job is "queued"

    Examples:
      | time   |
      | after  |
      | before |

  # Guards against a cancellation that is lost because another queue uses the same id.
  Scenario Outline: A cancellation through one queue stays valid after one through another
    When the queue "quotes" cancels an id that was cancelled <before>
    Then the stored cancellation has the queues "<queues>"

    Examples:
      | before                            | queues         |
      | never                             | quotes         |
      | through the queue "quotes"        | quotes         |
      | through the queue "renders"       | quotes renders |
      | by a daemon of an earlier version |                |

  # Guards against a cancellation that an older one replaces when the feed repeats changes
  # that a complete read already contained.
  Scenario: An older row of a cancellation has no effect
    Given an id that was cancelled through the queue "renders"
    When the feed repeats an older cancellation through the queue "quotes"
    Then the cancellation through the queue "renders" is still known
