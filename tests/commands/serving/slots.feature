Feature: Slots are never oversubscribed, and some are reserved for short work

  # Guards against more attempts on an endpoint than this daemon's share.
  Scenario: No endpoint gets more attempts than its share
    Given a scheduler with 2 endpoints of 4 slots
    And the share of each endpoint is 3 slots
    When 20 "quote" requests of "large" arrive
    Then 6 attempts are in flight
    And no endpoint has more than 3 attempts

  # Guards against sending while more attempts are in flight than a reduced share allows.
  Scenario: A reduced share takes effect as attempts end
    Given a scheduler with 1 endpoints of 4 slots
    And 8 "quote" requests of "large" arrive
    When the share of each endpoint is 2 slots
    And the oldest attempt is answered
    Then 3 attempts are in flight

  # Guards against reusing a slot while the endpoint may still run the lost attempt.
  Scenario: The slot of a lost attempt stays in use until the work has probably ended
    Given a scheduler with 1 endpoints of 1 slots
    And the "pass" request "p" arrives
    And the "quote" request "q" arrives
    When the attempt of "p" is lost
    Then 0 attempts of "q" were sent
    When 0.5 s pass
    Then 1 attempts of "q" were sent

  # Guards against long work that fills every slot just before short work arrives.
  Scenario: Slots that short work used recently are reserved for it
    Given a scheduler with 2 endpoints of 4 slots
    And a steady load of 2 "quote" requests
    When 20 "render" requests of "large" arrive
    Then fewer than 7 "render" attempts are in flight
    When 1 "quote" requests of "large" arrive
    Then 1 "quote" attempts are in flight

  # Guards against stragglers of short classes that use up the slots reserved for them.
  Scenario: Overdue short work counts as long work
    Given a scheduler with 2 endpoints of 4 slots
    And a steady load of 2 "quote" requests
    And 3 "quote" requests of "large" arrive
    And 1 s pass
    When 20 "render" requests of "large" arrive
    Then fewer than 4 "render" attempts are in flight
