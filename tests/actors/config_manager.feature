Feature: The configuration manager answers peers and queries them during an outage

  Background:
    Given a configuration manager with links to peers "vm-2" and "vm-3"

  # Guards against a daemon that starts during an outage and never gets a configuration.
  Scenario: With the platform down, the highest version among the peers takes effect
    When the platform fails
    Then each peer is queried for a version above 0
    When "vm-2" answers with version 4
    And "vm-3" answers with version 7
    Then version 7 is in force and the subscriber was notified of 4 and 7

  # Guards against a rollback to the older version of a lagging peer or table.
  Scenario: A lower version never takes effect
    When "vm-2" answers with version 7
    And "vm-3" answers with version 5
    And the platform returns the head 6
    Then version 7 is in force and the subscriber was notified of 7
    When "set organisation x because 'r'" is submitted
    Then the author receives ChangeRefused with "platform_shows_older_configuration"

  # Guards against waiting for the next poll of the platform when a newer version is
  # known, and against peers that transfer the whole configuration although the platform
  # can supply the change.
  Scenario: When a peer reports a higher version, the platform is queried for it
    Given the platform returned an empty table
    When "vm-2" answers with version 3
    And "vm-3" reports version 4
    And "vm-2" reports version 2
    Then the platform is queried for the head once and no peer is queried

  # Guards against a peer's newer version that is not fetched during an outage.
  Scenario: During an outage a peer that reports a higher version is queried for it once
    When the platform fails
    And "vm-2" answers with version 3
    And "vm-3" answers with version 0
    And "vm-3" reports version 4
    And "vm-3" reports version 4
    And "vm-2" reports version 2
    Then only "vm-3" is queried for a version above 3, once

  # Guards against peers that send the whole configuration in every answer.
  Scenario: A peer receives the configuration only if it is newer than its own
    When "vm-2" answers with version 7
    Then a peer that asks for a version above 6 receives version 7
    And a peer that asks for a version above 7 receives none

  # Guards against a change reported as not recorded while its write may take effect.
  Scenario: When neither a write nor a read is answered, the outcome is unknown
    Given the platform returned an empty table
    When "set organisation x because 'r'" is submitted
    And the write fails and its time limit passes
    Then the author receives ChangeOutcomeUnknown

  # Guards against rows of another program that crash the actor.
  Scenario: Unreadable rows leave the configuration unchanged and the actor running
    When "vm-2" answers with version 7
    And the platform returns rows that hold no configuration
    Then version 7 is in force and the subscriber was notified of 7
    When "set organisation x because 'r'" is submitted
    Then the author receives ChangeRefused with "configuration_rows_unreadable"
