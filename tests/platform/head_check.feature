Feature: The head of a request decides whether its body is read

  Scenario Outline: The body of a request is refused or limited
    Guards against bodies that are read although their request can't be served.

    Given the test configuration, which allows bodies of 1000 bytes
    When a request for host "<host>", path "<path>" and key "<key>" is checked
    Then the verdict is "<verdict>"

    Examples:
      | host    | path          | key       | verdict    |
      | host    | /quotes/00aa  | key-desks | 1000 bytes |
      | HOST:80 | //quotes/00aa | key-desks | 1000 bytes |
      | host    | /quotes/00aa  | wrong     | 401        |
      | host    | /quotes/00aa  |           | 401        |
      | host    | /other/00aa   | key-desks | 404        |
      | other   | /quotes/00aa  | key-desks | 404        |

  # Guards against refusals by a daemon that has not read the configuration yet.
  Scenario: Without a configuration the application decides
    Given no configuration
    When a request for host "host", path "/quotes/00aa" and key "" is checked
    Then the verdict is "5000 bytes"

  # Guards against a check that keeps the first configuration.
  Scenario: A newer configuration is passed on to the check
    Given a check that follows a configuration manager
    When the manager publishes the test configuration
    And a request for host "host", path "/quotes/00aa" and key "wrong" is checked
    Then the verdict is "401"
