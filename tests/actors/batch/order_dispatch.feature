Feature: Orders are sent to workers, and their results are applied

  # Guards against a pace that is decided but never sent, or never counts as in force, and
  # against the late answer to an earlier order that counts for it.
  Scenario: A pace order reaches the connection pool and its confirmation is recorded
    Given a filler beside a serving task with a target of 50 ms, started by this scheduler
    When the orders of a polled report with a tail of 45 ms are dispatched
    Then a pace of 50 percent is sent to "w1" and counted as "lower"
    And the pace is in force once the worker has confirmed it
