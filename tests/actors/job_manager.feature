Feature: No worker is called before the start is recorded on the platform

  Background:
    Given a job manager with an accepted job of 2 members on 2 workers

  # Guards against tasks that a later decider can't assign to a job.
  Scenario: A start is recorded before any worker is called
    When the manager plans
    Then the start is being written and no worker was called
    When the write is confirmed
    Then both workers were asked to reserve

  # Guards against a call to a worker for a start that may not be recorded.
  Scenario: A start waits until its unanswered write is confirmed
    When the manager plans
    And the write gets no answer
    And the row is read back and holds the start
    Then both workers were asked to reserve

  # Guards against accelerators that stay reserved for a start that was given up.
  Scenario: A start whose row was changed by another writer frees its leases
    When the manager plans
    And the write is refused and the row holds the state "cancelled"
    Then no worker was called
    And no lease is held

  # Guards against a start that follows the cancellation of its job.
  Scenario: A job is cancelled before the write of its start is confirmed
    When the manager plans
    And the job is cancelled
    And the write is confirmed
    And the write is confirmed
    And the write is confirmed
    Then no worker was called
    And the job's record has the state "cancelled"
    And no lease is held

  # Guards against reporting "not run" for a job whose tasks may have run.
  Scenario: A job with an earlier attempt is not reported as not run
    Given the job has had 1 attempt
    When the job is rejected
    Then the job's record has the state "failed"

  # Guards against endless retries of a job that fails on all workers that fit it.
  Scenario: A gang that fails wherever it fits ends as failed after five attempts
    When each attempt of the gang fails on the first worker
    Then the job was tried 5 times and its record has the state "failed"

  # Guards against confirming a write by the answer to another one with the same tag.
  Scenario: An answer to a write of an earlier term is ignored
    When the manager plans
    And an earlier table of this daemon had a write in flight
    Then the answer to that write is not matched to a write of this table

  # Guards against giving up a write because its row was written with the same value.
  Scenario: A write with an outdated row version is sent again
    When the manager plans
    And the write is refused and the row is unchanged at version 9
    Then the start is being written and no worker was called
    When the write is confirmed
    Then both workers were asked to reserve

  Scenario Outline: A submission that is stored late does not run if it was cancelled
    Guards against a job that starts after its operator was told that no such job is
    recorded, and against a cancellation that is dropped with the submission before it.

    When the submission of another job is being written
    And the other job is cancelled <moment>
    Then the submission is answered as unknown
    And the cancellation is being written on the condition that the job has no row
    When the write is confirmed
    Then the cancellation is answered as accepted
    When the submission is stored late
    Then the other job's record has the state "cancelled"

    Examples:
      | moment                          |
      | after its write got no answer   |
      | while its write is not answered |
