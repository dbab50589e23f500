Feature: Store calls fail over to a relay, and loss of both is reported

  Scenario: The store counts as reachable while the relay works
    Given a store that returns "unknown" directly and "ok" through a relay
    When a transaction is sent to the store
    Then the store call returns "ok"
    And the store counts as reachable

  Scenario: The watcher is notified once when neither the store nor the relay works
    Given a store that returns "unknown" directly and "refused" through a relay
    When a transaction is sent to the store
    Then the store call returns "unknown"
    When a transaction is sent to the store
    Then the store counts as unreachable and 1 notification was sent

  Scenario: A successful call makes the store reachable again
    Given a store that returns "refused" directly and "refused" through a relay
    When a transaction is sent to the store
    And the store returns "ok" directly from now on
    And a transaction is sent to the store
    Then the store counts as reachable

  Scenario: A call that may have been executed is not reported as refused
    Given a store that returns "refused" directly and "unknown" through a relay
    When a transaction is sent to the store
    Then the store call returns "unknown"

  Scenario: A refusal by one peer does not hide an unanswered commit to another
    Guards against refusing a job with status 503 although it runs: the first peer got no
    response to its commit, and the second one refused the call.

    Given a peer whose store does not answer and a peer whose store refuses
    When a transaction is sent through the peers
    Then the store call returns "unknown"

  Scenario: A large response over a slow link succeeds within several attempts
    Guards against a fixed timeout that aborts every attempt. A daemon that reached the
    store only through a relay never received a large configuration.

    Given a peer whose read responses take 1.6 seconds
    When a table is read through the peer with at most 3 attempts
    Then the store call returns "ok"

  Scenario: A commit that a relay at its limit refuses has not run
    Guards against reporting a commit as possibly run although the gRPC library refused
    it because of too many calls at a time.

    Given a peer that handles as many calls as it accepts
    When a transaction is sent through the peers
    Then the store call returns "refused"
