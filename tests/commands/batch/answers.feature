Feature: Worker responses to start and stop orders update the state of tasks

  Scenario: A start order that was never sent is not counted against the worker or the gang
    Guards against treating the postponed start as a refusal. That put the worker into
    backoff, stopped the gang's other members and added work to an overloaded daemon.

    Given workers in the racks "r1 r1"
    And a gang job "g" of 2 tasks with 8 accelerators
    And the scheduler planned at second 1
    When the start order for task 0 of "g" is postponed
    Then the start order for task 0 of "g" will be sent again
    And the workers "w1 w2" are eligible for new tasks at second 1

  Scenario: Postponing the start order of a cancelled job releases its worker
    Given workers in the racks "r1"
    And a job "a" of 1 tasks with 8 accelerators
    And the scheduler planned at second 1
    And the start order for task 0 of "a" is unanswered
    When the job "a" is cancelled at second 2
    And the start order for task 0 of "a" is postponed
    Then the start order for task 0 of "a" will not be sent again
    And the workers "w1" have no tasks

  Scenario Outline: A job whose start order <outcome> still counts as pending
    Guards against a job that counts as begun when its start is only planned: its queue
    showed no pending jobs while an unhealthy worker refused all starts.

    Given workers in the racks "r1"
    And a job "a" of 1 tasks with 8 accelerators
    When the start of "a" is planned at second 1
    Then the job "a" is "queued" and counts as pending
    When the start order for task 0 of "a" <outcome>
    Then the job "a" is "queued" and counts as pending

    Examples:
      | outcome                |
      | is refused             |
      | is refused for no room |
      | gets no answer         |
      | is postponed           |

  Scenario Outline: A job has begun once <evidence>
    Guards against a job that runs and still counts as pending.

    Given workers in the racks "r1"
    And a job "a" of 1 tasks with 8 accelerators
    When the start of "a" is planned at second 1
    And <evidence>
    Then the job "a" is "running" and does not count as pending

    Examples:
      | evidence                                            |
      | the start order for task 0 of "a" is accepted       |
      | the worker "w1" reports the run of "a" as running   |
      | the worker "w1" reports the run of "a" as failed    |
      | a run of "a" is accepted after its task was stopped |

  Scenario: A job whose starts were planned but not sent is pending after a takeover
    Given workers in the racks "r1"
    And a job "a" of 1 tasks with 8 accelerators
    When the start of "a" is planned at second 1
    And another scheduler restores the job "a"
    Then the job "a" is "queued" and counts as pending
