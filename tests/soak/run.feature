Feature: The invariants hold for real processes under random faults

  # Guards against jobs that are lost, run twice, run out of order or overcommit a worker
  # when daemons, workers, the store or the network fail.
  Scenario Outline: A short soak test passes
    Given the soak test ran with seed <seed> for <seconds> seconds
    Then jobs were accepted and tasks ran
    And no invariant was violated during the soak test

    Examples:
      | seed | seconds |
      | 1    | 15      |
      | 2    | 15      |
