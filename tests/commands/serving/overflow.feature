Feature: Requests overflow to a peer when that saves time

  # Guards against queueing a request while a peer has free slots.
  Scenario: A request that would wait is forwarded
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    When 4 "quote" requests of "large" arrive
    Then 1 requests were forwarded

  # Guards against the cost of forwarding while local slots are free.
  Scenario: A request that can start at once is not forwarded
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    When 2 "quote" requests of "large" arrive
    Then 0 requests were forwarded

  # Guards against requests that loop between data centres.
  Scenario: A forwarded request is not forwarded again
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    And 3 "quote" requests of "large" arrive
    When a forwarded "quote" request "q" arrives
    Then 0 requests were forwarded

  # Guards against running a ticket on a daemon that did not issue it.
  Scenario: A non-idempotent request is never forwarded
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    When 5 "pass" requests of "large" arrive
    Then 0 requests were forwarded

  # Guards against all daemons forwarding to the same idle peer because of one report.
  Scenario: One load report of a peer allows only a part of its free slots
    Given a scheduler with 1 endpoints of 2 slots
    And 2 peers with 4 free slots each
    When 30 "quote" requests of "large" arrive
    Then 4 requests were forwarded

  # Guards against losing a request whose peer can't be reached.
  Scenario: A request that did not reach its peer is served locally
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    And 3 "quote" requests of "large" arrive
    And the "quote" request "q" arrives
    When the forward does not reach the peer
    And all attempts in flight are answered
    And all attempts in flight are answered
    Then 1 attempts of "q" were sent

  # Guards against passing on "not run" from a peer when a local attempt may have run.
  Scenario: A peer's refusal does not override an earlier attempt that may have run
    Given a scheduler with 1 endpoints of 1 slots
    And the lease ends in 1 s
    And the "quote" request "q" arrives
    And 1.1 s pass
    And a peer "vm-9" with 8 free slots
    When the attempt of "q" is lost
    Then 1 requests were forwarded
    When the peer refuses the forward as not run
    Then "q" gets the outcome "unknown" with the code "overloaded"

  # Guards against queueing requests without a lease while peers could serve them.
  Scenario: Without a lease idempotent requests are forwarded
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    And the lease ends in 1 s
    And 2 s pass
    When the "quote" request "q" arrives
    Then 1 requests were forwarded

  # Guards against forwarding a request whose answer can't return before its deadline.
  Scenario: A request close to its deadline is not forwarded
    Given a scheduler with 1 endpoints of 2 slots
    And a peer "vm-9" with 8 free slots
    And the lease ends in 1 s
    And 2 s pass
    When the "quote" request "q" arrives with 0.03 s remaining
    Then 0 requests were forwarded
