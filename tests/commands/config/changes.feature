Feature: Configuration changes are validated and applied

  Background:
    Given the configuration
      """
      set organisation desks share 2 quota 16 because "test";
      set organisation bench because "test";
      set class quote rank 0 window 200ms expected 30ms because "test";
      set service booking endpoint runner-1 in dc-a at 10.0.0.1:80 slots 8 connections 64 because "test";
      set worker w1 in dc-a rack r1 at 10.0.1.1:80 accelerators 8 cores 32 memory 128 because "test";
      set worker w2 in dc-a rack r1 at 10.0.1.2:80 accelerators 8 cores 32 memory 128 because "test";
      set guarantee tours for desks in dc-a members 1 accelerators 8 because "test"
      """

  # Guards against accepting input that later decisions can't handle.
  Scenario Outline: The error for an invalid change names the key path and what was expected
    When "<command>" is validated
    Then it is refused with "<message>"

    Examples:
      | command                                                                                      | message                                                                                    |
      | set organisation desks share 0                                                               | organisations.desks.share: expected a number above 0                                       |
      | set organisation desks quota -1                                                              | organisations.desks.quota: expected a count of 0 or more, or none                          |
      | set class quote rank -1 window 1s expected 1s                                                | classes.quote.rank: expected a rank of 0 or more                                           |
      | set class quote rank 0 window 0s expected 1s                                                 | classes.quote.window: expected a time above 0ms                                            |
      | set class quote rank 0 window 1s expected 0s                                                 | classes.quote.expected: expected a time above 0ms                                          |
      | set service plan endpoint runner-1 in dc-a at 10.0.0.9:80 slots 1 connections 1              | services.plan.endpoints.runner-1: expected a name that is not in use yet                   |
      | set service plan endpoint e in dc-a at somewhere:80 slots 1 connections 1                    | services.plan.endpoints.e.address: expected ip:port, not 'somewhere:80'                    |
      | set service plan endpoint e in dc-a at 10.0.0.9:80 slots 4 connections 1                     | services.plan.endpoints.e.connections: expected at least as many as the 4 slots            |
      | set service plan endpoint e in dc-a at 10.0.0.9:80 slots 0 connections 1                     | services.plan.endpoints.e.slots: expected a count above 0                                  |
      | set worker runner-1 in dc-a rack r1 at 10.0.1.3:80 accelerators 8 cores 1 memory 1           | workers.runner-1: expected a name that is not in use yet                                   |
      | set worker w3 in dc-a rack r1 at 10.0.1.3:80 accelerators 6 cores 1 memory 1                 | workers.w3.accelerators: expected 0 or a power of two                                      |
      | set guarantee g for desk in dc-a members 1 accelerators 1                                    | guarantees.g.organisation.desk: expected a known name; did you mean desks?                 |
      | set guarantee g for desks in dc-b members 1 accelerators 1                                   | guarantees.g.data_centre.dc-b: expected a known name; did you mean dc-a?                   |
      | set guarantee g for desks in dc-a members 1 accelerators 3                                   | guarantees.g.accelerators: expected 0 or a power of two                                    |
      | remove organisation desks                                                                    | organisations.desks: expected no guarantee left, but tours names it                        |
      | remove class quotes                                                                          | classes.quotes: expected a known name; did you mean quote?                                 |
      | remove stop w1                                                                               | stops.w1: expected a known name                                                            |
      | drain runner-2                                                                               | drain.runner-2: expected a known name; did you mean runner-1?                              |
      | resume w1                                                                                    | drained.w1: expected a known name                                                          |
      | plan stop w1 from 2026-12-05T12:00:00Z until 2026-12-05T10:00:00Z                            | stops.w1.until: expected a time after the start                                            |
      | plan stop w1 from 2020-12-05T10:00:00Z until 2020-12-05T12:00:00Z                            | stops.w1.until: expected a time in the future                                              |

  # Guards against guarantees to two organisations that can't both be claimed at once.
  Scenario Outline: A change that removes the capacity of a guarantee is refused with the reason
    Given this additional configuration
      """
      set guarantee looms for bench in dc-a members 1 accelerators 8 because "test"
      """
    When "<command>" is validated
    Then it is refused with the code "guarantees_not_honoured" and a message that contains "dc-a"

    Examples:
      | command                                                                       |
      | set guarantee more for bench in dc-a members 1 accelerators 1                 |
      | set guarantee tours for desks in dc-a members 1 accelerators 8 count 2        |
      | remove worker w1                                                              |
      | drain w2                                                                      |
      | set worker w1 in dc-a rack r1 at 10.0.1.1:80 accelerators 4 cores 32 memory 128 |
      | plan stop w1 from 2026-12-05T10:00:00Z until 2026-12-05T12:00:00Z             |

  # Guards against two planned stops that each leave enough capacity, but not together.
  Scenario: Overlapping planned stops are checked together
    Given this additional configuration
      """
      set worker w3 in dc-a rack r1 at 10.0.1.3:80 accelerators 8 cores 32 memory 128 because "test";
      set guarantee looms for bench in dc-a members 1 accelerators 8 because "test";
      plan stop w1 from 2026-12-05T10:00:00Z until 2026-12-05T12:00:00Z because "test"
      """
    When "plan stop w2 from 2026-12-05T13:00:00Z until 2026-12-05T14:00:00Z" is validated
    Then it is accepted
    When "plan stop w2 from 2026-12-05T11:00:00Z until 2026-12-05T14:00:00Z" is validated
    Then it is refused with the code "guarantees_not_honoured" and a message that contains "planned stop"

  # Guards against a capacity shortfall that can't be reduced in several steps.
  Scenario: A change that reduces a shortfall is accepted, one that increases it is refused
    Given a guarantee of 4 copies on 2 workers that was recorded without validation
    When "set guarantee tours for desks in dc-a members 1 accelerators 8 count 3" is validated
    Then it is accepted
    When "set guarantee tours for desks in dc-a members 1 accelerators 8 count 5" is validated
    Then it is refused with the code "guarantees_not_honoured" and a message that contains "dc-a"

  # Guards against an undo that does not restore the previous configuration.
  Scenario Outline: The recorded inverse of a change restores the previous configuration
    When "<command>" is applied
    Then the version is one higher
    And applying the inverse change restores the previous configuration

    Examples:
      | command                                                           |
      | set organisation desks share 7 quota none                         |
      | set class quote rank 5 window 1s expected 1s not idempotent       |
      | remove class quote                                                |
      | set service booking                                               |
      | remove service booking                                            |
      | remove guarantee tours                                            |
      | remove worker w2                                                  |
      | remove organisation bench                                         |
      | set worker w2 in dc-a rack r9 at 10.0.1.2:80 accelerators 4 cores 1 memory 1 |

  # Guards against a drain or stop that applies to a later target of the same name.
  Scenario: Removing a target ends its drain and its planned stop
    Given this additional configuration
      """
      drain runner-1 because "test";
      plan stop runner-1 from 2026-12-05T10:00:00Z until 2026-12-05T12:00:00Z because "test"
      """
    When "remove service booking" is applied
    Then nothing is drained and no stop is planned
