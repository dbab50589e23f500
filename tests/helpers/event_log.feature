Feature: The event log is bounded and never blocks

  Scenario: A reader that does not read costs lines, not time
    Given a log whose reader does not read
    When 20000 lines are put
    Then all were put without waiting for the reader
    And the dropped lines are counted

  Scenario: A kind that is written too often is cut, and the gap is told
    Given the budget of one kind of line
    When 1000 lines are asked for in one moment
    Then 200 of them are written and 800 are counted as skipped
    And a second later lines are written again
