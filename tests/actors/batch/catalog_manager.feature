Feature: Each daemon knows the configuration and the evacuations that the operator wrote

  # Guards against a scheduler that starts work in an evacuated data centre because it
  # learned of the configuration first.
  Scenario: Evacuations are told before the configuration that comes with them
    Given a keeper of the configuration with a subscriber
    When the table is read with the configuration 4 and an evacuation of "dc-2"
    Then the subscriber is told of evacuations of "dc-2" and then of configuration 4

  # Guards against an evacuation that never ends.
  Scenario: An evacuation ends when its row is removed
    Given a keeper of the configuration with a subscriber
    When the table is read with the configuration 4 and an evacuation of "dc-2"
    And an evacuation of "dc-1" is added
    Then the subscriber was last told of evacuations of "dc-1 dc-2"
    When the evacuation of "dc-2" is taken back
    Then the subscriber was last told of evacuations of "dc-1"

  # Guards against an evacuation that goes on because its end was missed in an outage.
  Scenario: An evacuation that was taken back while nothing was heard ends
    Given a keeper of the configuration with a subscriber
    When the table is read with the configuration 4 and an evacuation of "dc-2"
    And the table is read with the configuration 4 alone
    Then the subscriber was last told of evacuations of ""

  # Guards against work in an evacuated data centre after a restart of the scheduler.
  Scenario: A later subscriber learns of evacuations first
    Given a keeper of the configuration with a subscriber
    When the table is read with the configuration 4 and an evacuation of "dc-2"
    And another subscriber comes
    Then the subscriber is told of evacuations of "dc-2" and then of configuration 4

  # Guards against a new plan of the fleet after each answer of the store.
  Scenario: An answer without news is not passed on
    Given a keeper of the configuration with a subscriber
    When the table is read with the configuration 4 and an evacuation of "dc-2"
    And an evacuation of "dc-2" is added
    Then the subscriber is told of evacuations of "dc-2" and then of configuration 4
    And it is told nothing else
