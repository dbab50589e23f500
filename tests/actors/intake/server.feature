Feature: A server bounds what its clients may take, and serves ordinary ones

  The server has a budget of 1 MiB, 20 connections, and closes a request after 1 second.

  Background:
    Given a server with these limits

  # Guards against bounds that change the service of ordinary clients.
  Scenario: Requests in any pieces on one connection are answered
    When a client sends 3 requests on one connection, byte by byte
    Then it gets 3 responses with status 200

  # Guards against pipelined requests that are lost, reordered or held in any number.
  Scenario: Pipelined requests are answered in order, one at a time
    When a client sends 50 requests at once on one connection
    Then it gets 50 responses with status 200
    And the responses come in the order of the requests

  # Guards against a worker thread that ends a request while the loop records it, which
  # left connections in a wrong phase and pipelined requests without a response.
  Scenario Outline: Requests are recorded correctly in any order of the threads
    Given threads that take turns after each instruction
    When 10 clients send <times> times <count> requests at once
    Then all of them get all their responses
    And all connections are idle

    Examples:
      | times | count |
      | 400   | 1     |
      | 100   | 4     |

  # Guards against a body that is read although its request can't be served.
  Scenario Outline: A request is refused before its body is read
    When a client sends only the head of a request <what>
    Then it gets 1 response with status <status>
    And its connection is closed after that
    And the application was not called

    Examples:
      | what                         | status |
      | to a refused path            | 404    |
      | with a body over the limit   | 413    |
      | with a body over its limit   | 413    |

  # Guards against a response that is lost because the connection was reset.
  Scenario: A client that is still sending can read its refusal
    When a client sends 500000 bytes to a refused path
    Then it gets 1 response with status 404

  Scenario: A client that waits for permission to send its body gets it
    When a client asks for permission to send a body of 10 bytes
    Then it is told to continue, and its request is answered with status 200

  # Guards against an error of the parser that ends the thread of the loop.
  Scenario Outline: A malformed request ends its own connection only
    When a client sends <what> <where>
    Then its last response has status 400
    And its connection is closed after that
    And a further client gets 1 response with status 200

    Examples:
      | what                    | where                 |
      | an invalid address      | alone                 |
      | an invalid address      | after another request |
      | a length of 5000 digits | alone                 |
      | a length of 5000 digits | after another request |

  # Guards against errors outside the handlers of events, which nothing caught.
  Scenario Outline: An error while a head is checked ends its own connection only
    When a client sends a head whose check fails <where>
    Then a further client gets 1 response with status 200

    Examples:
      | where                 |
      | alone                 |
      | after another request |

  # Guards against an incomplete request that ends without a response.
  Scenario: A request that stops arriving is refused after its time
    When a client sends only the head of a request with a body
    Then it gets 1 response with status 408
    And its connection is closed after that
    And the application was not called

  # Guards against a response that a client never reads.
  Scenario: A connection whose response is not read is closed
    When a client reads nothing of a response of 8000000 bytes
    Then its connection is closed by the server

  # Guards against closing connections whose requests arrived while the loop was blocked.
  Scenario: Requests that arrive while the loop is blocked are answered
    Given a server for 400 connections that closes those idle for 4 seconds
    And 300 idle connections
    When the connections are idle for 2.5 seconds
    And all of them send a request while the loop is blocked for 3 seconds
    Then all of them get a response

  # Guards against a new connection that replaces one whose request has just arrived.
  Scenario: A new connection at the limit closes none whose request has arrived
    Given 20 idle connections
    When all of them send a request after a new client connects in a blocked loop
    Then all of them get a response

  # Guards against a 408 on a connection whose client sends CRLF after a request.
  Scenario: Empty lines after a request leave the connection idle
    Given a client with an idle connection
    When it sends empty lines, and a request after the time for requests
    Then it gets 1 response with status 200

  # Guards against a stopping server that waits for incomplete requests.
  Scenario: A stopping server ends its idle connections
    Given a client with an idle connection
    When the server is asked to drain
    Then its connection is closed after that
    And the loop of the server ends
