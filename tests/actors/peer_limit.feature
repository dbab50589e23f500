Feature: A peer at its limit of concurrent calls counts as reachable

  Scenario: A call that a peer at its limit refuses has not run
    Guards against taking a busy peer for an unreachable one, and its refusal for a
    request that may have run.

    Given a peer server whose actors do not answer, with as many calls as it accepts
    When a peer link calls it
    Then the call failed, was not run, and the peer counts as reachable
