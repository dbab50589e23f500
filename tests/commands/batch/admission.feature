Feature: Access to queues by host, path prefix and API key

  Scenario Outline: Access by longest matching prefix and known key
    When a caller with the key "<key>" requests host "<host>" and path "<path>"
    Then access is <result>

    Examples:
      | key        | host      | path          | result                       |
      | key-desks  | host      | /quotes/00aa  | granted to "quotes" for 00aa |
      | key-desks  | HOST:8080 | /quotes/00aa  | granted to "quotes" for 00aa |
      | key-desks  | host      | /quotes/      | granted to "quotes" for      |
      | old-key    | host      | /quotes/00aa  | denied as "key_unknown"      |
      |            | host      | /quotes/00aa  | denied as "key_unknown"      |
      | key-desks  | other     | /quotes/00aa  | denied as "no_queue"         |
      | key-desks  | host      | /nothing/00aa | denied as "no_queue"         |
