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

  # Guards against ended jobs that run again, or whose rows stay, when the store or the
  # daemons fail while they are removed.
  Scenario: A short soak test with removals of jobs passes
    Given the soak test ran with seed 3 for 30 seconds, and results kept for 5 seconds
    Then jobs were accepted and tasks ran
    And no invariant was violated during the soak test
