Feature: The TLS server bounds the times of requests and responses separately

  Scenario: Reading a request leaves the whole time for its response
    Guards against a response that is cut off because the remaining time of the request
    stayed the timeout of the socket.

    Given a request with 1 second to arrive and 30 seconds for its response
    When a part of it is read
    Then the socket has a timeout of 30 seconds
    When nothing more arrives before its time is over
    Then the socket has a timeout of 30 seconds
