Feature: A job that has ended stays known until its rows are gone from the store

  Scenario Outline: A job whose rows were not removed does not run again after a lost history
    The leader forgot the job before its rows were removed. After the history was lost it
    read the job table anew and took the remaining row for a new job.

    Given a scheduler with a job that ended long ago
    And the store <fault> the removal of the job's rows
    When the scheduler has tried to remove the rows
    And the store loses its history
    And another job is submitted
    Then only the other job is started
    When the fault ends
    Then the store has no row of the job that ended

    Examples:
      | fault               |
      | refuses             |
      | does not answer     |
      | executes late       |

  # Guards against an old snapshot of the job table that brings a removed job back.
  Scenario: A snapshot that was read before the removal does not start the job again
    Given a scheduler with a job that is about to expire
    When the store loses its history, and the response of the last read is held back
    And the rows of the job have been removed from the job table
    And the response arrives
    And another job is submitted
    Then only the other job is started
    And the store has no row of the job that ended

  # Guards against progress rows that stay forever when a scheduler ends between the
  # removal of a job and that of its progress.
  Scenario: A new scheduler removes the progress of a job without a row
    Given a store with progress and stalls of a job without a row
    And a scheduler
    Then the store has no row of the job that ended

  # Guards against a job that runs again because its progress was taken for missing.
  Scenario: A job with unreadable progress is not started as a new one
    Given a store with a job whose progress is unreadable
    And a scheduler
    When the store loses its history
    And another job is submitted
    Then only the other job is started
    And the progress of the job is still stored

  # Guards against an accepted job that a late removal of its predecessor takes away.
  Scenario: A late removal does not affect a job that was submitted again under the same id
    Given a scheduler with a job that ended long ago
    And the store executes late the removal of the job's rows
    When the scheduler has tried to remove the rows
    And the rows are removed and the job is submitted again
    Then the job is started
    When the fault ends
    Then the row and the progress of the job are stored

  # Guards against cancellations without a job, which are never removed and would cancel
  # a later job with the same id.
  Scenario: A cancellation without a job is removed
    Given a store with a cancellation of a job without a row
    And a scheduler
    Then the store has no row of the job that ended
    When the job is submitted again
    Then the job is started

  Scenario Outline: A job that is stored late is not started if it was cancelled before
    Guards against a job that starts seconds after its client was told that there is no such
    job. Whatever the scheduler does in between, it has to know the cancellation.

    Given a store with an ended job of another queue under the same id
    And a submission that gets no response
    When the client cancels the job and is told that there is no such job
    And <event>
    And another job is submitted
    Then only the other job is started
    And the job is stored as cancelled

    Examples:
      | event                                                                     |
      | a scheduler removes the ended job, and the submission is executed         |
      | a scheduler removes the ended job, another one takes over, and the submission is executed |
      | a scheduler removes the ended job, the store loses its history, and the submission is executed |
      | the ended job is removed, the submission is executed, and a scheduler loads both rows |

  # Guards against a cancellation that is removed although it was stored again just now: a
  # submission that is stored late would start.
  Scenario: A late removal does not affect a cancellation that was stored again
    Given a store with a cancellation of a job without a row
    And the store executes late the removal of the job's rows
    When the scheduler has tried to remove the rows
    And the fault ends after the id was cancelled again
    Then the cancellation is still stored
