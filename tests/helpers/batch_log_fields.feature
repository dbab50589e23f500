Feature: Lines about many tasks are grouped, so that a large job can't use the budget up

  Scenario: The starts of one step and run are one line
    Given 40 starts of one step on 3 workers
    When they are grouped
    Then there is 1 line of 40 tasks on 3 workers

  Scenario: Ends of different kinds are told apart
    Given ends of one step: 3 as "done" and 2 as "failed"
    When they are grouped
    Then there are lines of 3 tasks "done" and 2 tasks "failed"
