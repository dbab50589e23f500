Feature: Failing endpoints get one probe at a time and no other work

  # Guards against an endpoint that fails fast, so always has free slots, and is chosen
  # for most requests.
  Scenario: An endpoint that fails fast is excluded and probed with one request
    Given a scheduler with 2 endpoints of 4 slots
    And "runner-0" answers 6 "quote" requests with errors
    When 8 "quote" requests of "large" arrive
    Then "runner-0" has 0 attempts
    When 0.5 s pass
    And 3 "quote" requests of "large" arrive
    Then "runner-0" has 1 attempts

  # Guards against sending more requests to an endpoint that refuses connections.
  Scenario: An endpoint that can't be reached is excluded
    Given a scheduler with 2 endpoints of 4 slots
    And "runner-0" can't be reached for 3 "quote" requests
    When 8 "quote" requests of "large" arrive
    Then "runner-0" has 0 attempts

  # Guards against sending to an unresponsive endpoint until the deadlines of its
  # attempts pass.
  Scenario: An endpoint that answers none of its overdue attempts is excluded
    Given a scheduler with 2 endpoints of 4 slots
    And 6 "quote" requests of "large" arrive
    When "runner-1" answers its attempts
    And 1 s pass
    And 5 "quote" requests of "large" arrive
    Then "runner-0" has 3 attempts

  # Guards against losing non-idempotent work as a probe although idempotent work may
  # still arrive.
  Scenario: A non-idempotent request is not used as a probe at first
    Given a scheduler with 2 endpoints of 4 slots
    And "runner-0" can't be reached for 3 "quote" requests
    When 0.5 s pass
    And 2 "pass" requests of "large" arrive
    Then "runner-0" has 0 attempts

  # Guards against excluding every endpoint because of requests that fail everywhere.
  Scenario: Endpoints with the same failure ratio are not excluded
    Given a scheduler with 2 endpoints of 4 slots
    And every endpoint answers 60 "quote" requests with errors
    When 8 "quote" requests of "large" arrive
    Then 8 attempts are in flight

  # Guards against a burst on an endpoint that has just recovered.
  Scenario: A readmitted endpoint gets a slow start
    Given a scheduler with 2 endpoints of 4 slots
    And "runner-0" answers 6 "quote" requests with errors
    And 0.5 s pass
    And the "quote" request "probe" arrives
    When the attempt of "probe" is answered
    And 8 "quote" requests of "large" arrive
    Then "runner-0" has 1 attempts
    When 0.6 s pass
    Then "runner-0" has 4 attempts

  # Guards against all daemons choosing the same idle endpoint.
  Scenario: Equally loaded endpoints are chosen at random
    When 40 daemons with 4 endpoints each send their first request
    Then every endpoint is chosen by 3 to 20 daemons
