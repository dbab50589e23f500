Feature: Answers to submissions and cancellations match what happens to the job

  Background:
    Given a gang cluster with 2 workers where tasks run 600 seconds
    And a decider in this process

  # Guards against a repeated submission that starts the job a second time.
  Scenario: A submitted job is recorded and runs
    When the job "j-1" of 2 members is submitted
    Then the submission is "accepted"
    And the job "j-1" reaches the state "running"
    When the job "j-1" of 2 members is submitted
    Then the submission is "accepted"
    And the job "j-1" has 2 tasks that run

  # Guards against a job that waits for ever because it fits on no set of workers.
  Scenario: A job that can never run is refused and not recorded
    When the job "j-1" of 3 members is submitted
    Then the submission is refused with the code "shape_impossible"
    And no row and no task of "j-1" exist

  # Guards against a refused job that runs once the platform is up again.
  Scenario: A job is refused as not run while the platform is down
    Given the platform is in the mode "down"
    When the job "j-1" of 2 members is submitted
    Then the submission is refused with the code "platform_unavailable"
    When the platform is in the mode "up"
    And the job "j-2" of 1 members is submitted
    Then the job "j-2" reaches the state "running"
    And no row and no task of "j-1" exist

  # Guards against reporting a recorded job as refused or unknown.
  Scenario: A lost answer to a submission is resolved by reading the row back
    Given the platform is in the mode "lose_answers"
    When the job "j-1" of 2 members is submitted
    Then the submission is "accepted"
    And the job "j-1" has 2 tasks that run

  # Guards against reporting a job as refused although its write took effect.
  Scenario: A submission whose row can't be read back is answered as unknown
    Given the platform is in the mode "lose_then_down"
    When the job "j-1" of 2 members is submitted
    Then the submission is "unknown"
    When the platform is in the mode "up"
    Then the job "j-1" reaches the state "running"
    And the job "j-1" has 2 tasks that run

  # Guards against a cancelled job that starts when workers become free.
  Scenario: A job is cancelled before it starts
    When the job "j-1" of 2 members is submitted
    And the job "j-2" of 2 members is submitted
    And the job "j-1" reaches the state "running"
    And the job "j-2" is cancelled
    Then the cancellation is "accepted"
    And the gang job "j-2" is recorded as "cancelled"
    When the job "j-1" is cancelled
    And the gang job "j-1" is recorded as "cancelled"
    And the job "j-3" of 2 members is submitted
    And the job "j-3" reaches the state "running"
    Then no task of "j-2" has started

  # Guards against members that run on because a cancellation overtook the start.
  Scenario: A job is cancelled while it starts
    Given worker 1 does not answer "start"
    When the job "j-1" of 2 members is submitted
    And worker 0 has received "start"
    And the job "j-1" is cancelled
    Then the cancellation is "accepted"
    And the gang job "j-1" is recorded as "cancelled"
    And nothing of "j-1" runs and its reason names the author

  # Guards against tasks that run on when many cancellations arrive together.
  Scenario: Several running jobs are cancelled at once
    When 4 jobs of 2 members with 2 accelerators are submitted
    And all 4 jobs reach the state "running"
    And all 4 jobs are cancelled at once
    Then all 4 jobs reach the state "cancelled"
    And nothing of "j-1" runs and its reason names the author
    And nothing runs on worker 0
    And nothing runs on worker 1

  # Guards against stopping a job whose cancellation can't be recorded.
  Scenario: A cancellation is refused while the platform is down, and changes nothing
    When the job "j-1" of 2 members is submitted
    And the job "j-1" reaches the state "running"
    And the platform is in the mode "down"
    And the decider has detected the outage
    And the job "j-1" is cancelled
    Then the cancellation is refused with the code "platform_unavailable"
    And the job "j-1" has 2 tasks that run

  # Guards against a job accepted by a daemon that may no longer decide.
  Scenario: A retired decider refuses jobs and starts nothing
    When the decider is retired
    And the job "j-1" of 2 members is submitted
    Then the submission is refused with the code "not_decider"
    And no row and no task of "j-1" exist

  # Guards against an elected decider that stops renewing leases after an error.
  Scenario: A decider recovers from an internal error and keeps its gangs running
    When the job "j-1" of 2 members is submitted
    And the job "j-1" reaches the state "running"
    And the decider receives a message that its handler fails on
    And the job "j-2" of 2 members is submitted once the decider is active again
    Then the submission is "accepted"
    And the job "j-1" has 2 tasks that run

  # Guards against two deciders that control the same workers.
  Scenario: Two deciders are active and the workers refuse the one with the lower epoch
    When the job "j-1" of 2 members is submitted
    And the job "j-1" reaches the state "running"
    And another decider is elected in epoch 2 while the first is still active
    Then the first decider is refused by a worker and steps down
    And the job "j-1" has 2 tasks that run
    And no call of epoch 1 took effect after the takeover

  # Guards against workers that refuse the earlier decider while no other can act.
  Scenario: A decider that can't claim the data centre does not call workers
    When the job "j-1" of 2 members is submitted
    And the job "j-1" reaches the state "running"
    And the platform is in the mode "down"
    And another decider is elected in epoch 2 and its polls fail
    Then no worker has seen epoch 2

  # Guards against a replaced decider that still records jobs.
  Scenario: A decider whose claim was taken over can't write
    When another decider claims the data centre in epoch 7
    And the job "j-1" of 2 members is submitted
    Then the submission is refused with the code "not_decider"
    And no row and no task of "j-1" exist
