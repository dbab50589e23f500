Feature: An endpoint connection never returns the answer to another request

  Scenario: An unresponsive connection is closed at the deadline and not reused
    Guards against sending requests over a connection on which nothing is answered.
    Given a daemon whose endpoint is behind a proxy
    And a ticket
    When the open connections stop responding
    And the ticket is presented with a timeout of 700 ms
    Then the outcome is "unknown" with code "endpoint_failed"
    And the next requests are answered over new connections

  Scenario Outline: A connection that is cut <direction> never causes a false "not run"
    Guards against reporting "not run" for work that ran, and against endless waits.
    Given a daemon whose endpoint is behind a proxy
    And a ticket
    When the proxy drops what goes "<direction>"
    And the ticket is presented with a timeout of 700 ms
    Then the outcome is "unknown" with code "endpoint_failed"
    And the ticket ran <runs> times
    When the proxy forwards all traffic again
    Then the next requests are answered over new connections

    Examples:
      | direction | runs |
      | to_server | 0    |
      | to_client | 1    |

  Scenario Outline: A <mode> answer is discarded and its connection closed
    Guards against returning an incomplete answer or another request's answer.
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints are "<mode>"
    And a ticket
    When the ticket is presented with a timeout of 1000 ms
    Then the outcome is "unknown" with code "endpoint_failed"
    And the ticket ran 1 times
    When the endpoints become "up"
    Then the next requests are answered

    Examples:
      | mode    |
      | crossed |
      | cut     |
      | dribble |

  Scenario: An endpoint is killed during a request
    Guards against retrying work that had begun, or reporting it as "not run".
    Given a daemon with 2 endpoints of 8 slots
    And a ticket
    And enough requests were answered to allow retries
    And the endpoints run each request for 1 s
    When the endpoint that runs the ticket's request is killed
    Then the first answer is "unknown"
    And the next requests are answered

  Scenario: An endpoint refuses a request without running it
    Guards against reporting "unknown" for work that certainly did not run.
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints are "refusing"
    And a ticket
    When the ticket is presented with a timeout of 1000 ms
    Then the first outcome "not_run" is final and the ticket never ran
