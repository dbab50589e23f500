Feature: A request that can't start within its window is refused immediately as not run

  # Guards against an unbounded queue of requests that will miss their window anyway.
  Scenario: A request whose predicted wait exceeds its window is refused
    Given a scheduler with 1 endpoints of 1 slots
    And 30 "quote" requests of "large" arrive
    When the "quote" request "q" arrives
    Then "q" gets the outcome "not_run" with the code "overloaded"
    And the answer to "q" has a retry time

  # Guards against refusing a request that could still start in time.
  Scenario: A request that fits its window is queued
    Given a scheduler with 1 endpoints of 1 slots
    And 10 "quote" requests of "large" arrive
    When the "quote" request "q" arrives
    Then "q" is not answered

  # Guards against counting the queue of another organisation as wait for one that
  # is within its share.
  Scenario: A surge of one organisation does not refuse the other
    Given a scheduler with 1 endpoints of 4 slots
    And 100 "quote" requests of "large" arrive
    When 1 "quote" requests of "small" arrive
    Then no request of "small" is answered

  # Guards against sending a request whose caller no longer waits.
  Scenario: A queued request whose window ends is refused and not sent
    Given a scheduler with 1 endpoints of 1 slots
    And the "render" request "r" arrives
    And the "quote" request "q" arrives
    When 2.1 s pass
    Then "q" gets the outcome "not_run" with the code "deadline_expired"
    And 0 attempts of "q" were sent

  # Guards against a caller that waits forever on an attempt without a result.
  Scenario: A request without a result at its deadline gets the outcome unknown
    Given a scheduler with 1 endpoints of 1 slots
    And the "quote" request "q" arrives
    When 10.5 s pass
    Then "q" gets the outcome "unknown" with the code "deadline_expired"

  # Guards against the outcome "not run" while a request with the same id is running.
  Scenario: A second request with the id of an open one gets the outcome unknown
    Given a scheduler with 1 endpoints of 1 slots
    And the "pass" request "p" arrives
    When the "pass" request "p" arrives
    Then "p" gets the outcome "unknown" with the code "duplicate_in_progress"
    And 1 attempts of "p" were sent

  # Guards against sending after the lease has ended, when other daemons may use the
  # slots.
  Scenario: A request that arrives without a valid lease is refused
    Given a scheduler with 1 endpoints of 4 slots
    And the lease ends in 1 s
    And 1.1 s pass
    When the "quote" request "q" arrives
    Then "q" gets the outcome "not_run" with the code "no_lease"

  # Guards against a shutdown that interrupts accepted requests or accepts new ones.
  Scenario: A graceful shutdown refuses new requests and finishes the accepted ones
    Given a scheduler with 1 endpoints of 1 slots
    And the "quote" request "running" arrives
    And the "quote" request "waiting" arrives
    When the daemon begins to shut down
    And the "quote" request "late" arrives
    And the attempt of "running" is answered
    And the attempt of "waiting" is answered
    Then "late" gets the outcome "not_run" with the code "stopping"
    And "waiting" gets the outcome "ran" with the code "no code"
    And the daemon is idle
