Feature: One request is served end to end by real processes

  # Guards against a truncated answer, another request's answer, and a second execution.
  Scenario: A caller receives the complete answer to its own request
    Given a platform, an endpoint and an entry daemon
    When a caller sends the request "r-1" with the body "two passes"
    Then the answer is "ran" with the body "two passes"
    And the endpoint ran "r-1" once
