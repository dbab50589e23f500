@alone
Feature: Clients that send incomplete requests exhaust no process

  The daemon gets less memory and shorter time limits than a VM gives, so that a small
  client load shows the fault. The load and the bounds were fixed on the code without
  limits on the memory of unfinished requests.

  Scenario Outline: Unfinished requests stay within the memory of the daemon
    Guards against a daemon that runs out of memory, or stops serving, because of
    clients that stop just before the end of a request and stay connected.

    Given a daemon with 96 MB and 2 seconds for a request
    When 300 connections send <kind> without the end
    Then its peak memory stays under 96 MB until it refuses or closes all connections
    And a job is accepted and done beside the load
    And a job is accepted and done after the load
    And the daemon is alive and its peak memory is under 96 MB

    Examples: kinds
      | kind                      |
      | a whole body              |
      | chunks of 64 KiB          |
      | chunks of one byte        |
      | a long header line        |
      | a long trailer            |
      | a body to an unknown path |
      | a body without a key      |

  # Guards against a request that stays open as long as a byte arrives now and then.
  Scenario: A request that arrives byte by byte is closed
    Given a daemon with 96 MB and 2 seconds for a request
    When 30 connections send a long header line without the end
    And 30 more connections send a byte at a time
    Then it refuses or closes all connections of the load
    And a job is accepted and done beside the load

  # Guards against idle connections that use up the descriptors of the process.
  Scenario: Idle connections leave descriptors for others
    Given a daemon with 400 descriptors
    When 500 connections send no bytes without the end
    Then a job is accepted and done beside the load
    And the daemon is alive and has under 400 descriptors open
    And a job is accepted and done after the load

  # Guards against a metrics server without bounds beside a bounded client server.
  Scenario: Unfinished requests to the monitoring server stay within the memory
    Given a daemon with 96 MB and 2 seconds for a request
    When 300 monitoring connections send a long header line without the end
    Then its peak memory stays under 96 MB until it refuses or closes all connections
    And the daemon reports that it is ready
