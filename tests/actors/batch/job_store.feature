Feature: Calls of clients are stored together with what they refer to

  # Guards against a cancellation that outlives its job: nothing removes it, and it would
  # cancel a later job with the same id.
  Scenario Outline: A cancellation is not stored after the rows of its job were removed
    Given a stored job that ended long ago
    When a client cancels the job, and its rows are removed <moment>
    Then the client is told that there is no such job
    And no cancellation is stored

    Examples:
      | moment                            |
      | before the job is read            |
      | between the read and the write    |

  # Guards against a cancellation that a condition refuses by mistake.
  Scenario: The cancellation of a stored job is stored
    Given a stored job that ended long ago
    When a client cancels the job
    Then the client is told that the job is cancelled
    And the cancellation is stored
