Feature: The refusal of a request does not depend on how its bytes arrive

  Scenario: A head and its body get the same response together and one by one
    Guards against refusals that lose their message, code or request id if the head is
    checked before the body has arrived.

    Given a daemon of serve with 160 MB
    Then these requests get the same response with their body at once and later
      | server    | request                    | token          | status | code         |
      | callers   | POST /v1/requests/booking  | wrong          | 401    | unauthorised |
      | callers   | POST /v2                   | desk-token     | 404    | path_unknown |
      | callers   | PUT /v1/tickets            | desk-token     | 405    | method_unknown |
      | callers   | POST //v1/tickets          | desk-token     | 400    | body_invalid |
      | operators | POST /v1/statements        | wrong          | 401    | unauthorised |
      | operators | POST /v2                   | operator-token | 404    | not_found    |
      | operators | PUT /metrics               | operator-token | 404    | not_found    |
