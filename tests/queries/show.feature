Feature: Queries show the current state and the reasons for it

  Background:
    Given the configuration
      """
      set organisation desks share 2 because "test";
      set class render rank 5 window 30s expected 9s because "test";
      set class quote rank 0 window 200ms expected 30ms because "test";
      set service booking endpoint runner-1 in dc-a at 10.0.0.1:80 slots 8 connections 64, endpoint runner-2 in dc-a at 10.0.0.2:80 slots 8 connections 64 because "test";
      set worker w1 in dc-a rack r1 at 10.0.1.1:80 accelerators 8 cores 32 memory 128 because "test";
      plan stop w1 from 2026-12-05T10:00:00Z until 2026-12-05T12:00:00Z because "test";
      drain runner-1 because "test"
      """

  # Guards against a target that is shown as in use while it gets no new work.
  Scenario: The state of targets shows drains and planned stops
    Then "endpoints" shows "runner-1" as "drained" and "runner-2" as "in use"
    And "workers" shows "w1" as "in use, stop planned" now and "stopped" in the window
    And the classes are shown as "quote, render", the most urgent first

  # Guards against a preview that omits the side effects of a command.
  Scenario: The preview of a removal lists the drain and the slots that end with it
    When the effect of "remove service booking" is previewed
    Then the preview contains "the drain of runner-1 would end"
    And the preview contains "slots of booking for new work: 8 would become 0"

  # Guards against refusal counters without an explanation.
  Scenario: Refusals are explained by code, the most frequent first
    When the counters show 3 refusals with "overloaded" and 9 with "no_lease"
    Then the refusals are explained as "no_lease, overloaded", each with its meaning
