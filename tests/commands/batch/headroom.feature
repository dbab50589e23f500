Feature: Some workers are reserved for urgent work

  Scenario: Other work leaves whole workers of one rack idle
    Given workers in the racks "r1 r1 r1 r1 r2 r2 r2"
    And a job "batch" of 7 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "batch" has 6 started tasks with run 1
    And the idle workers are in the rack "r1"

  Scenario: Urgent work uses the reserved workers immediately
    Given workers in the racks "r1 r1 r1 r1 r2 r2 r2"
    And a job "batch" of 7 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "quote" of 1 tasks with 8 accelerators
    When the scheduler plans at second 2
    Then the job "quote" has 1 started tasks with run 1

  Scenario: A large gang may use reserved workers after a delay in a mostly idle fleet
    Guards against a gang of whole workers that waits forever beside reserved ones, because
    small tasks use one accelerator on most of the other workers.

    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r2 r2 r2 r2 r2 r2 r2 r2 r2 r2"
    And a job "small" of 14 tasks with at most 1 per worker
    And the scheduler planned at second 1
    And a gang job "large" of 4 tasks with 8 accelerators
    When the scheduler plans at second 2
    Then no task is started
    When the scheduler plans at second 4
    Then the job "large" has 4 started tasks with run 1

  Scenario: A large gang may not use reserved workers in a mostly busy fleet
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r2 r2 r2 r2 r2 r2 r2 r2 r2 r2"
    And a job "busy" of 15 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a gang job "large" of 4 tasks with 8 accelerators
    When the scheduler plans at second 2
    And the scheduler plans at second 4
    Then no task is started
