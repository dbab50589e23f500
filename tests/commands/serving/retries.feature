Feature: Only attempts that are safe to repeat are retried, within a budget

  # Guards against refusing a non-idempotent request whose first endpoint did not run it.
  Scenario Outline: An attempt that is known not to have run is retried
    Given a scheduler with 2 endpoints of 4 slots
    And the "pass" request "p" arrives
    When the attempt of "p" is <result>
    Then 2 attempts of "p" were sent
    And "p" was sent to 2 endpoints

    Examples:
      | result                        |
      | not sent                      |
      | refused as not run            |
      | refused by a leaving endpoint |

  # Guards against running non-idempotent work twice.
  Scenario: A lost non-idempotent attempt gets the outcome unknown and is not retried
    Given a scheduler with 2 endpoints of 4 slots
    And the "pass" request "p" arrives
    When the attempt of "p" is lost
    Then "p" gets the outcome "unknown" with the code "endpoint_failed"
    And 1 attempts of "p" were sent

  # Guards against running non-idempotent work twice when the error came after the work.
  Scenario: A non-idempotent attempt with an error answer is not retried
    Given a scheduler with 2 endpoints of 4 slots
    And the "pass" request "p" arrives
    When the attempt of "p" is answered with an error
    Then "p" gets the outcome "ran" with the code "no code"
    And 1 attempts of "p" were sent

  # Guards against the outcome "not run" when an earlier attempt may have run.
  Scenario: A request with a lost attempt never gets the outcome "not run"
    Given a scheduler with 2 endpoints of 4 slots
    And the retry budget allows every retry
    And the "quote" request "q" arrives
    When the attempt of "q" is lost
    And the attempt of "q" is not sent
    And the attempt of "q" is not sent
    Then "q" gets the outcome "unknown" with the code "endpoint_failed"
    And 3 attempts of "q" were sent

  # Guards against retries that multiply the load during an outage.
  Scenario: Retries add at most a tenth to the load during an outage
    Given a scheduler with 4 endpoints of 4 slots
    When 400 "quote" requests fail before they are sent
    Then at most 45 of the attempts were retries
