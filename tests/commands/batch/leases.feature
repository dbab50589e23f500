Feature: A task is restarted elsewhere only after its lease must have expired

  Scenario: Tasks of an unresponsive worker wait for the lease on the slowest clock
    Given workers in the racks "r1 r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the lease of the worker of "j" was extended at second 2
    When the scheduler plans at second 12.4
    Then no order is issued
    When the scheduler plans at second 12.6
    Then the job "j" has 1 started tasks with run 2

  Scenario: A lease deadline never exceeds the worker's limit
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    When the lease of the worker of "j" is extended at second 2
    Then the lease deadline is at most 10 seconds ahead of the worker's clock

  Scenario: After a takeover the tasks of an unreachable worker wait for their lease
    Given workers in the racks "r1 r1"
    And the job "j" is stored as running on "w9" with run 3
    When the scheduler plans at second 9
    Then no task is started
    When the scheduler plans at second 11.1
    Then the job "j" has 1 started tasks with run 4

  Scenario: After a takeover a task that its worker reports as running continues
    Given workers in the racks "r1 r1"
    And the job "j" is stored as running on "w1" with run 3
    When the worker "w1" reports run 3 of "j" at second 1
    And the scheduler plans at second 1
    Then no task is started
    And the task of "j" is still placed

  Scenario: After a takeover a task that its worker does not report is restarted
    Given workers in the racks "r1 r1"
    And the job "j" is stored as running on "w1" with run 3
    When the worker "w1" reports no run of "j" at second 1
    And the scheduler plans at second 1
    Then the job "j" has 1 started tasks with run 4
