Feature: Idle connections are checked before reuse

  Scenario: A connection in constant use is not polled before each request
    Guards against polling before each request, which took most of the time of a busy
    scheduler's calls to workers.

    Given a connection to a server that keeps it open
    When 5 requests are sent one after the other
    Then the connection is polled at most once

  Scenario: A connection that the server has closed is not reused
    Guards against a start on a closed connection, which would count as sent and lost.

    Given a connection to a server that closes it after each response
    When 3 requests are sent 0.3 seconds apart
    Then all requests succeed
