Feature: A gang that had to stop starts again on the capacity that it had

  # Guards against independent tasks that take the workers of a stopped gang one by one.
  Scenario: Other work does not take the workers of a gang whose member failed
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a job "other" of 16 tasks with 1 accelerators
    And the task 0 of "g" ended as "failed" at second 2
    When the scheduler plans at second 2
    Then no task is started
    When the task 1 of "g" ends as "broken" at second 2.2
    And the scheduler plans at second 2.2
    Then the job "g" has 2 started tasks with run 2

  # Guards against capacity that stands idle for a gang that can't start again soon.
  Scenario: The capacity of a stopped gang is kept for a short time only
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a job "other" of 8 tasks with 1 accelerators
    And the task 0 of "g" ended as "failed" at second 2
    And the scheduler planned at second 2
    When the scheduler plans at second 4.6
    Then the job "other" has 8 started tasks with run 1

  # Guards against a gang that waits beside reserved workers after its worker has left.
  Scenario: A gang whose worker left takes a worker of the headroom
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1"
    And a gang job "g" of 12 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the worker of task 5 of "g" drains from second 1.2
    When all tasks of "g" end as "stopped" at second 1.4
    And the scheduler plans at second 1.6
    Then the job "g" has 12 started tasks with run 2

  # Guards against a preempted gang that blocks the work that it was stopped for.
  Scenario: A preempted gang keeps no capacity
    Given workers in the racks "r1"
    And a gang job "g" of 2 tasks with 4 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1.2
    When all tasks of "g" end as "stopped" at second 1.4
    And the scheduler plans at second 1.4
    Then the job "u" has 1 started tasks with run 1

  # Guards against a guaranteed job that waits beside an idle worker.
  Scenario: A stopped urgent gang beyond its guarantee yields to a guaranteed job
    Given workers in the racks "r1 r1"
    And an urgent gang job "g" of 2 tasks with 8 accelerators of "carvers"
    And the scheduler planned at second 1
    And the task 0 of "g" ended as "failed" at second 2
    And an urgent job "u" of 1 tasks with 8 accelerators of "desks"
    When the scheduler plans at second 2
    Then the job "u" has 1 started tasks with run 1

  # Guards against a part of a gang that starts beside members of its earlier run.
  Scenario: A gang whose earlier run has not ended is not placed although there is room
    Given workers in the racks "r1 r1 r1 r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the task 0 of "g" ended as "failed" at second 2
    When the scheduler plans at second 2
    Then no task is started
