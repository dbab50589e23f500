Feature: Tasks are placed by priority and capacity, and gangs as a whole

  Scenario: A gang that does not fit as a whole is not started in part
    Given workers in the racks "r1 r1"
    And a gang job "g" of 3 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then no task is started

  Scenario: All members of a gang start in one round with the same run
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "g" has 2 started tasks with run 1

  Scenario: A single-rack gang is not split during its wait limit
    Given workers in the racks "r1 r1 r2"
    And a job "old" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And a single-rack gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then no task is started

  Scenario: A single-rack gang is split across racks after its wait limit
    Given workers in the racks "r1 r1 r2"
    And a job "old" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And a single-rack gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    And the scheduler plans at second 9
    Then the job "g" has 2 started tasks with run 1

  Scenario: A gang that no single rack could hold is split immediately
    Given workers in the racks "r1 r2"
    And a single-rack gang job "g" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "g" has 2 started tasks with run 1

  Scenario: A stopping task uses capacity until it has ended
    Given workers in the racks "r1"
    And a job "old" of 1 tasks with 8 accelerators
    And a job "new" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the job "old" is cancelled at second 2
    And the scheduler plans at second 2
    Then no task is started
    When the task 0 of "old" ends as "stopped" at second 3
    And the scheduler plans at second 3
    Then the job "new" has 1 started tasks with run 1

  Scenario: A step waits for every task of the steps that it depends on
    Given workers in the racks "r1"
    And a job "s" with a step of 2 tasks and a step that depends on it
    And the scheduler planned at second 1
    When the task 0 of "s" ends as "done" at second 2
    And the scheduler plans at second 2
    Then no task is started
    When the task 1 of "s" ends as "done" at second 3
    And the scheduler plans at second 3
    Then 1 task is started

  Scenario: The limit of tasks per worker includes running tasks
    Given workers in the racks "r1 r1"
    And a job "a" of 3 tasks with at most 1 per worker
    When the scheduler plans at second 1
    Then the job "a" has 2 started tasks with run 1
    When the scheduler plans at second 2
    Then no task is started

  Scenario: A task waits while no worker has its required label
    Given workers in the racks "r1"
    And a job "l" that needs the label "b"
    When the scheduler plans at second 1
    Then no task is started

  Scenario: An urgent job is placed before an older job
    Given workers in the racks "r1"
    And a job "old" of 1 tasks with 8 accelerators
    And an urgent job "quote" of 1 tasks with 8 accelerators
    When the scheduler plans at second 1
    Then the job "quote" has 1 started tasks with run 1
    And the job "old" has no started tasks

  Scenario: Guaranteed work preempts the task with the least lost work and takes its place
    Given workers in the racks "r1 r1"
    And a job "long" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And a job "short" of 1 tasks with 8 accelerators
    And the scheduler planned at second 5
    And an urgent job "quote" of 1 tasks with 8 accelerators
    And a job "later" of 1 tasks with 1 accelerators
    When the scheduler plans at second 6
    Then only the job "short" is stopped
    When the task 0 of "short" ends as "stopped" at second 7
    And the scheduler plans at second 7
    Then the job "quote" has 1 started tasks with run 1
    And the job "later" has no started tasks

  Scenario: Guaranteed single-rack work preempts tasks rather than run in two racks
    Given workers in the racks "r1 r1 r2 r2"
    And a job "low" of 2 tasks with 8 accelerators that prefer 1 rack each
    And the scheduler planned at second 1
    And an urgent single-rack gang job "high" of 2 tasks with 8 accelerators
    When the scheduler plans at second 1.1
    Then only the job "low" is stopped

  Scenario: Urgent work beyond the guarantee does not preempt other tasks
    Given workers in the racks "r1"
    And a job "long" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "quote" of 1 tasks with 8 accelerators of "carvers"
    When the scheduler plans at second 2
    Then no order is issued

  Scenario: No task is placed on a worker that has not answered this scheduler
    Given workers in the racks "r1"
    And the worker "w1" has not been polled
    And a job "j" of 1 tasks with 1 accelerators
    When the scheduler plans at second 1
    Then no task is started

  Scenario: A draining worker gets no new tasks
    Given workers in the racks "r1"
    And the worker "w1" drains from second 0 for 60 seconds
    And a job "j" of 1 tasks with 1 accelerators
    When the scheduler plans at second 1
    Then no task is started

  Scenario: A task that can't finish before its worker leaves is stopped
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators that takes 30 seconds
    And the scheduler planned at second 1
    And the worker "w1" drains from second 2 for 5 seconds
    When the scheduler plans at second 2
    Then only the job "j" is stopped

  Scenario: A task that finishes before its worker leaves continues
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators that takes 2 seconds
    And the scheduler planned at second 1
    And the worker "w1" drains from second 2 for 5 seconds
    When the scheduler plans at second 2
    Then no order is issued

  Scenario: A stalled task is stopped and its worker is avoided
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the worker "w1" reports the task of "j" at 0 percent at second 8
    When the scheduler plans at second 8
    Then only the job "j" is stopped
    And the worker "w1" is avoided at second 9

  Scenario: A spare-capacity task is not placed beside a latency-sensitive task
    Given workers in the racks "r1"
    And a long-running job "web" with a latency target
    And the scheduler planned at second 1
    And a job "fill" that uses spare capacity
    When the scheduler plans at second 2
    Then no task is started

  Scenario: An occurrence does not start before its scheduled time
    Given workers in the racks "r1"
    And a job "t" that runs 2 times, first at second 5 and then every 10 seconds
    When the scheduler plans at second 4
    Then no task is started
    When the scheduler plans at second 5
    Then 1 task is started

  Scenario: A data centre whose workers stopped answering gets no new tasks
    Given workers in the racks "r1 r1 r2 r2"
    And the worker "w1" is in the data centre "dc-2"
    And the worker "w2" is in the data centre "dc-2"
    And all workers answered a poll at second 1
    And a call to the worker "w1" timed out at second 2
    And a call to the worker "w2" timed out at second 2
    And a job "j" of 4 tasks with 8 accelerators
    When the scheduler plans at second 3
    Then the job "j" has 2 started tasks with run 1
    And the workers "w1 w2" have no tasks
    When the worker "w2" reports no runs at second 4
    And the scheduler plans at second 4
    Then the worker "w2" has a task

  Scenario: One unresponsive worker does not exclude the others in its data centre
    Given workers in the racks "r1 r1"
    And all workers answered a poll at second 1
    And a call to the worker "w1" timed out at second 2
    And a job "j" of 2 tasks with 8 accelerators
    When the scheduler plans at second 3
    Then the worker "w2" has a task

  # Guards against a service that stays down while its only worker is avoided for longer
  # after each of its failures.
  Scenario: A long-running task that keeps failing on its only worker is restarted soon
    Given workers in the racks "r1"
    And a long-running job "web" with a latency target
    And the task of "web" has failed 5 times
    When the scheduler plans at second 506
    Then the job "web" has 1 started tasks with run 6

  # Guards against entries of workers that do not exist: the idle workers beside them are
  # not polled, so their last answers are older than these failures.
  Scenario: Workers that never answered do not make their data centre look partitioned
    Given workers in the racks "r1 r1 r2 r2"
    And all workers answered a poll at second 1
    And the worker "w3" has not been polled
    And the worker "w4" has not been polled
    And a call to the worker "w3" timed out at second 2
    And a call to the worker "w4" timed out at second 2
    And a job "j" of 2 tasks with 8 accelerators
    When the scheduler plans at second 3
    Then the job "j" has 2 started tasks with run 1

  Scenario: Thousands of due occurrences are opened in limited batches
    Guards against one such job exhausting the memory of the scheduling daemon.

    Given workers in the racks "r1"
    And a job "t" that runs 9000 times, first at second 0 and then every 0 seconds
    When the scheduler plans at second 1
    Then the job "t" has at most 2000 tasks in memory

  Scenario: A report that is processed late does not make a task look stalled
    Guards against a paused daemon that stops a healthy task and avoids its worker.

    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the worker "w1" reports the task of "j" at 20 percent at second 2
    When a report by "w1" on the task of "j" at 20 percent from second 2.2 is processed at second 9
    And the scheduler plans at second 9
    Then no order is issued

  Scenario: A task on a worker that was temporarily unresponsive continues
    Given workers in the racks "r1 r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And a call to the worker "w1" timed out at second 2
    And a call to the worker "w2" timed out at second 2
    When the scheduler plans at second 9
    Then no order is issued
    When a report by "w1" on the task of "j" at 60 percent from second 10 is processed at second 10
    And the scheduler plans at second 10
    Then no order is issued
