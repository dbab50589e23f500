Feature: Preemption loses as little work as guaranteed callers allow

  # Guards against several gangs that are stopped although one of them occupies enough.
  Scenario: A gang that is stopped anyway frees all of its workers
    Given workers in the racks "r1 r1 r1"
    And a job "single" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a gang job "wide" of 2 tasks with 8 accelerators
    And the scheduler planned at second 2
    And an urgent job "u" of 2 tasks with 8 accelerators
    When the scheduler plans at second 10
    Then only the job "wide" is stopped

  # Guards against a task that is stopped although stopping the next one is sufficient.
  Scenario: A task that turns out not to be needed keeps running
    Given workers in the racks "r1"
    And a job "small" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And a job "large" of 1 tasks with 7 accelerators
    And the scheduler planned at second 1.2
    And an urgent job "u" of 1 tasks with 7 accelerators
    When the scheduler plans at second 1.4
    Then only the job "large" is stopped

  # Guards against a gang that loses minutes of work for a task that others make room for
  # in a moment.
  Scenario: A costly preemption waits for tasks that end by themselves, but not for long
    Given workers in the racks "r1 r1"
    And a gang job "wide" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 8 accelerators is submitted at second 50
    When the scheduler plans at second 50
    Then no order is issued
    When the scheduler plans at second 50.5
    Then no order is issued
    When the scheduler plans at second 51
    Then only the job "wide" is stopped

  # Guards against other work that takes the capacity for which guaranteed work waits.
  Scenario: Other work does not take the workers of a costly preemption
    Given workers in the racks "r1 r1"
    And a gang job "wide" of 2 tasks with 6 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 2 tasks with 8 accelerators is submitted at second 50
    And a job "other" of 4 tasks with 1 accelerators
    When the scheduler plans at second 50
    Then no order is issued

  # Guards against a gang that is lost with any one of several data centres.
  Scenario: A gang stays in one data centre if it fits into one
    Given workers in the racks "r1 r2 r1 r2"
    And the worker "w1" is in the data centre "dc-2"
    And the worker "w4" is in the data centre "dc-2"
    And a gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "g" runs in one data centre
