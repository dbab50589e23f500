Feature: Callers' HTTP interface

  Scenario Outline: A request with <fault> is refused with a code
    Guards against invalid requests that are interpreted leniently or answered
    without an outcome.
    Given a daemon with 1 endpoints of 8 slots
    When a caller sends a request with <fault>
    Then the status is <status> and the code "<code>"
    And the response has the outcome "not_run" and echoes or assigns a request id

    Examples:
      | fault               | status | code            |
      | no token            | 401    | unauthorised    |
      | a wrong token       | 401    | unauthorised    |
      | no class            | 400    | header_invalid  |
      | an unknown class    | 400    | class_unknown   |
      | a timeout in words  | 400    | header_invalid  |
      | a timeout of 0      | 400    | header_invalid  |
      | a long request id   | 400    | header_invalid  |
      | an unknown service  | 404    | service_unknown |
      | an unknown path     | 404    | path_unknown    |
      | another method      | 405    | method_unknown  |
      | a body of 2 MiB     | 413    | body_too_large  |
      | a bad ticket count  | 400    | body_invalid    |
      | a malformed head    | 400    | malformed       |

  Scenario: The window of the request class limits the wait in the queue
    Guards against requests that stay queued until their caller's timeout.
    Given a daemon with 1 endpoints of 1 slots
    And the endpoints run each request for 8 s
    When the only slot is busy and a quote request with a timeout of 30 s is sent
    Then the quote request is refused as not run before the slot is free

  Scenario: A stopping daemon finishes the requests in progress
    Guards against a planned stop that interrupts a request or that load balancers
    cannot detect.
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints run each request for 4 s
    And a ticket
    When the daemon is asked to stop while the ticket's request runs
    Then it reports that it is not ready and still answers
    And it accepts no connections after the notice period
    And the first answer is "ran"
    And the daemon exits with status 0
