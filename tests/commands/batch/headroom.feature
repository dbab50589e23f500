Feature: Some workers stay free for urgent work

  Scenario: Other work leaves whole workers of one rack free
    Given workers in the racks "r1 r1 r1 r1 r2 r2 r2"
    And a job "batch" of 7 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "batch" has 6 tasks started with run 1
    And the idle workers are in the rack "r1"

  Scenario: Urgent work uses them at once
    Given workers in the racks "r1 r1 r1 r1 r2 r2 r2"
    And a job "batch" of 7 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "quote" of 1 tasks with 8 accelerators
    When the scheduler plans at second 2
    Then the job "quote" has 1 tasks started with run 1
