@alone
Feature: Clients that send incomplete requests exhaust no daemon of serve

  The daemon has a budget for the memory of a small VM, and 2 seconds for a request.

  Scenario Outline: Unfinished requests are refused or closed
    Guards against servers of serve without the bounds of serve-platform.

    Given a daemon of serve with 160 MB<tls>
    When 200 connections to its <server> send <kind> without the end
    Then its peak memory stays under 160 MB until it refuses or closes all connections
    And it answers a readiness check and an operator
    And it answers a caller and an operator that send a token and a body

    Examples: servers
      | server    | kind                   | tls       |
      | callers   | a whole body           |           |
      | callers   | a long header line     |           |
      | callers   | a body without a token |           |
      | operators | a whole body           |           |
      | operators | a long header line     |           |
      | operators | no bytes               | , and TLS |
