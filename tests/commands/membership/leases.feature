Feature: Members of a data centre share its endpoints without a coordination service

  # Guards against slots that stay unused after all members have adopted the assignment.
  Scenario: Shares are divided once all members have adopted the assignment
    Given a data centre with 2 daemons
    When 10 seconds pass
    Then the daemons together may use 8 slots
    And every daemon may use 4 slots

  # Guards against the slots of a crashed daemon that stay unused.
  Scenario: The share of a crashed daemon is reassigned within 8 seconds
    Given a data centre with 2 daemons
    When 10 seconds pass
    And "vm-0" crashes
    And 8 seconds pass
    Then "vm-1" may use 8 slots

  Scenario: The old row of a restarted daemon does not replace its new incarnation
    Guards against two members that keep reverting each other's assignments, because
    one of them reads the old incarnation from the table and gets heartbeats of the new
    one from its peer.
    Given a data centre with 2 daemons
    When 10 seconds pass
    And "vm-1" gets a heartbeat of a new incarnation of "vm-0" and then its old row
    Then "vm-1" knows the new incarnation of "vm-0"

  Scenario: A daemon is recognised again after the clock of its VM was set back
    Guards against ignoring a new incarnation forever, because its counter starts below
    the last counter of the previous one.
    Given a data centre with 2 daemons
    When 10 seconds pass
    And "vm-0" crashes
    And 8 seconds pass
    And "vm-1" gets a heartbeat of an incarnation of "vm-0" with a lower counter
    Then "vm-1" knows the new incarnation of "vm-0"

  # Guards against a platform outage that stops all daemons of a data centre.
  Scenario: A data centre that can't reach the platform keeps its shares
    Given a data centre with 2 daemons
    When 10 seconds pass
    And the simulated platform becomes unavailable
    And 60 seconds pass
    Then the daemons together may use 8 slots

  # Guards against a daemon that loses its lease when the platform and its only peer
  # are unreachable.
  Scenario: A crash during a platform outage does not stop the other daemon
    Given a data centre with 2 daemons
    When 10 seconds pass
    And the simulated platform becomes unavailable
    And 5 seconds pass
    And "vm-0" crashes
    And 30 seconds pass
    Then "vm-1" may use 4 slots

  # Guards against a daemon that uses its share after the share was reassigned.
  Scenario: A paused daemon has no lease when it resumes
    Given a data centre with 2 daemons
    When 10 seconds pass
    And "vm-0" is paused for 20 seconds
    And 15 seconds pass
    Then "vm-0" has no lease
    And "vm-1" may use 8 slots

  # Guards against two daemons that use the same slot after pauses, crashes, restarts,
  # platform outages, lost responses or cut connections.
  Scenario Outline: Slots are never oversubscribed under random faults
    Given a data centre with <count> daemons and seed <seed>
    When random faults are injected for 600 seconds
    Then no slot was ever oversubscribed
    And the daemons together may use 8 slots once the faults end

    Examples:
      | count | seed |
      | 2     | 1    |
      | 2     | 2    |
      | 3     | 3    |
      | 3     | 4    |
      | 4     | 5    |
      | 2     | 6    |
      | 3     | 7    |
      | 4     | 8    |
