Feature: Log compaction keeps the configuration, recent commands and the history

  # Guards against a new VM that reads too many rows or gets another configuration.
  Scenario: One range read after 200 changes returns the latest configuration
    Given a table with 200 changes recorded one by one
    Then a range read of the configuration returns version 200
    And the table holds between 64 and 128 log rows
    And the history holds 200 rows
    And the history of one name holds the rows of that name

  # Guards against applying a late retry a second time after a compaction.
  Scenario: Command ids are kept after their log rows were deleted
    Given a table with 200 changes recorded one by one
    Then a range read returns the command ids of the last 200 changes

  # Guards against a write based on rows that lack the latest changes.
  Scenario: Rows with a gap before the head version are not decoded
    Given a table with 70 changes recorded one by one
    When the log row of version 66 is deleted
    Then a range read of the configuration fails
