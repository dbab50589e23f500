Feature: The evidence of interference is stored with the scheduler's transactions

  # Guards against a row that is written with each renewal, or where nothing disturbs.
  Scenario Outline: The row is written at most every 5 s, and only while it is needed
    Given evidence of a pair that <state>
    When a transaction is sent each second, and the evidence changes each second
    Then the transactions with the row are "<seconds>"

    Examples:
      | state                           | seconds |
      | is not known to disturb         |         |
      | is known to disturb             | 5 10    |
      | was known to the last scheduler | 5       |

  # Guards against a transaction that the store rejects each time that it is sent again.
  Scenario: A transaction with everything that can be due stays within the store's limit
    Given evidence of a pair that is known to disturb
    And 200 jobs with changed progress and stalls, and 100 rows to remove
    When a transaction is sent
    Then it has the row of interference and at most 100 entries
