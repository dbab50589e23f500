Feature: A leaving endpoint gets no new work and finishes its attempts in flight

  # Guards against new work on an endpoint that is about to stop.
  Scenario Outline: An endpoint that any source reports as leaving gets no new work
    Given a scheduler with 2 endpoints of 4 slots
    And 2 "quote" requests of "large" arrive
    When "runner-0" is reported as leaving by <source>
    And 10 "quote" requests of "large" arrive
    Then "runner-0" got no new attempts

    Examples:
      | source         |
      | the platform   |
      | a drain        |
      | its own answer |

  # Guards against interrupting attempts that were in flight before the endpoint left.
  Scenario: An attempt in flight on a leaving endpoint is answered
    Given a scheduler with 1 endpoints of 1 slots
    And the "pass" request "p" arrives
    When "runner-0" is reported as leaving by the platform
    And the attempt of "p" is answered
    Then "p" gets the outcome "ran" with the code "no code"

  # Guards against queueing requests that no endpoint will accept.
  Scenario: A request is refused immediately when its only endpoint is leaving
    Given a scheduler with 1 endpoints of 1 slots
    When "runner-0" is reported as leaving by the platform
    And the "quote" request "q" arrives
    Then "q" gets the outcome "not_run" with the code "no_endpoint"

  # Guards against an endpoint that stays unused after a restart.
  Scenario: An endpoint that accepts work again gets new requests
    Given a scheduler with 1 endpoints of 1 slots
    And the "quote" request "first" arrives
    And the attempt of "first" is answered by a leaving endpoint
    When "runner-0" is found to accept work again
    And the "quote" request "q" arrives
    Then 1 attempts of "q" were sent

  # Guards against a bug in endpoint selection that sends to a leaving endpoint.
  Scenario: Sending to an endpoint after the leaving grace period violates an invariant
    Given a scheduler with 1 endpoints of 1 slots
    When "runner-0" is reported as leaving by the platform
    Then sending to "runner-0" 4 s later violates the invariant "no new work after leaving"
