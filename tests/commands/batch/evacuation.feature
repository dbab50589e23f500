Feature: An evacuated data centre gets no new tasks until the evacuation ends

  # Guards against starts in a data centre that the operator wants to empty.
  Scenario: No task starts in an evacuated data centre
    Given workers in the racks "r1 r1 r1 r1"
    And the worker "w3" is in the data centre "dc-2"
    And the worker "w4" is in the data centre "dc-2"
    And the scheduler planned at second 1
    When the data centre "dc-2" is evacuated at second 2
    And a job "j" of 4 tasks with 8 accelerators is submitted
    And the scheduler plans at second 2
    Then the job "j" has 2 started tasks with run 1
    And the workers "w3 w4" have no tasks

  # Guards against a data centre that stays excluded after its evacuation.
  Scenario: A data centre gets tasks again after its evacuation ends
    Given workers in the racks "r1 r1"
    And the worker "w2" is in the data centre "dc-2"
    When the data centre "dc-2" is evacuated at second 1
    And a job "j" of 2 tasks with 8 accelerators is submitted
    And the scheduler plans at second 1
    Then the workers "w2" have no tasks
    When the evacuation of the data centre "dc-2" ends at second 2
    And the scheduler plans at second 2
    Then the worker "w2" has a task

  # Guards against losing the work of tasks that may finish where they run.
  Scenario: Running tasks in an evacuated data centre continue
    Given workers in the racks "r1 r1"
    And the worker "w2" is in the data centre "dc-2"
    And a job "j" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the data centre "dc-2" is evacuated at second 2
    And the scheduler plans at second 2
    Then no order is issued
    And the worker "w2" has a task

  # Guards against a start that was planned before the evacuation and is sent after it,
  # because the store was slow or the leadership claim had to be renewed.
  Scenario: An unsent start order for an evacuated data centre is withdrawn
    Given workers in the racks "r1 r1"
    And the worker "w2" is in the data centre "dc-2"
    And a job "j" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the start order for the worker "w2" was not sent
    When the data centre "dc-2" is evacuated at second 2
    Then no order is issued
    And the workers "w2" have no tasks
    And the start order for the worker "w2" is withdrawn

  # Guards against a partly started gang whose other start orders were withdrawn.
  Scenario: A gang is stopped as a whole when one of its start orders is withdrawn
    Given workers in the racks "r1 r1"
    And the worker "w2" is in the data centre "dc-2"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the start order for the worker "w2" was not sent
    When the data centre "dc-2" is evacuated at second 2
    Then only the job "g" is stopped
    And 1 order is issued

  # Guards against guaranteed work that relies on capacity in an evacuated data centre.
  Scenario: Guaranteed work preempts tasks outside the evacuated data centre
    Given workers in the racks "r1 r1"
    And the worker "w2" is in the data centre "dc-2"
    And a job "long" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the data centre "dc-2" is evacuated at second 2
    And an urgent job "quote" of 1 tasks with 8 accelerators is submitted
    And the scheduler plans at second 2
    Then only the job "long" is stopped
