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

  # Guards against a guarantee that is claimed too late, because the victim is dear.
  Scenario: A guaranteed job preempts at once whatever it costs
    Given workers in the racks "r1 r1"
    And a gang job "wide" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 8 accelerators
    When the scheduler plans at second 50
    Then only the job "wide" is stopped

  # Guards against independent tasks that are preempted for one delay after the other.
  Scenario: A guaranteed job of which a part fits preempts for the rest at once
    Given workers in the racks "r1 r1"
    And a job "old" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the job "old" is cancelled at second 1.5
    And a job "other" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1.6
    And an urgent job "u" of 2 tasks with 8 accelerators
    When the scheduler plans at second 2
    Then only the jobs "other" are stopped

  # Guards against tasks that are stopped beside a gang that frees enough by itself.
  Scenario: A victim that a later one makes unnecessary keeps running
    Given workers in the racks "r1 r1 r1"
    And a gang job "wide" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a job "single" of 1 tasks with 8 accelerators
    And the scheduler planned at second 8
    And an urgent job "u" of 2 tasks with 8 accelerators
    When the scheduler plans at second 10
    Then only the jobs "wide" are stopped

  # Guards against a member of a gang that counts as the only one on its worker.
  Scenario: All members of a gang on one worker count together
    Given workers in the racks "r1"
    And a gang job "g" of 6 tasks with 1 accelerators
    And a job "s" of 2 tasks with 1 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 6 accelerators
    When the scheduler plans at second 2
    Then only the jobs "g" are stopped

  # Guards against two gangs that are stopped although one frees enough for both units.
  Scenario: Units of one round share what a preemption frees
    Given workers in the racks "r1 r1 r1 r1"
    And a gang job "a" of 2 tasks with 8 accelerators
    And a gang job "b" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 8 accelerators
    And an urgent job "v" of 1 tasks with 8 accelerators
    When the scheduler plans at second 2
    Then only 1 job is stopped

  # Guards against a gang that is lost with any one of several data centres.
  Scenario: A gang stays in one data centre if it fits into one
    Given workers in the racks "r1 r2 r1 r2"
    And the worker "w1" is in the data centre "dc-2"
    And the worker "w4" is in the data centre "dc-2"
    And a gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "g" runs in one data centre
