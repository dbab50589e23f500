Feature: Job rows survive a round trip, and invalid rows are refused

  Scenario: The progress of a job is the same after a round trip
    Given a job with two steps, a failure and a finished occurrence
    When its progress is encoded and decoded
    Then both are equal

  Scenario: An ended job keeps its state
    Given a job that was cancelled
    When its progress is encoded and decoded
    Then the state shown to its caller is "cancelled"

  # Guards against accepted jobs that are lost with the update to a newer version.
  Scenario: A job that an earlier version stored is readable
    Given a stored job without the fields "image may_miss"
    Then it is read with the default values of these fields

  # Guards against a job that starts after the update to a newer version although its
  # client has cancelled it.
  Scenario: A cancellation that an earlier version stored applies to the job of any queue
    Given the cancellation that an earlier version stored
    Then it is read as a cancellation of any queue

  Scenario Outline: A row that holds something else is refused with a code
    When the bytes "<bytes>" are read as a <kind>
    Then the error is "codec_error"

    Examples:
      | bytes | kind     |
      | xyz   | spec     |
      | xyz   | leader   |
      | xyz   | progress |
      | xyz   | cancellation |
      | xyz   | peer     |
      |       | spec     |
      | xyz   | table    |
