Feature: A gang job survives the loss of its decider

  # Guards against a gang that runs in part, or whose tasks stay on the workers.
  Scenario: A gang runs whole and is recorded as finished
    Given a gang cluster with 3 workers where tasks run 2 seconds
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    Then the gang job "g-1" is recorded as "finished"
    And "g-1" ran once as a whole gang with 3 members
    And the workers hold no task of "g-1"

  # Guards against gangs that are lost, run twice or stay incomplete after a takeover.
  Scenario: The decider is killed while gangs reserve, start and renew
    Given a gang cluster with 9 workers where tasks run 12 seconds
    And a daemon is started
    And the third worker of three gangs does not answer reserve, start and renew
    When the gang jobs "g-1 g-2 g-3" of 3 members are accepted
    And "g-1", "g-2" and "g-3" have reached reserve, start and renew
    And the elected daemon is killed
    And the unresponsive workers recover
    And a second daemon is started
    Then the gang jobs "g-1 g-2 g-3" are recorded as "finished"
    And the records of "g-1 g-2 g-3" carry epoch 2
    And the gangs "g-1 g-2 g-3" of 3 members ran without overlap and finished once
    And no call of epoch 1 took effect after the takeover

  # Guards against a former decider whose late calls still take effect when it resumes.
  Scenario: The decider is paused while gangs reserve, start and renew
    Given a gang cluster with 9 workers where tasks run 12 seconds
    And a daemon is started
    And the third worker of three gangs does not answer reserve, start and renew
    When the gang jobs "g-1 g-2 g-3" of 3 members are accepted
    And "g-1", "g-2" and "g-3" have reached reserve, start and renew
    And the elected daemon is paused
    And the unresponsive workers recover
    And a second daemon is started
    And the gang job "g-1" is recorded as "running"
    And the paused daemon resumes and adopts the current assignment
    And the gang job "g-4" of 3 members is accepted
    Then the gang jobs "g-1 g-2 g-3 g-4" are recorded as "finished"
    And the records of "g-1 g-2 g-3 g-4" carry epoch 2
    And the gangs "g-1 g-2 g-3 g-4" of 3 members ran without overlap and finished once
    And no call of epoch 1 took effect after the takeover

  # Guards against tasks that occupy a worker for ever because no job owns them.
  Scenario: A new decider stops tasks that have no job record
    Given a gang cluster with 2 workers where tasks run 600 seconds
    When a task of a job without a record runs on worker 0
    And a task of a job without a record runs on worker 1
    And a daemon is started
    Then nothing runs on worker 0
    And nothing runs on worker 1
