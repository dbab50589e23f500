Feature: Two daemons of a data centre share its endpoints

  Scenario: Two daemons together never use more slots than an endpoint has
    Guards against each daemon using the whole endpoint.
    Given two daemons with 1 endpoint of 4 slots
    And the endpoints run each request for 0.2 s
    When 20 requests are sent to each daemon at once
    Then every request ran
    And no endpoint ran more than 4 requests at once

  Scenario: The share of a killed daemon goes to the other daemon
    Guards against slots that stay unused after a daemon was killed.
    Given two daemons with 1 endpoint of 4 slots
    When the first daemon is killed
    Then the second daemon eventually uses 4 slots at once

  Scenario: A paused daemon does not use its old share when it resumes
    Guards against a daemon that resumes after its slots were given to another.
    Given two daemons with 1 endpoint of 4 slots
    And the endpoints run each request for 0.2 s
    When the first daemon is paused until the second uses 4 slots at once
    And the first daemon resumes while 20 requests are sent to each daemon
    Then no endpoint ran more than 4 requests at once

  Scenario: Both daemons continue to serve while the platform is down
    Guards against leases that need the platform to be renewed.
    Given two daemons with 1 endpoint of 4 slots
    When the platform is down for 8 s
    Then both daemons are ready
    When 5 requests are sent to each daemon at once
    Then every request ran

  Scenario: A daemon that starts during an outage gets the configuration from a peer
    Guards against a configuration that is lost or rolled back when VMs are replaced.
    Given two daemons with 1 endpoint of 4 slots
    When the platform goes down
    And the second daemon is killed and started again
    Then the second daemon shows the configuration of the first

  Scenario: Daemons with certificates reach each other
    Guards against peers that can't connect, or connect unencrypted, when TLS is
    configured.
    Given two daemons with certificates and 1 endpoint of 4 slots
    And the endpoints run each request for 0.2 s
    When 20 requests are sent to each daemon at once
    Then every request ran
    And no endpoint ran more than 4 requests at once
    And a peer without a certificate is refused

  Scenario: All daemons of a data centre are replaced during an outage
    Guards against a configuration rollback when no old daemon is left.
    Given two daemons in one data centre and one in another
    When the platform goes down
    And both daemons of the first data centre are killed and started again
    Then all daemons have the configuration

  Scenario: Two members that can't reach each other don't remove each other in turn
    Guards against members that rewrite the assignment every second instead of their
    heartbeats.
    Given two daemons with 1 endpoint of 4 slots that can't reach each other
    When the first daemon is paused for longer than a lease and resumes
    Then both daemons become ready
    And the assignment does not change for 5 s
