Feature: Scheduling invariants hold in a simulation with random faults

  Workers are partitioned for up to 14 s, restart, fail tasks, lose responses and execute
  starts late; their clocks run up to 2% slow. After each simulation step no task
  may run twice and no worker may exceed its capacity; no task may start too early.

  Scenario Outline: All jobs end, and each task of a completed job was completed once
    Given a simulated cluster with the seed <seed>
    When the simulation runs until all jobs have ended
    Then each task of a completed job was completed exactly once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |

  Scenario Outline: Incrementally updated indexes give the same orders as rebuilt ones
    Guards against a change that the indexes miss, which would leave capacity unused or
    start a task on a worker without free capacity.

    Given a simulated cluster with the seed <seed>
    And each planning round is compared with one that rebuilds all indexes
    When the simulation runs until all jobs have ended
    Then each task of a completed job was completed exactly once

    Examples:
      | seed |
      | 21   |
      | 22   |
      | 23   |
      | 24   |
