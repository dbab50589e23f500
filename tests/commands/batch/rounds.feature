Feature: A round of planning that is due always has a timer

  Scenario: A timer that fires early by another clock is set again
    Given a round that was asked for at second 10 and planned last at second 9.995
    When its timer fires at second 10.001
    Then no round begins, and the timer is set for 0.014 seconds more
    When its timer fires at second 10.015
    Then a round begins

  Scenario: A second request does not put a round off
    Given a round that was asked for at second 10 and planned last at second 9.995
    When a round is asked for at second 10.01
    Then no further timer is set

  Scenario: A timer of a round that has begun already sets none
    Given a round that was asked for at second 10 and planned last at second 0
    When its timer fires at second 10
    Then a round begins
    When its timer fires at second 10
    Then no round begins, and no timer is set

  Scenario: Timers do not pile up while rounds are asked for again and again
    Each round left a timer behind that was set again for ever, so the scheduling daemon
    handled thousands of them each second.

    When rounds are asked for 1000 times, each 0.03 seconds after the last
    Then at most 3 timers were set at the same time
    And at least 990 rounds began, with at most 1300 timers

  Scenario: A timer that fires early by a hair does not spin
    Given a round that was asked for at second 10 and planned last at second 9.995
    When its timer fires at second 10.0149999
    Then no round begins, and the timer is set for 0.001 seconds more
