Feature: Results of worker calls are attributed correctly and need no thread per worker

  Scenario: The connection pool closes its connections when it is stopped
    Each takeover leaked the threads and connections for orders.

    Given a worker that answers
    And a worker connection pool
    When a poll is requested
    And the connection pool is stopped
    Then the connection to the worker is closed
    And the connection pool has ended

  Scenario: A poll that this daemon sends late does not make the worker unresponsive
    A daemon with a backlog of messages treated its own delay as missing responses of
    the workers. It stopped their gangs, planned them again and fell further behind.

    Given a worker that answers
    And a worker connection pool
    When a poll that extends leases is requested after its send deadline
    Then the worker receives a poll without a lease extension
    And the worker counts as responsive

  # Guards against a start that counts as refused by the worker although this daemon sent
  # nothing.
  Scenario: A start that this daemon would send too late is postponed
    Given a worker that answers
    And a worker connection pool
    When a start is requested after its send deadline
    Then the worker receives no call
    And the start is reported as unsent

  Scenario: A stop is not sent after the claim has expired
    A paused daemon could otherwise stop a task that its successor has just started.

    Given a worker that answers
    And a worker connection pool
    When a stop is requested after its send deadline
    Then the worker receives no call
    And the stop is reported as unanswered

  Scenario: The send deadline is checked again when the connection is open
    A start may wait for its connection, or for a busy daemon, until the claim has
    expired.

    Given a worker that answers
    And a worker connection pool
    When a start is requested with a send deadline in 0.1 seconds
    Then the start is reported as unsent
    And the worker receives no call

  Scenario: Many workers with pending polls do not need a thread each
    With one or two threads for each worker the scheduler exceeded the thread limit of its
    process.

    Given 100 workers that delay their responses to polls
    And a worker connection pool without an effective call timeout
    When all workers are polled and receive an order each
    Then all orders are answered and at most 3 threads were added
    When the workers answer the polls
    Then all workers count as responsive

  # Guards against one worker that delays the calls to all others.
  Scenario: An unresponsive worker does not delay calls to other workers
    Given a worker that never answers
    And a second worker that answers
    And a worker connection pool
    When both workers are polled
    Then the second worker counts as responsive before the first counts as unresponsive

  Scenario: A response that arrives in chunks is reassembled
    Given a worker that sends its responses in chunks
    And a worker connection pool
    When a poll is requested
    Then the worker counts as responsive

  # Guards against a start that counts as not sent although the worker executed it.
  Scenario: A start with a truncated response counts as unanswered
    Given a worker that closes the connection in the middle of its response
    And a worker connection pool
    When a start is requested
    Then the start is reported as unanswered, since it may have been executed

  # Guards against a task that waits for a stop although its start was never sent.
  Scenario: A start to a closed port counts as not sent
    Given an address without a listening worker
    And a worker connection pool
    When a start is requested
    Then the start is reported as not sent

  Scenario: A response that arrived while the daemon was paused is not lost
    Workers whose responses stayed unread while the daemon was paused counted as
    unresponsive afterwards, and their tasks were stopped.

    Given a worker that answers after 0.2 seconds
    And a worker connection pool
    When a start is requested
    And the connection pool is blocked for 1.5 seconds
    Then the start is reported as executed

  # Guards against the daemon's own pause that counts as a missing response of the worker.
  Scenario: An order that waited behind a pause of the daemon gets its full time limit
    Given a worker that answers after 0.2 seconds
    And a worker connection pool
    When a start is requested behind a stop whose response is read for 1.5 seconds
    Then the start is reported as executed

  # Guards against a call on a connection that the worker has closed.
  Scenario: A connection that the worker closed is replaced
    Given a worker that closes each connection after its response
    And a worker connection pool
    When a start is sent, and another one after the worker closed the connection
    Then both starts are reported as executed

  # Guards against a stop that overtakes the start before it.
  Scenario: Orders to one worker are sent in the order of their requests
    Given a worker that answers
    And a worker connection pool
    When 20 starts and a stop are requested at once
    Then the worker receives them in this order

  # Guards against a stop that is lost when its worker is removed.
  Scenario: A removed worker still receives earlier orders
    Given a worker that answers after 0.2 seconds
    And a worker connection pool
    When a stop is requested and the worker is removed
    Then the stop is reported as executed
    And the connection to the worker is closed

  # Guards against calls to the former address of a worker.
  Scenario: A worker with a new address is called there
    Given a worker that answers
    And a worker connection pool without an effective call timeout
    When a poll is requested
    And the worker moves to another address and is polled
    Then the worker counts as responsive at the other address

  # Guards against a process that runs out of file descriptors.
  Scenario: Idle connections are closed at the connection limit
    Given 12 workers that answer
    And a worker connection pool limited to 4 connections
    When the workers are polled one after the other
    Then all workers count as responsive
    And at most 4 connections are open

  # Guards against a malformed response that ends the actor.
  Scenario Outline: A response with a malformed <part> fails only its own call
    Given a worker whose responses have a malformed <part>
    And a worker connection pool
    When a poll is requested
    Then the worker counts as unresponsive
    And the connection pool still works

    Examples:
      | part    |
      | status  |
      | length  |
      | body    |
      | nesting |

  # Guards against a registry entry that ends the actor.
  Scenario Outline: A registry entry with <what> fails only its own calls
    Given a worker entry with <what>
    And a worker connection pool
    When a start is requested
    Then no start was executed
    And the connection pool still works

    Examples:
      | what                 |
      | a name as address    |
      | no port              |
      | a port out of range  |
      | a line break in the id |
