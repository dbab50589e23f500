Feature: A requested planning round always has a pending timer

  Scenario: A timer that fires early because of clock differences is set again
    Given a planning round requested at second 10, after the last one at second 9.995
    When the planning timer fires at second 10.001
    Then no round begins, and the timer is set again for 0.014 seconds
    When the planning timer fires at second 10.015
    Then a round begins

  Scenario: A second request does not delay a pending round
    Given a planning round requested at second 10, after the last one at second 9.995
    When a planning round is requested at second 10.01
    Then no further timer is set

  Scenario: A timer that fires after its round has begun sets no new timer
    Given a planning round requested at second 10, after the last one at second 0
    When the planning timer fires at second 10
    Then a round begins
    When the planning timer fires at second 10
    Then no round begins, and no timer is set

  Scenario: Timers do not accumulate while rounds are requested repeatedly
    Guards against rounds that each leave a timer behind which is set again forever. The
    scheduling daemon then handled thousands of timer events per second.

    When planning rounds are requested 1000 times, 0.03 seconds apart
    Then at most 3 timers are pending at the same time
    And at least 990 rounds begin with at most 1300 timer events

  Scenario: A timer that fires slightly early is set again with a minimum delay
    Given a planning round requested at second 10, after the last one at second 9.995
    When the planning timer fires at second 10.0149999
    Then no round begins, and the timer is set again for 0.001 seconds
