Feature: Uneven workers: the slow ones are noticed, and work goes where it is in time

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
