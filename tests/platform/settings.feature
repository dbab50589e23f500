Feature: Changed settings are reported on a reload

  # Guards against a changed setting that silently waits for a restart.
  Scenario: Changed settings are listed by name
    Given settings whose "store" is "10.0.0.1:1"
    When they are compared with settings whose "store" is "10.0.0.2:1"
    Then the settings that differ are "store"

  Scenario: Unchanged settings are not listed
    Given settings whose "store" is "10.0.0.1:1"
    When they are compared with settings whose "store" is "10.0.0.1:1"
    Then the settings that differ are ""
