Feature: Job statements reach the decider of the job's data centre

  Background:
    Given a daemon in "dc-a" that knows the organisation "desks"
    And peers "vm-2" in "dc-a" and "vm-3" in "dc-b"

  # Guards against a job that is decided by a daemon of another data centre.
  Scenario: A job of another data centre goes to a daemon there, with its id and author
    When ana submits a job in "dc-b" as the command "cmd-1"
    Then "vm-3" is sent the submission of job "dc-b.cmd-1" by ana
    And "vm-2" is sent nothing
    And the operator is told that job "dc-b.cmd-1" is accepted

  # Guards against a refusal only because another daemon is the decider.
  Scenario: If this daemon is not the decider, the next daemon is asked
    Given the local decider refuses with "not_decider"
    When ana submits a job in "dc-a" as the command "cmd-1"
    Then "vm-2" is sent the submission of job "dc-a.cmd-1" by ana
    And "vm-3" is sent nothing

  # Guards against a refused job that is offered to other daemons until one takes it.
  Scenario: A refusal by the decider is final
    Given the local decider refuses with "quota_exceeded"
    When ana submits a job in "dc-a" as the command "cmd-1"
    Then the operator's statement fails with "quota_exceeded"
    And "vm-2" is sent nothing

  # Guards against reporting a job as refused that a daemon may have recorded.
  Scenario Outline: When no daemon decides, the operator learns whether the job may run
    Given the local decider refuses with "not_decider"
    And the call to "vm-2" fails with <sending>
    When ana submits a job in "dc-a" as the command "cmd-1"
    Then the operator's statement fails with "<code>"

    Examples:
      | sending          | code             |
      | nothing sent     | peer_unreachable |
      | the request sent | outcome_unknown  |

  # Guards against daemons that forward a statement in an endless loop.
  Scenario: A peer's statement is not forwarded
    Given the local decider refuses with "not_decider"
    When a peer sends a submission in "dc-b"
    Then the peer is answered with "not_decider"
    And "vm-3" is sent nothing

  # Guards against a peer that changes the configuration without the operators' port.
  Scenario: A peer's statement can't change the configuration
    When a peer sends "drain w1 because 'x'"
    Then the peer is answered with "statement_not_forwarded"

  # Guards against an incomplete list that looks complete.
  Scenario: The list of jobs names the daemons that gave no answer
    Given the call to "vm-2" fails with nothing sent
    And "vm-3" answers a list with the job "dc-b.j"
    And the local decider knows the job "dc-a.j"
    When ana asks "show jobs"
    Then the list holds "dc-a.j" and "dc-b.j" and names "vm-2"

  # Guards against a daemon that is reported as current although it gave no answer.
  Scenario: The versions of all VMs are shown
    Given the call to "vm-2" fails with nothing sent
    And "vm-3" answers that it applies version 3
    When ana asks "show config --where"
    Then the states are "vm-1" current, "vm-2" no answer and "vm-3" 2 behind

  # Guards against a preview that changes something.
  Scenario: The effect of commands is shown without running them
    When ana asks "what if submit job for desks in dc-a members 1 accelerators 1 lasting 1h"
    Then the effect is "refused" because "does not fit on the workers"
    When ana asks "what if set organisation bench"
    Then the effect is "accepted" because "version 5 would become 6"
    And neither the decider nor the configuration manager was asked to change
