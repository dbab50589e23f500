Feature: The event log is bounded and never blocks

  # Guards against a daemon that blocks or fills its memory when nothing reads its log.
  Scenario: Lines that a stalled reader does not take are dropped without blocking
    Given a log whose reader is stalled
    When 20000 lines are queued
    Then all were queued without waiting for the reader
    And the dropped lines are counted

  # Guards against one frequent event that fills the log.
  Scenario: An event that occurs too often is limited, and skipped lines are counted
    Given the budget of one kind of event
    When 1000 lines are requested at the same time
    Then 200 of them are allowed and 800 are counted as skipped
    And a second later lines are allowed again
