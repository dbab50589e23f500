Feature: Timeouts of calls adapt to measured response times

  Scenario: Lost responses of a fast server time out quickly
    Given a timeout estimator with 20 recorded responses of 0.01 seconds
    Then the estimated timeout is 0.3 seconds

  Scenario: Consecutive timeouts raise the timeout
    Given a timeout estimator with 20 recorded responses of 0.01 seconds
    When 2 calls time out
    Then the estimated timeout is 1.0 seconds

  Scenario: The timeout exceeds the response time of a slow server
    Given a timeout estimator with 20 recorded responses of 0.4 seconds
    Then the estimated timeout is above 0.4 seconds

  Scenario: The timeout is at its maximum before the first response
    Given a timeout estimator with 0 recorded responses of 0.01 seconds
    Then the estimated timeout is 1.0 seconds
