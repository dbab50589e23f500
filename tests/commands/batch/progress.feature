Feature: Stalled work is stopped, and only the worker or step at fault is avoided

  # Guards against the repeated restart of a whole gang whose fastest member has finished.
  Scenario: A finished gang member beside one that moves is no stall
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the tasks of "g" report "100 40" percent at second 3
    And the tasks of "g" report "100 70" percent at second 12
    When the scheduler plans at second 12
    Then no order is issued

  # Guards against a gang that stays on its workers forever beside its finished members.
  Scenario: A gang whose only unfinished member stands still is stopped
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the tasks of "g" report "100 40" percent at second 3
    And the tasks of "g" report "100 40" percent at second 10
    When the scheduler plans at second 10
    Then 2 tasks of "g" are stopped because they "stalled" for 7000 ms
    And only the worker of task 1 of "g" is avoided at second 30

  # Guards against a run that its worker never ends although all its work is done.
  Scenario: A gang that is finished everywhere and never ends is stopped
    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the tasks of "g" report "100 100" percent at second 3
    And the tasks of "g" report "100 100" percent at second 10
    When the scheduler plans at second 10
    Then 2 tasks of "g" are stopped because they "stalled" for 7000 ms

  # Guards against a long task on a slow worker that is stopped between two percent.
  Scenario: A task whose percent take seconds each has a longer limit
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And the tasks of "j" report "1" percent at second 4
    And the tasks of "j" report "3" percent at second 12
    And the tasks of "j" report "3" percent at second 20
    When the scheduler plans at second 20
    Then no order is issued

  # Guards against a healthy worker that is avoided because one of its tasks hangs.
  Scenario: A worker on which another task moves is not avoided
    Given workers in the racks "r1"
    And a job "hung" of 1 tasks with 1 accelerators
    And a job "fine" of 1 tasks with 1 accelerators
    And the scheduler planned at second 1
    And worker "w1" reports "hung" at 20 and "fine" at 30 percent at second 3
    And worker "w1" reports "hung" at 20 and "fine" at 60 percent at second 9
    When the scheduler plans at second 9
    Then only the job "hung" is stopped
    And no worker is avoided at second 10

  # Guards against a job that hangs wherever it runs and has one worker after the other
  # avoided, and against its immediate return while others wait.
  Scenario: A step that stands still on a second worker is at fault itself and pauses
    Given workers in the racks "r1 r1"
    And a job "j" of 1 tasks with 8 accelerators
    And the job "j" stood still once on the worker "elsewhere"
    And a job "other" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the tasks of "j" report "20" percent at second 2
    And the tasks of "j" report "20" percent at second 9
    And the scheduler planned at second 9
    When the task 0 of "j" ends as "stopped" at second 9.2
    And the scheduler plans at second 10.5
    Then no worker is avoided at second 10
    And no task is started
    When the scheduler plans at second 11.1
    Then 1 task is started

  # Guards against stalls that are forgotten when another daemon takes over.
  Scenario: The stalls of a step survive a takeover
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators
    And the job "j" stood still once on the worker "elsewhere"
    When another scheduler restores the job "j"
    Then the job "j" has 1 stall on the worker "elsewhere"

  # Guards against a step that pauses for half a minute because one worker is frozen.
  Scenario: Several tasks of a step on one frozen worker count as one stall
    Given workers in the racks "r1 r1"
    And a job "j" of 8 tasks with 1 accelerators
    And the scheduler planned at second 1
    And all tasks of "j" report 20 percent at second 2
    And all tasks of "j" report 20 percent at second 9
    When the scheduler plans at second 9
    Then the job "j" has 1 stall on the worker "w1"
    And only the worker of task 0 of "j" is avoided at second 30

  # Guards against a guarantee that can't be claimed for half a minute.
  Scenario: A guaranteed step that stood still often pauses for a second only
    Given workers in the racks "r1 r1 r1"
    And a job "other" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    And an urgent job "u" of 1 tasks with 8 accelerators
    And the job "u" stood still 6 times until second 10
    When the scheduler plans at second 10.9
    Then no task is started
    When the scheduler plans at second 11
    Then 1 task is started

  # Guards against a step that returns every other second although others wait.
  Scenario: The pause doubles with each stall while others wait
    Given workers in the racks "r1"
    And a job "other" of 1 tasks with 5 accelerators
    And the scheduler planned at second 1
    And a job "j" of 1 tasks with 1 accelerators
    And the job "j" stood still 4 times until second 10
    When the scheduler plans at second 17.9
    Then no task is started
    When the scheduler plans at second 18
    Then 1 task is started

  # Guards against a long task that can never run, because its first percent takes longer
  # than the limit.
  Scenario: The limit of a task without a known rate follows its estimate
    Given workers in the racks "r1"
    And a job "j" of 1 tasks with 1 accelerators that takes 900 seconds
    And the scheduler planned at second 1
    And the tasks of "j" report "0" percent at second 20
    When the scheduler plans at second 20
    Then no order is issued

  # Guards against a second frozen worker that keeps getting tasks.
  Scenario: All workers on which independent tasks of a step stand still are avoided
    Given workers in the racks "r1 r1"
    And a job "j" of 16 tasks with 1 accelerators
    And the scheduler planned at second 1
    And all tasks of "j" report 20 percent at second 2
    And all tasks of "j" report 20 percent at second 9
    When the scheduler plans at second 9
    Then the workers "w1 w2" are avoided at second 30
