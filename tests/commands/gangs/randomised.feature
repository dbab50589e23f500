Feature: Invariants of gang scheduling in a simulation with random worker losses

  # Guards against accelerators leased twice, overcommitted workers, partly placed gangs,
  # guarantees that can't be reclaimed, jobs that never end, and jobs that are reported
  # as "not run" although they ran.
  Scenario Outline: The invariants hold while workers are lost at random
    When a trace of 4 hours runs with seed <seed> and random worker losses
    Then no invariant was violated
    And every accepted job ended

    Examples:
      | seed |
      | 11   |
      | 12   |
