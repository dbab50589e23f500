Feature: Calls to the store take another way, and a loss of all ways is noticed

  Scenario: One way that fails is no loss
    Given a store that gives "unknown" directly and "ok" by another daemon
    When a call is made
    Then the call gives "ok"
    And the store is not lost

  Scenario: The store is lost once no way works, and whoever watches is told once
    Given a store that gives "unknown" directly and "refused" by another daemon
    When a call is made
    Then the call gives "unknown"
    When a call is made
    Then the store is lost and 1 loss was told

  Scenario: Any answer ends the loss
    Given a store that gives "refused" directly and "refused" by another daemon
    When a call is made
    And the store gives "ok" directly again
    And a call is made
    Then the store is not lost

  Scenario: A call that may have been carried out is never told as refused
    Given a store that gives "refused" directly and "unknown" by another daemon
    When a call is made
    Then the call gives "unknown"

  Scenario: A commit that one peer did not answer is not refused by the next one
    # Grown chifre-ne, trouble-2: a job was refused with 503 and ran.
    Given a peer whose store is silent and a peer whose store refuses
    When a commit is sent by way of the peers
    Then the call gives "unknown"

  Scenario: A large answer on a slow link arrives in the end
    With a fixed limit each attempt was cut off, and a daemon that reached the store only
    by way of another one never got a large configuration.

    Given a peer whose answers to readings take 1.6 seconds
    When a table is read by way of the peer, at most 3 times
    Then the call gives "ok"
