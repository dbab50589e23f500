Feature: The guarantees to callers hold under random faults

  Scenario: A short run with a fixed seed
    Guards against a second execution of a ticket, "not run" for work that ran, answers
    to the wrong caller, oversubscribed slots, and missing recovery.
    When 360 random requests are sent to 2 daemons under faults with seed 2
    Then every invariant of the run holds
    And at least 100 requests ran
