Feature: The worker client and the stand-in follow the worker interface

  Background:
    Given a worker stand-in and a client of it

  Scenario: Every call with a lower epoch is refused
    Given the worker has seen epoch 5
    Then each call with epoch 4 is refused as stale
    And the worker has no leases

  Scenario: Repeated calls are idempotent
    When a lease is reserved twice and started twice
    Then the worker's log shows one run
    And stopping it twice leaves it stopped

  Scenario: An expired lease can't be renewed
    When a lease of 0.3 seconds is started and expires
    Then its renewal reports the task as ended
    And starting or reserving it again does not change its state

  Scenario: An ended task stays in the inventory until it is acknowledged
    When a task has finished
    Then it is in the inventory until it is acknowledged
    And a late reservation of it is refused

  Scenario: Stopping an unknown lease invalidates its later reservation
    When a lease is stopped before its reservation arrives
    Then the late reservation is refused and the worker has no leases

  Scenario: A reservation is accepted without a capacity check
    When two leases for the same accelerators are reserved
    Then the worker has both leases

  Scenario: An unreachable worker is distinguished from an unresponsive one
    Given the worker does not answer
    Then a call fails with an unknown outcome
    When the worker is killed
    Then a call fails as not sent
