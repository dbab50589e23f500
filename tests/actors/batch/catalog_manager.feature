Feature: Each daemon distributes the operator's configuration and evacuations

  # Guards against a scheduler that starts work in an evacuated data centre because it
  # received the configuration before the evacuations.
  Scenario: Evacuations are sent before the configuration of the same snapshot
    Given a catalog manager with a subscriber
    When a table snapshot holds configuration 4 and an evacuation of "dc-2"
    Then the subscriber receives the evacuations "dc-2" and then configuration 4

  # Guards against an evacuation that never ends.
  Scenario: An evacuation ends when its row is deleted
    Given a catalog manager with a subscriber
    When a table snapshot holds configuration 4 and an evacuation of "dc-2"
    And an evacuation row for "dc-1" is added
    Then the last evacuations sent to the subscriber are "dc-1 dc-2"
    When the evacuation row for "dc-2" is deleted
    Then the last evacuations sent to the subscriber are "dc-1"

  # Guards against an evacuation that stays active because the deletion of its row was
  # missed while the store was unreachable.
  Scenario: An evacuation that is absent from a table snapshot ends
    Given a catalog manager with a subscriber
    When a table snapshot holds configuration 4 and an evacuation of "dc-2"
    And a table snapshot holds only configuration 4
    Then the last evacuations sent to the subscriber are ""

  # Guards against work in an evacuated data centre after a restart of the scheduler.
  Scenario: A new subscriber receives the evacuations before the configuration
    Given a catalog manager with a subscriber
    When a table snapshot holds configuration 4 and an evacuation of "dc-2"
    And another subscriber is added
    Then the subscriber receives the evacuations "dc-2" and then configuration 4

  # Guards against a planning round after each response of the store.
  Scenario: Unchanged evacuations are not sent again
    Given a catalog manager with a subscriber
    When a table snapshot holds configuration 4 and an evacuation of "dc-2"
    And an evacuation row for "dc-2" is added
    Then the subscriber receives the evacuations "dc-2" and then configuration 4
    And the subscriber receives nothing else
