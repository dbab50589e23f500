Feature: Calls to workers tell what is the worker's doing, and cost no thread each

  Scenario: The exchange ends with its scheduler and closes its connections
    Each takeover left the threads and connections of the links for orders behind.

    Given a worker that answers
    And an exchange of calls to workers
    When a look is to be sent in time
    And the exchange is stopped
    Then the connection to the worker is closed
    And the exchange has ended

  Scenario: A look that this daemon delays still hears the worker
    A daemon that was behind with its messages counted its own lateness as silence of the
    workers. It stopped their gangs, planned them anew, and fell behind further.

    Given a worker that answers
    And an exchange of calls to workers
    When a look that extends leases is to be sent by a time that has passed
    Then the worker is looked at without an extension
    And the worker counts as heard

  Scenario: A start that this daemon delays is handed back
    Given a worker that answers
    And an exchange of calls to workers
    When a start is to be sent by a time that has passed
    Then the worker gets no call
    And the start is handed back to be sent later

  Scenario: An order to stop is not sent after the claim has run out
    A holder that was paused could stop work that another daemon had just started.

    Given a worker that answers
    And an exchange of calls to workers
    When a stop is to be sent by a time that has passed
    Then the worker gets no call
    And the stop counts as lost

  Scenario: The claim is checked again when the connection is open
    A start may wait for its connection, or for a busy daemon, until the claim has run out.

    Given a worker that answers
    And an exchange of calls to workers
    When a start is to be sent within 0.1 seconds
    Then the start is handed back to be sent later
    And the worker gets no call

  Scenario: Many workers that wait with their answers cost no thread each
    One or two threads a worker ended the scheduler where a process may not start more.

    Given 100 workers that wait with their answers
    And an exchange of calls to workers that takes no answer as lost
    When all workers are looked at and get an order each
    Then all orders are answered, and at most 3 threads are new
    When the workers answer the looks
    Then all workers count as heard

  Scenario: A worker that is silent holds up nobody else
    Given a worker that never answers
    And a second worker that answers
    And an exchange of calls to workers
    When both workers are looked at
    Then the second worker counts as heard before the first counts as silent

  Scenario: An answer in pieces is put together
    Given a worker that answers in pieces
    And an exchange of calls to workers
    When a look is to be sent in time
    Then the worker counts as heard

  Scenario: A worker that stops in the middle of its answer is silent
    Given a worker that breaks its answers off
    And an exchange of calls to workers
    When a start is to be sent in time
    Then the start counts as lost, since it may have been carried out

  Scenario: A start to a port without a listener has never left
    Given an address without a worker
    And an exchange of calls to workers
    When a start is to be sent in time
    Then the start counts as not sent

  Scenario: An answer that came while the daemon was paused is not lost
    Workers whose answers lay unread while the daemon slept counted as silent afterwards;
    their work was stopped.

    Given a worker that answers after 0.2 seconds
    And an exchange of calls to workers
    When a start is to be sent in time
    And the exchange is held up for 1.5 seconds meanwhile
    Then the start counts as carried out

  Scenario: A connection that the worker has closed is replaced
    Given a worker that closes each connection after a while
    And an exchange of calls to workers
    When a start is sent, and another one after the connection was closed
    Then both starts count as carried out

  Scenario: Orders to one worker go out one after the other
    Given a worker that answers
    And an exchange of calls to workers
    When 20 starts and a stop are to be sent at once
    Then the worker gets them in this order

  Scenario: A dropped worker gets what was ordered before
    Given a worker that answers after 0.2 seconds
    And an exchange of calls to workers
    When a stop is sent and the worker is dropped
    Then the stop counts as carried out
    And the connection to the worker is closed

  Scenario: A worker at a new address is called there
    Given a worker that answers
    And an exchange of calls to workers
    When a look is to be sent in time
    And the worker moves to another address and is looked at
    Then the worker counts as heard at the other address

  Scenario: Connections that rest are closed when there are too many
    Given 12 workers that answer
    And an exchange with at most 4 connections
    When the workers are looked at one after the other
    Then all workers count as heard
    And at most 4 connections are open

  Scenario Outline: A malformed <part> costs one call
    Given a worker whose answers have a malformed <part>
    And an exchange of calls to workers
    When a look is to be sent in time
    Then the worker counts as silent
    And the exchange still works

    Examples:
      | part   |
      | status |
      | length |
      | body   |

  Scenario Outline: An entry with <what> costs no more than its calls
    Given a worker entry with <what>
    And an exchange of calls to workers
    When a start is to be sent in time
    Then no start was carried out
    And the exchange still works

    Examples:
      | what                 |
      | a name as address    |
      | no port              |
      | a port out of range  |
      | a line break in the id |
