Feature: Changes are recorded once and take effect on every daemon

  # Guards against a change that takes effect only on the daemon that accepted it.
  Scenario: A change made on one daemon takes effect on another
    Given a platform and 2 daemons
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then the statement succeeds
    And daemon 2 applies version 1
    And "show organisations" on daemon 2 shows "desks"
    And "history of desks" on daemon 2 shows "new customer"
    When ana sends "set organisation bench because 'second customer'" to daemon 1
    Then daemon 2 applies version 2

  # Guards against applying a change twice when the answer to its write is lost.
  Scenario: A change whose answer was lost is applied once
    Given a platform and 1 daemon
    And the platform loses the answer to the next write
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then the statement succeeds
    And daemon 1 applies version 1
    And the history on daemon 1 has 1 change

  # Guards against abandoning a change whose write never reached the platform.
  Scenario: A change whose write was lost is written again
    Given a platform and 1 daemon
    And the platform loses the next write
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then the statement succeeds
    And the history on daemon 1 has 1 change

  # Guards against a retry of the operator's client that is applied a second time, even
  # after the log row of the first attempt was deleted.
  Scenario: A command repeated with its id is applied once, even after a compaction
    Given a platform and 2 daemons
    When ana sends "set organisation desks share 2 because 'first'" to daemon 1 as "cmd-1"
    And ana makes 130 changes on daemon 1
    Then daemon 2 applies version 131
    And the table has no log row of version 1
    When ana sends "set organisation desks share 2 because 'first'" to daemon 2 as "cmd-1"
    Then the statement succeeds
    And daemon 2 applies version 131
    When rui sends "set organisation desks share 3 because 'another'" to daemon 2 as "cmd-1"
    Then the statement succeeds
    And daemon 2 applies version 132

  # Guards against a new VM that misses compacted changes.
  Scenario: A new daemon catches up after a compaction
    Given a platform and 1 daemon
    When ana makes 140 changes on daemon 1
    And another daemon starts
    Then daemon 2 applies version 140
    And both daemons show the same organisations

  # Guards against a lost update: the losing operator must see the other change.
  Scenario: When two operators race, one succeeds and the other is told what changed
    Given a platform and 2 daemons
    When ana and rui set the same organisation on both daemons until one is refused
    Then the refusal has the code "change_conflict" and names the author and the change
    And every change that was reported as applied appears once in the history

  # Guards against a change accepted during an outage and lost, and against a rollback.
  Scenario: During a platform outage no change is accepted and none is rolled back
    Given a platform and 2 daemons
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then daemon 2 applies version 1
    Given the platform is down and daemon 1 has detected it
    When ana sends "remove organisation desks because 'gone'" to daemon 1
    Then the statement is refused with "platform_unavailable"
    And daemon 1 applies version 1
    And "history" on daemon 1 shows "new customer"
    Given the platform is up again
    When ana repeats "set organisation bench because 'second'" on daemon 1 until it succeeds
    Then daemon 2 applies version 2

  # Guards against a daemon that stops reading the platform after an unreadable answer.
  Scenario: Unreadable answers of the platform are treated as a temporary outage
    Given a platform and 1 daemon
    And the platform is garbled and daemon 1 has detected it
    And the platform is up again
    When ana repeats "set organisation desks because 'first'" on daemon 1 until it succeeds
    Then daemon 1 applies version 1

  # Guards against a daemon that restarts during an outage and has no configuration, or
  # an older one, afterwards.
  Scenario: A daemon restarted during an outage adopts the version of its peer
    Given a platform and 2 daemons
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then daemon 2 applies version 1
    Given the platform is down and daemon 1 has detected it
    When daemon 2 is killed and starts again
    Then daemon 2 applies version 1
    And "show organisations" on daemon 2 shows "desks"

  # Guards against hiding from operators that a VM applies an older version.
  Scenario: The version of each VM is shown, and VMs without an answer are marked
    Given a platform and 2 daemons
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then daemon 2 applies version 1
    And the versions shown on daemon 1 are "vm-1 1 current, vm-2 1 current"
    When daemon 2 is paused
    Then the versions shown on daemon 1 are "vm-1 1 current, vm-2 None no answer"

  # Guards against jobs that only daemons of their own data centre can submit.
  Scenario: A job statement is decided in the data centre of the job
    Given a platform and daemons in "dc-a" and "dc-b"
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then daemon 2 applies version 1
    When ana repeats a submission in "dc-a" on daemon 2 until a decider answers
    Then the statement is refused with "shape_impossible"

  # Guards against renamed counters that break the explanation of refusals.
  Scenario: Refused requests are explained to operators
    Given a platform and 1 daemon
    When ana sends "set organisation desks because 'new customer'" to daemon 1
    Then daemon 1 applies version 1
    When a caller asks daemon 1 for a service that does not exist
    Then "why refused" on daemon 1 shows "service_unknown"

  # Guards against callers or unknown clients that control the scheduler.
  Scenario: A token that is not an operator's is refused
    Given a platform and 1 daemon
    When an unknown client sends "show workers" to daemon 1
    Then the statement is refused with "unauthorised"
    And the metrics require a token too
