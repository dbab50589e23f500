Feature: Urgent work goes first within organisation shares, and long work is not starved

  # Guards against short requests that wait behind long ones which arrived earlier.
  Scenario: Short work is sent before long work that arrived earlier
    Given a scheduler with 1 endpoints of 1 slots
    And the "render" request "running" arrives
    And the "render" request "long" arrives
    And the "quote" request "short" arrives
    When the attempt of "running" is answered
    Then 1 attempts of "short" were sent
    And 0 attempts of "long" were sent

  # Guards against long work that starves under a steady load of short work.
  Scenario: Long work gets a slot after it has waited for half of its window
    Given a scheduler with 1 endpoints of 1 slots
    And the "render" request "running" arrives
    And the "render" request "long" arrives
    And 6 s pass
    And the "quote" request "short" arrives
    When the attempt of "running" is answered
    Then 1 attempts of "long" were sent

  # Guards against a surge of one organisation using up the share of another.
  Scenario: An organisation below its share goes before one above its own
    Given a scheduler with 1 endpoints of 4 slots
    And 12 "quote" requests of "large" arrive
    And 2 "render" requests of "small" arrive
    When the oldest attempt is answered
    Then "small" uses 1 slots
    When the oldest attempt is answered
    Then "small" uses 1 slots

  # Guards against idle slots when the organisation that is entitled to them has no work.
  Scenario: An organisation uses all slots while the others are idle
    Given a scheduler with 1 endpoints of 4 slots
    When 4 "quote" requests of "small" arrive
    Then "small" uses 4 slots

  # Guards against relying on a declared service time that is far off.
  Scenario: The service time of a class is learned from its attempts
    Given a scheduler with 1 endpoints of 1 slots
    When 9 "quote" requests take 30 s each
    Then the typical service time of "quote" is above 20 s
