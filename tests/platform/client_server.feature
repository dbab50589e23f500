Feature: The server for clients counts the bodies that it refuses itself

  Scenario Outline: A body over a limit is counted before it is read
    Guards against refusals with status 413 that are missing from the calls of clients.

    Given a server for clients with the test configuration, which allows 1000 bytes
    When a client sends the head of a job with a body of <size> bytes
    Then it gets status 413, and 1 more submission with that status is counted

    Examples: over the limit of the configuration, and over that of the server
      | size |
      | 1001 |
      | 5001 |
