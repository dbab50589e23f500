Feature: The gRPC servers between daemons bound messages and calls

  # Guards against a peer, or whoever reaches its port, that fills the memory of a daemon.
  Scenario: A relay refuses messages over its limit and serves others
    Given a relay of the store
    When a call with a message of 5000000 bytes is sent to it
    Then the call fails with "RESOURCE_EXHAUSTED"
    And the store was not called
    And a call with a small message is answered

  # Guards against calls that wait for a thread in any number.
  Scenario: A relay refuses calls that can't get a thread soon
    Given a relay of a store that does not answer
    When 25 calls on each of 4 connections are sent to it
    Then at least 60 calls fail with "RESOURCE_EXHAUSTED"
