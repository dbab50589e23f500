Feature: Every request has one correct outcome in random traces with faults

  # Guards against bugs that appear only in sequences of endpoint failures, changed
  # shares, expired leases and leaving endpoints. Invariant checks are active as well.
  Scenario Outline: Every request is answered exactly once and correctly
    Given a random trace of 2500 requests with seed <seed>
    When the trace is run against endpoints that crash, hang, fail and leave
    Then every request got exactly one answer with its own id
    And no request with the outcome "not_run" was executed
    And no non-idempotent request ran twice
    And no endpoint ran more attempts than its slots
    And no leaving endpoint got new work
    And every kind of fault and every outcome occurred

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
