Feature: Concurrent configuration managers converge although the platform loses calls

  # Guards against a change that is applied twice, lost after it was reported as applied,
  # or applied after it was reported as refused, and against actors that do not converge.
  Scenario: Random losses, late writes, races and repeated commands
    When 3 configuration managers make random changes with losses on 30 seeds
    Then every command appears at most once in the history
    And every command reported as applied appears there at its version
    And no command that was only refused appears there
    And no actor moved to a lower version and all end with the table's configuration
