Feature: Actors that call the store retry failed calls and report the results

  # Guards against a takeover that stops at the first failed read.
  Scenario: The initial load of a scheduler retries failed reads
    Given a store whose next 3 reads fail
    When 4 partitions of a table are loaded
    Then the owner receives all 4 partitions in one message

  # A job without progress counts as new, so it would run again if its progress was
  # removed first.
  Scenario: The rows of an expired job are removed before its progress
    Given a store whose next 0 reads fail
    When the rows of the expired job "00000000000000a1" and its cancellation are removed
    Then the owner is notified that the rows of "00000000000000a1" were removed
    And a single transaction removed 2 rows in the partition of "00000000000000a1"

  # Guards against an ended job that runs again because only its progress was removed.
  Scenario: A job whose rows could not be removed keeps its progress
    Given a store that refuses all transactions
    When the rows of the expired job "00000000000000a1" and its cancellation are removed
    Then the owner is notified that no rows were removed

  # Guards against a daemon that refuses jobs although the store answers again.
  Scenario: An unreachable store is probed until it answers
    Given a store whose next 2 reads fail
    And a probe of the store
    When the store becomes unreachable
    Then the store counts as reachable again

  # Guards against an owner that waits forever for an actor that has died.
  Scenario: An actor that fails notifies its owner
    Given a store whose transactions raise an unexpected error
    When the rows of the expired job "00000000000000a1" and its cancellation are removed
    Then the owner is notified that the "JobSweeper" has failed

  Scenario: A feed of large rows rereads the table after an error
    The changes missed in an outage contain every version of the configuration. On a slow
    link they arrived 13 s after the newest version was in force.

    Given a store whose next 0 reads fail
    And its next watch call fails
    When a feed that rereads after errors watches a table from version 5
    Then the owner is notified that the table is unavailable and then receives all its rows
