Feature: Reports of workers update runs, tasks and jobs

  Background:
    Given workers in the racks "r1 r1"

  Scenario: A repeated report that an earlier run ended is ignored
    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the task 0 of "j" ended as "stopped" at second 2
    And the scheduler planned at second 2
    When the worker reports again that run 1 of "j" ended as "done" at second 3
    Then the job "j" is "running"

  Scenario: A gang is done once one of its members ends as done
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the task 0 of "g" ends as "done" at second 2
    Then the job "g" is "done"
    And the other member is still assigned to its worker

  Scenario: A restarted gang uses the same new run number for all members
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the task 0 of "g" ended as "failed" at second 2
    When the scheduler plans at second 2
    Then no task is started
    When the task 1 of "g" ends as "broken" at second 2.5
    And the scheduler plans at second 3
    Then the job "g" has 2 started tasks with run 2

  Scenario: The remaining member of a broken gang is stopped
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the task 0 of "g" ended as "lapsed" at second 2
    When the scheduler plans at second 3
    Then only the job "g" is stopped

  Scenario: A job fails only after all its attempts are used up
    Given a job "j" of 1 tasks with 1 accelerators
    And the task of "j" has failed 2 times
    Then the job "j" is "running"
    When the task of "j" fails once more
    Then the job "j" is "failed"

  Scenario: A run whose lease expired does not count as an attempt
    Given a job "j" of 1 tasks with 1 accelerators
    When the task of "j" ends 5 times as "lapsed"
    Then the job "j" is "running"

  Scenario: A long-running task is restarted regardless of its number of failures
    Given a long-running job "web" with a latency target
    And the task of "web" has failed 5 times
    Then the job "web" is "running"

  # Guards against a service that stays down because its task ended without an error.
  Scenario: A long-running task that ends as done is started again
    Given a long-running job "web" with a latency target
    And the scheduler planned at second 1
    When the task 0 of "web" ends as "done" at second 2
    Then the job "web" is "running"
    When the scheduler plans at second 2
    Then the job "web" has 1 started tasks with run 2

  # Guards against a new scheduler that takes a long-running task for finished.
  Scenario: A long-running task that an earlier version stored as done is started again
    Given a long-running job "web" with a latency target
    And the scheduler planned at second 1
    And the task of "web" is stored as done
    And another scheduler has restored "web" at second 2
    When the scheduler plans at second 3
    Then the job "web" has 1 started tasks with run 2

  # Guards against a gang of which only some members are started again.
  Scenario: A long-running gang that ends as done is started again as a whole
    Given a long-running gang job "g" of 2 tasks
    And the scheduler planned at second 1
    When the task 0 of "g" ends as "done" at second 2
    And the scheduler plans at second 2
    Then no task is started
    When the task 1 of "g" ends as "done" at second 2.1
    And the scheduler plans at second 2.2
    Then the job "g" has 2 started tasks with run 2

  Scenario: An unanswered start order keeps its worker reserved until its outcome is known
    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the start order for "j" timed out
    When the worker of "j" reports no runs at second 2
    Then the task of "j" is still placed
    When the worker of "j" answers the stop order at second 2.5
    And the worker of "j" reports no runs at second 3
    Then the task of "j" is waiting and assigned to no worker

  Scenario: A report polled before the start was answered does not release the task
    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 2
    When the worker of "j", polled at second 1, reports no runs at second 3
    Then the task of "j" is still placed

  Scenario: An unknown run is stopped and blocks new tasks on its worker
    When the worker "w1" reports an unknown run at second 1
    Then a stop order for the unknown run is issued
    And the worker "w1" is not eligible for new tasks

  Scenario: A restarted worker has lost all its runs
    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    When a new incarnation of the worker of "j" reports no runs at second 2
    Then the task of "j" is waiting and assigned to no worker

  Scenario: A gang is stopped when the start of one member times out
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the start order for the first task of "g" times out at second 2
    Then both tasks of "g" are being stopped

  Scenario: A gang is stopped when the start of one member is refused
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the start order for the first task of "g" is refused at second 2
    Then the other task of "g" is being stopped

  Scenario: A run that a worker accepted after its restart is not started a second time
    Guards against releasing a task whose start arrived before the first report of the
    new incarnation, as with seed 106 of the soak test.

    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    When a new incarnation of the worker of "j" reports its run at second 2
    Then the job "j" is "running"
    And the task of "j" is still assigned to its worker

  Scenario: Ended runs are acknowledged only to the worker incarnation that reported them
    Given a job "j" of 1 tasks with 1 accelerators
    And the worker "w1" reported 3 ended runs and answered a poll at second 1
    Then ended runs may be acknowledged to "w1"
    When the scheduler plans at second 2
    Then no ended run may be acknowledged to the worker of "j"
    When the worker of "j" reports its run at second 3
    Then ended runs may be acknowledged to "w1"

  Scenario: A worker is avoided after two consecutive failures of different tasks
    Given a job "a" of 1 tasks with 1 accelerators
    And a job "b" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    When the task 0 of "a" ends as "failed" at second 2
    And the task 0 of "b" ends as "failed" at second 2
    Then the worker "w1" is avoided at second 3

  Scenario: A cancelled job is not started again
    Given a job "j" of 2 tasks with 1 accelerators
    And the scheduler planned at second 1
    When the job "j" is cancelled at second 2
    Then the job "j" is "cancelled"
    When the task 0 of "j" ends as "stopped" at second 3
    And the scheduler plans at second 4
    Then no task is started

  Scenario: A cancellation received before its job prevents the job from running
    When the job "j" is cancelled at second 1
    And the job "j" is submitted
    And the scheduler plans at second 2
    Then no task is started
    And the job "j" is "cancelled"

  Scenario: A worker that repeatedly fails start orders is avoided for longer each time
    When start orders to the worker "w1" fail at second 1
    Then the worker "w1" is avoided at second 2
    And the worker "w1" is not avoided at second 3
    When start orders to the worker "w1" fail at second 3
    Then the worker "w1" is avoided at second 5

  Scenario: A run whose end is beyond the end of a cut-off list is not started again
    Guards against a second run of a task that is done. A worker lists a limited number of
    ends at a time, so the end of a run may be missing while more ends wait.

    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    When the worker of "j" reports no runs and a cut-off list of ends at second 2
    Then the task of "j" is still placed
    When the scheduler plans at second 2
    Then no task is started
    When the task 0 of "j" ends as "done" at second 3
    Then the job "j" is "done"

  Scenario: A gang is not stopped because of a cut-off list of ends
    Given a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the worker of "g" reports no runs and a cut-off list of ends at second 2
    And the scheduler plans at second 4
    Then no order is issued

  Scenario: A restored run is not started again because of a cut-off list of ends
    Given a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And another scheduler has restored "j" at second 2
    When the worker of "j" reports no runs and a cut-off list of ends at second 3
    Then the task of "j" is still placed
    When the worker of "j" reports no runs at second 4
    Then the task of "j" is waiting and assigned to no worker
