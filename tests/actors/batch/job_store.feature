Feature: Calls of clients are stored together with what they refer to

  # Guards against a job that starts although its client was told that there is no such
  # job: a submission without a response is stored later and must find the cancellation.
  Scenario Outline: The cancellation of a job without rows is stored
    Given a stored job that ended long ago
    When a client cancels the job, and its rows are removed <moment>
    Then the client is told that there is no such job
    And the cancellation through the queue is stored

    Examples:
      | moment                            |
      | before the job is read            |
      | between the read and the write    |

  # Guards against a cancellation that a condition refuses by mistake.
  Scenario: The cancellation of a stored job is stored
    Given a stored job that ended long ago
    When a client cancels the job
    Then the client is told that the job is cancelled
    And the cancellation through the queue is stored

  # Guards against a client that is told that there is no such job while it is stored.
  Scenario: A job that is stored between the read and the write is cancelled
    Given a stored job that ended long ago
    When a client cancels the job, and it is stored between the read and the write
    Then the client is told that the job is cancelled
    And the cancellation through the queue is stored

  # Guards against an accepted job that is lost because another queue uses its id, and
  # against a job of this queue that starts because only the other one was found.
  Scenario: A cancellation through another queue is stored beside the job
    Given a stored job that ended long ago
    When a client of another queue cancels the job
    Then the client is told that there is no such job
    And the cancellation through the other queue is stored
    When a client cancels the job
    Then the client is told that the job is cancelled
    And the cancellation through both queues is stored

  # Guards against a cancellation that is removed at the end of its retention time although
  # a client was told just now that nothing will run.
  Scenario: A repeated cancellation replaces the stored one
    Given a stored job that ended long ago
    When a client cancels the job, and again 100 s later
    Then the stored cancellation is that of the second call

  # Guards against a cancellation that outlives its job and cancels a later one with the
  # same id: an attempt without a response may be executed late.
  Scenario: A cancellation that is executed late does not affect a later job
    Given a stored job that ended long ago
    When a client cancels the job, and the store executes it late
    Then the client is told that the outcome is unknown
    When the rows are removed, and another job is stored under the id
    And the late cancellation is executed
    Then no cancellation is stored
