Feature: Rows of the job table are applied in the order in which they were stored

  # Guards against an accepted job that is lost because the feed repeats the cancellation of
  # an earlier job with its id, which a complete read no longer contained.
  Scenario: A cancellation that was removed before a job was stored has no effect on it
    Given a complete read of the job table with a job
    When the feed repeats that an earlier job with its id was cancelled and removed
    Then the applied job is "queued"

  # Guards against a job that starts because it was stored after its cancellation, and both
  # are read at once.
  Scenario: A job that was stored after its cancellation is cancelled by a complete read
    Given a complete read of the job table with a job and an earlier cancellation
    Then the applied job is "cancelled"
