Feature: Gang jobs run whole or not at all when workers and the platform fail

  # Guards against a gang of which only a part runs after one of its workers was lost.
  Scenario: A worker is killed while a gang starts
    Given a gang cluster with 4 workers where tasks run 600 seconds
    And worker 2 does not answer "start"
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    And worker 0 has received "start"
    And worker 2 is killed
    And new tasks run for 1 seconds
    Then the gang job "g-1" is recorded as "finished"
    And the attempts of "g-1" ran whole except the first, which had 2 members

  # Guards against members that run on after one member of their gang was lost.
  Scenario: A worker is killed while a gang runs
    Given a gang cluster with 4 workers where tasks run 600 seconds
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    And the gang job "g-1" is recorded as "running"
    And worker 2 is killed
    And new tasks run for 1 seconds
    Then the gang job "g-1" is recorded as "finished"
    And the attempts of "g-1" ran whole except the first, which had 2 members

  # Guards against members that run on after one of them was stopped by its worker.
  Scenario: A lease expires because its renewal is late
    Given a gang cluster with 4 workers where tasks run 600 seconds
    And worker 2 delays "renew" by 6 seconds
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    And worker 0 has received "renew"
    And new tasks run for 1 seconds
    Then the gang job "g-1" is recorded as "finished"
    And the attempts of "g-1" ran whole except the first, which had 3 members

  # Guards against a faulty worker that gets job after job because it is always free.
  Scenario: A worker that fails all tasks does not consume the queue
    Given a gang cluster with 3 workers where tasks run 1 seconds
    And worker 0 fails all tasks
    And a daemon is started
    When the gang jobs "g-1 g-2 g-3 g-4 g-5 g-6" of 1 members are accepted
    Then the gang jobs "g-1 g-2 g-3 g-4 g-5 g-6" are recorded as "finished"
    And worker 0 ran at most 3 of their tasks

  # Guards against a faulty job that is retried for ever or blamed on the workers.
  Scenario: A job that fails on every worker ends as failed with a reason
    Given a gang cluster with 4 workers where tasks run 1 seconds
    And every worker fails the gang job "g-1"
    And a daemon is started
    When the gang jobs "g-1 g-2" of 1 members are accepted
    Then the gang job "g-1" is recorded as "failed"
    And its recorded reason names 3 workers
    And the gang job "g-2" is recorded as "finished"

  # Guards against a guarantee that waits for other jobs, and a preempted job that loses
  # its progress.
  Scenario: A job under a guarantee preempts another job after a checkpoint
    Given a gang cluster with 2 workers where tasks run 600 seconds
    And the organisation "benches" is guaranteed 2 workers
    And a daemon is started
    When the gang job "g-1" of 2 members that checkpoints in 1 seconds is accepted
    And the gang job "g-1" is recorded as "running"
    And tasks of "g-1" have run for 1 seconds
    And the gang job "g-2" of 2 members is accepted under the guarantee of "benches"
    Then the gang job "g-2" is recorded as "running"
    And the gang job "g-1" is recorded as "accepted"
    And the record of "g-1" holds saved progress
    And no accelerator was used by two tasks at once

  # Guards against a job that hangs or runs twice because its writes seem to fail.
  Scenario: Every answer of the platform to a write is lost
    Given a gang cluster with 3 workers where tasks run 1 seconds
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    And the platform is in the mode "lose_answers"
    Then the gang job "g-1" is recorded as "finished"
    And "g-1" ran once as a whole gang with 3 members

  # Guards against leases that expire during an outage, and gangs that start unrecorded.
  Scenario: The platform is down while a gang runs and ends
    Given a gang cluster with 3 workers where tasks run 16 seconds
    And a daemon is started
    When the gang job "g-1" of 3 members is accepted
    And the gang job "g-1" is recorded as "running"
    And the gang job "g-2" of 3 members is accepted
    And the platform is in the mode "down"
    Then each worker receives another renewal of "g-1"
    When all tasks of "g-1" have ended on the workers
    Then no task of "g-2" has started
    When the platform is in the mode "up"
    Then the gang job "g-2" is recorded as "finished"
    And "g-1" ran once as a whole gang with 3 members
    And "g-2" ran once as a whole gang with 3 members
