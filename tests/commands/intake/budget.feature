Feature: Connections share a budget of memory, and the least active give way

  The budget is 1,000,000 bytes, of which 750,000 may go to large requests. A connection
  counts 8,192 bytes.

  Background:
    Given a budget of 1000000 bytes for 50 connections, 10 s for a request

  # Guards against large requests that all stop before their end.
  Scenario: A request that stopped is evicted for one that arrives
    Given 7 requests of 100000 bytes that stopped 3 s ago
    When a new request needs 100000 bytes
    Then it gets them and 1 request is evicted
    And the budget adds up

  # Guards against evictions of clients that are sending for one that has just begun.
  Scenario: The largest of requests that are equally active gives way
    Given 6 requests of 110000 bytes that are active
    When a new request needs 200000 bytes
    Then the intake refuses it
    When a new request needs 100000 bytes
    Then it gets them and 1 request is evicted

  # Guards against large requests that leave no memory to ordinary ones.
  Scenario: Small requests have a reserved share
    Given 7 requests of 107000 bytes that are active
    When a new request needs 20000 bytes
    Then it gets them and 0 requests are evicted

  # Guards against a response that is lost because its request was evicted.
  Scenario: A request that is being answered is never evicted
    Given 7 requests of 107000 bytes that are being answered
    When a new request needs 100000 bytes
    Then the intake refuses it
    When a new request needs 20000 bytes
    Then it gets them and 0 requests are evicted

  # Guards against single bytes that keep a large request from being evicted.
  Scenario: A byte now and then is no progress
    Given 7 requests of 100000 bytes that stopped 3 s ago
    And the last of them receives 1 byte
    And the first of them receives 2000 bytes
    When a new request needs 590000 bytes
    Then it gets them and 6 requests are evicted
    And the first of them is not evicted

  # Guards against a keep-alive connection that is refused because it was idle before.
  Scenario: The time without a request is no lack of progress
    Given 7 requests of 100000 bytes that are active
    And a connection that has been idle for 60 s
    When the idle connection needs 20000 bytes
    Then it gets them and 0 requests are evicted

  # Guards against a server that accepts no more connections.
  Scenario: The connection that was idle for the longest time makes room
    Given 49 requests of 1000 bytes that stopped 3 s ago
    And a connection that has been idle for 1 s
    When a client connects
    Then the idle connection is closed for it
    When a client connects
    Then the idle connection is not closed for it

  Scenario: No connection is opened while all requests are being answered
    Given 50 requests of 1000 bytes that are being answered
    When a client connects
    Then the intake refuses it

  # Guards against requests that stay incomplete although bytes arrive now and then.
  Scenario Outline: Connections are closed after a time that depends on their phase
    Given 1 requests of 1000 bytes that <phase>
    When it is looked at <seconds> s later
    Then the connection is expired with <reason>

    Examples:
      | phase                     | seconds | reason          |
      | are active                | 9       | nothing         |
      | are active                | 10      | request_time    |
      | trickle for 9 s           | 1       | request_time    |
      | are being answered        | 1000    | nothing         |
      | have ended                | 119     | nothing         |
      | have ended                | 120     | no reason       |
      | have an unread response   | 29      | nothing         |
      | have an unread response   | 30      | unread_response |
      | have been refused         | 1       | no reason       |

  # Guards against sums that drift from what the connections hold.
  Scenario: The sums stay right over any calls
    Then the budget adds up after any 200 calls, and never exceeds its size
