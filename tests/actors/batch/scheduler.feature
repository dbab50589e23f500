Feature: A scheduler handles events that arrive during and after its start

  # Guards against a scheduler that never plans because a planning timer fired before the
  # stored rows were loaded.
  Scenario: A configuration change before the stored rows are loaded does not block planning
    Given a scheduler whose store reads are blocked
    When the configuration changes and the planning timers fire
    And the store answers the reads
    And a job is submitted to the store
    Then the job's task is started on the worker

  # Guards against a scheduler that keeps the claim without one of its actors.
  Scenario: A failed child actor ends the scheduler so that another daemon takes over
    Given a scheduler whose store reads are blocked
    When one of its child actors fails
    Then its owner is notified that the scheduler ended

  # Guards against an evacuation that takes effect only with the next scheduler.
  Scenario: A running scheduler applies an evacuation at once
    Given a scheduler whose store reads are blocked
    When the store answers the reads
    And the scheduler receives the evacuations "dc-1"
    And a job is submitted to the store
    Then the job is still waiting after 4 planning rounds
    When the scheduler receives the evacuations ""
    Then the job's task is started on the worker

  Scenario: A registry row that is nested too deeply does not end the scheduler
    Each daemon in turn took the claim, failed on the row and left the claim, so that no
    accepted job was ever started.

    Given a scheduler whose store reads are blocked
    And a registry row 30000 levels deep
    When the store answers the reads
    And another registry row 30000 levels deep is written
    Then 2 registry rows are counted as unreadable
    When a job is submitted to the store
    Then the job's task is started on the worker

  # Guards against a row that keeps each daemon in turn from scheduling.
  Scenario: An unreadable interference row is skipped and counted
    Given a scheduler whose store reads are blocked
    And an unreadable interference row
    When the store answers the reads
    And a job is submitted to the store
    Then the job's task is started on the worker
    And the interference row was counted as unreadable

  # Guards against callers that are told that no job is pending after a takeover.
  Scenario: A scheduler that has not loaded the stored jobs gives the earlier counts
    Given a scheduler whose store reads are blocked
    Then it counts 3 pending jobs of "renders"
    And its first transaction contains 3 pending jobs of "renders"
    When the store answers the reads
    And a job is submitted to the store
    Then the job's task is started on the worker
    And it counts 0 pending jobs of "renders"

  Scenario: Idle workers do not occupy threads
    With one thread for each worker the scheduler exceeded the thread limit of its
    process: with 3,000 workers each daemon in turn took the claim and failed, and no job
    ever ran.

    Given a scheduler whose store reads are blocked
    And 200 workers in the registry
    When the store answers the reads
    And all 200 workers have been polled
    Then at most 20 threads were added
