Feature: Each request gets its own answer and a ticket runs at most once

  Scenario: Non-idempotent requests without a ticket are refused
    Guards against two daemons executing the same request id chosen by the caller.
    Given a daemon with 1 endpoints of 8 slots
    When a "confirm" request without a ticket is sent
    Then the outcome is "not_run" with code "ticket_required"

  Scenario: A ticket presented again after its request ended does not run again
    Guards against duplicate execution when a caller repeats a request.
    Given a daemon with 1 endpoints of 8 slots
    And a ticket
    When the ticket is presented with the body "two passes"
    Then the outcome is "ran" with the body "two passes"
    When the ticket is presented again with the body "two passes"
    Then the outcome is "ran" with code "ticket_used"
    And the ticket ran 1 times
    And the outcome query of "desk-token" answers 200 and "ran"

  Scenario: A ticket presented twice at once runs once
    Guards against two executions that start before the first one has ended.
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints run each request for 1 s
    And a ticket
    When the ticket is presented while its request runs
    Then the outcome is "unknown" with code "duplicate_in_progress"
    And the first answer is "ran"
    And the ticket ran 1 times

  Scenario: Another organisation can neither use a ticket nor see its outcome
    Guards against tickets and outcomes that leak between organisations.
    Given a daemon with 1 endpoints of 8 slots
    And a ticket
    When another organisation presents the ticket
    Then the outcome is "not_run" with code "ticket_unknown"
    When the ticket is presented with the body "mine"
    Then the outcome is "ran" with the body "mine"
    And the outcome query of "other-token" answers 404 and "not_run"
    And the ticket ran 1 times

  Scenario: A ticket whose answer was lost is never run again
    Guards against a retry of work that may have run.
    Given a daemon with 2 endpoints of 8 slots
    And the endpoints are "silent"
    And a ticket
    When the ticket is presented with a timeout of 700 ms
    Then the outcome is "unknown" with code "endpoint_failed"
    When the endpoints become "up"
    And the ticket is presented again with the body "again"
    Then the outcome is "unknown" with code "ticket_used"
    And the ticket ran 1 times

  Scenario: A ticket whose daemon was killed is never run by another process
    Guards against a second execution after a restart and against a false "not run".
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints run each request for 1 s
    And a ticket
    When the daemon is killed while the ticket's request runs
    And the daemon is started again
    And the ticket is presented again with the body "again"
    Then the outcome is "unknown" with code "issuer_unreachable"
    And the ticket ran 1 times

  Scenario: A burst never exceeds the slots of an endpoint
    Guards against more requests at once on an endpoint than it has slots.
    Given a daemon with 2 endpoints of 3 slots
    And the endpoints run each request for 0.05 s
    When 30 requests of each class are sent at once
    Then every request was answered by an endpoint
    And no endpoint ran more than 3 requests at once

  Scenario: A daemon that starts without configuration reports that it is not ready
    Guards against a daemon that accepts requests it cannot serve.
    Given a daemon that starts while the platform is down
    Then the daemon is not ready because of "no_configuration"
    When a "quote" request without a ticket is sent
    Then the outcome is "not_run" with code "no_configuration"
    When the platform comes back
    Then the daemon becomes ready

  Scenario: Requests are served while the platform is down
    Guards against a request path that depends on the platform.
    Given a daemon with 1 endpoints of 8 slots
    And a ticket
    When the platform is down for longer than a lease
    And the ticket is presented with the body "two passes"
    Then the outcome is "ran" with the body "two passes"
