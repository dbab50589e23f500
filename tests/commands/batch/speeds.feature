Feature: Slow workers are detected, and work is placed where it meets its objective

  # Guards against an urgent gang that waits for one slow member.
  Scenario: An urgent gang takes the workers that are not slow
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    And an urgent gang job "u" of 2 tasks with 8 accelerators
    When the scheduler plans at second 20
    Then the job "u" runs on none of the workers "w1"

  # Guards against urgent work that waits beside idle workers because they are slow.
  Scenario: An urgent gang that fits only with a slow worker starts at once
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    And an urgent gang job "u" of 6 tasks with 8 accelerators
    When the scheduler plans at second 20
    Then the job "u" has 6 started tasks with run 1

  # Guards against patient work that takes the fast workers from urgent work.
  Scenario: Work that is in time on slow workers too takes them first
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w3" takes twice as long as the others
    And a patient job "p" of 4 tasks with 1 accelerators
    When the scheduler plans at second 20
    Then the job "p" runs only on the workers "w3"

  # Guards against a change of placement on fleets of even workers.
  Scenario: Tasks of different sizes do not make a worker slow
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes 1.25 times as long as the others
    When the scheduler plans at second 20
    Then no worker is slow

  # Guards against one straggler that marks its worker as slow.
  Scenario: A single straggler does not make its worker slow
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And a run on the worker "w1" takes 7 times as long as the others
    When the scheduler plans at second 20
    Then no worker is slow

  # Guards against a worker that was slowed for seconds and is avoided forever.
  Scenario: Without new samples a worker is not slow for long
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    When the scheduler plans at second 90
    Then no worker is slow

  # Guards against batch work that takes the place of urgent work in the same round.
  Scenario: Urgent tasks use slow workers too before other work is placed
    Given workers in the racks "r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    And an urgent job "u" of 20 tasks with 1 accelerators
    And a patient job "p" of 24 tasks with 1 accelerators
    When the scheduler plans at second 20
    Then the job "u" has 20 started tasks with run 1

  # Guards against a gang that waits for one slow member although it fits elsewhere.
  Scenario: A gang is not spread over slow and other workers
    Given workers in the racks "r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    And a gang job "g" of 3 tasks with 8 accelerators
    When the scheduler plans at second 20
    Then the job "g" runs on none of the workers "w1"

  # Guards against headroom on which urgent gangs would miss their objective.
  Scenario: Headroom is chosen among workers that are not slow
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1"
    And the worker "w1" takes twice as long as the others
    When the scheduler plans at second 20
    Then the worker "w1" is no headroom

  # Guards against rates that are not measured, and against odd reports that end the
  # scheduler.
  Scenario: Rates are measured from reports, and odd reports are ignored
    Given workers in the racks "r1 r1"
    And a job "j" of 1 tasks with 8 accelerators
    And a job "odd" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the tasks of "j" report "10" percent at second 2
    And the tasks of "j" report "60" percent at second 4
    And the tasks of "odd" report "10" percent at second 4
    And the tasks of "odd" report "60" percent at second 3
    Then only the run of "j" is measured, with 40 ms for each percent
