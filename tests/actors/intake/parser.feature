Feature: The parser bounds requests and reads legal ones in any pieces

  # Guards against requests that depend on how the network split them.
  Scenario: A legal request gives the same result for any pieces
    Then any legal request that arrives in any pieces is read as it was sent

  # Guards against differences between the loop for small chunks and waitress.
  Scenario: Any bytes are read as waitress reads them
    Then any chunked body, valid or not, is read as waitress reads it

  # Guards against a legal body that is refused because its framing counts as well.
  Scenario: A body in chunks of one byte is served
    Given a parser for bodies of 262144 bytes
    When a body of 262144 bytes arrives in chunks of 1 byte
    Then the parser has a complete request

  Scenario Outline: A request that is over a limit is refused
    Given a parser for bodies of 1000 bytes
    When the parser receives <data>
    Then the parser refuses the request with <status>

    Examples:
      | data                               | status |
      | a header line without end          | 431    |
      | a request line without end         | 431    |
      | a thousand headers                 | 431    |
      | a trailer without end              | 431    |
      | a chunk size without end           | 400    |
      | a length of 1001 bytes             | 413    |
      | 1001 bytes in chunks of 1 byte     | 413    |
      | 1001 bytes in one chunk            | 413    |
