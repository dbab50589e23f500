Feature: An ended job is forgotten only after everything that is stored of it is gone

  # Guards against the removal of a job whose end is not stored, or that still runs.
  Scenario Outline: The rows of a job are removed only when <condition>
    Given a job that ended 241 s ago with a retention time of 120 s, but <exception>
    Then the removal of its rows is <requested>

    Examples:
      | condition                                 | exception                            | requested     |
      | its retention time is over                | nothing else                         | requested     |
      | twice its retention time is over          | a retention time of 121 s            | not requested |
      | its end is stored                         | its end was changed just now         | not requested |
      | the transaction with its end is confirmed | its transaction is not confirmed     | not requested |
      | none of its tasks runs                    | a worker still reports its task      | not requested |
      | it was not requested before               | its removal was requested            | not requested |

  # Guards against a request that the store has refused and that is never made again, or
  # again and again without a pause.
  Scenario: A failed removal is requested again after 5 s
    Given the requested removal of a job
    When the store has removed no rows
    Then the removal is requested again after 5 s and not after 4.9 s

  # Guards against a job that is taken for new because it was forgotten too early.
  Scenario: A job stays known until the removal of its progress is confirmed
    Given the requested removal of a job
    When the store has removed its rows
    Then the job is known and is not new
    When the feed reports the removal of its row
    Then the job is known and is not new
    When the removal of its progress is confirmed
    Then the job is not known

  # Guards against a job that is taken for removed because of an older change.
  Scenario: A removal that is older than the row of the job has no effect
    Given the requested removal of a job
    When the feed reports an earlier removal of a row with its id
    And the removal of its progress is confirmed
    Then the job is known and is not new

  # Guards against a running job that would be lost with its row.
  Scenario: A job that has not ended stays known without its row
    Given a running job
    When a complete read of the job table lacks its row
    And the removal of its progress is confirmed
    Then the job is known and is not new

  # Guards against the loss of a job whose id was used before: the confirmation is about
  # the earlier job, and the progress that is still stored is not that of the new job.
  Scenario: The confirmation for an earlier job does not affect the one that uses its id
    Given the requested removal of a job
    When the feed reports the removal of its row
    And a transaction with the removal of its progress is sent
    And a job with the same id is submitted
    And the transaction is confirmed
    Then the new job is known
    And its progress is written with the next transaction

  # Guards against a cancellation that stays because its job was about to be forgotten.
  Scenario: A cancellation that is stored after its job was removed is removed later
    Given the requested removal of a job
    When the store has removed its rows
    And the feed reports the removal of its row
    And a cancellation of the job is stored
    And the removal of its progress is confirmed
    Then the removal of the cancellation is requested 241 s later and not 240 s later

  # Guards against a cancellation that stays because it was stored again while the history
  # of changes was lost.
  Scenario: A cancellation that a complete read still contains is requested again
    Given the requested removal of a cancellation without a job
    When a complete read of the job table contains the cancellation
    Then the removal of the cancellation is requested 241 s later and not 240 s later

  # Guards against the removal of a cancellation that was stored again after its removal
  # was requested: a job that is stored late would start.
  Scenario: A cancellation that is stored again has a new retention time
    Given the requested removal of a cancellation without a job
    When the cancellation is stored again 241 s later
    Then its removal is not requested at once
    And the removal of the cancellation is requested 482 s later and not 481 s later

  # Guards against a cancellation that is forgotten because the feed repeats a change that
  # a complete read already contained.
  Scenario: A removal that is older than the row of the cancellation has no effect
    Given the requested removal of a cancellation without a job
    When the feed reports an earlier removal of a row of the cancellation
    Then the cancellation is still known

  # Guards against a cancellation that is removed with an earlier job of its id, while
  # another one may still be stored late.
  Scenario Outline: A cancellation is removed with its job only if it is as old
    Given a job that ended 241 s ago with a retention time of 120 s, but nothing else
    And its id was cancelled <age> s ago
    Then the removal of the job is requested <extent> the cancellation

    Examples:
      | age | extent  |
      | 241 | with    |
      | 240 | without |
