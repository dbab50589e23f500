Feature: Only the issuer of a ticket executes it

  Scenario: A ticket presented to another daemon runs at its issuer
    Guards against a second daemon that executes a ticket which it did not issue.
    Given 2 daemons with 1 endpoints of 8 slots
    And a ticket
    When the ticket is presented to daemon 2 with the body "two passes"
    Then the outcome is "ran" with the body "two passes"
    When the ticket is presented again with the body "two passes"
    Then the outcome is "ran" with code "ticket_used"
    And the ticket ran 1 times

  Scenario: A ticket presented to two daemons at once runs once
    Guards against two executions when a load balancer spreads a caller's retries.
    Given 2 daemons with 1 endpoints of 8 slots
    And the endpoints run each request for 1 s
    And a ticket
    When the ticket is presented to daemon 2 while its request runs
    Then the outcome is "unknown" with code "duplicate_in_progress"
    And the first answer is "ran"
    And the ticket ran 1 times

  Scenario: The issuer is killed between sending a request and its answer
    Guards against reporting "not run" for work that ran, and against running it again.
    Given 2 daemons with 1 endpoints of 8 slots
    And the endpoints run each request for 1 s
    And a ticket
    When the daemon is killed while the ticket's request runs
    And the ticket is presented to daemon 2 with the body "again"
    Then the outcome is "unknown" with code "issuer_unreachable"
    And the ticket ran 1 times

  Scenario: An outcome is known after its issuer was killed
    Guards against losing an outcome with the only daemon that knows it.
    Given 3 daemons with 1 endpoints of 8 slots
    And a ticket
    When the ticket is presented with the body "two passes"
    And the issuer is killed after its outcomes were copied
    Then daemon 2 and daemon 3 answer the outcome query with "ran"
    And another organisation learns nothing from daemon 2 and daemon 3
    When the ticket is presented to daemon 2 with the body "again"
    Then the outcome is "ran" with code "ticket_used"
    And the ticket ran 1 times

  Scenario: The issuer is cut off from the other daemon
    Guards against execution by a daemon that can't reach the issuer.
    Given 2 daemons behind proxies with 1 endpoints of 8 slots
    And a ticket
    When the peers are cut off from each other
    And the ticket is presented to daemon 2 with the body "cut off"
    Then the outcome is "unknown" with code "issuer_unreachable"
    And the ticket ran 0 times
    When the ticket is presented with the body "mine"
    Then the outcome is "ran" with the body "mine"
    And the ticket ran 1 times

  Scenario: A large answer is forwarded from the issuer through another daemon
    Guards against "not run" for work whose answer exceeds a transport limit.
    Given 2 daemons with 1 endpoints of 8 slots
    And the endpoints are "large"
    And a ticket
    When the ticket is presented to daemon 2 with the body "two passes"
    Then the outcome is "ran" with a body of 6291456 bytes
    And the ticket ran 1 times
