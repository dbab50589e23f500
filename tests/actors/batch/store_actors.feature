Feature: Actors around the store repeat what failed and tell what they found

  Scenario: A takeover's reading goes on although some calls fail
    Given a store whose next 3 readings fail
    When 4 parts of a table are loaded
    Then all 4 parts are told to the owner in one message

  Scenario: The row of an old job goes before its progress may go
    Given a store whose next 0 readings fail
    When the old job "00000000000000a1" is swept
    Then the owner is told that the rows of "00000000000000a1" are gone
    And the store was asked to remove 2 rows in the part of "00000000000000a1"

  Scenario: A job whose row could not be removed keeps its progress
    Given a store that refuses all transactions
    When the old job "00000000000000a1" is swept
    Then the owner is told that no rows are gone

  Scenario: A lost store is probed until it answers
    Given a store whose next 2 readings fail
    And a probe of it
    When the store is lost
    Then the store is found again

  Scenario: An actor that an error ends tells its owner
    Given a store whose transactions end in an unexpected error
    When the old job "00000000000000a1" is swept
    Then the owner is told that the "JobSweeper" has failed

  Scenario: A feed of large rows reads them anew after an error
    The changes that were missed in an outage hold every version of the configuration. On
    a slow link they arrived 13 s after the newest one was in force.

    Given a store whose next 0 readings fail
    And its next watch fails
    When a feed that reads anew follows a table from version 5 on
    Then the owner is told that the table is silent, and then of all its rows
