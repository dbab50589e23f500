Feature: Log lines about many tasks are grouped

  # Guards against a large job that uses up the budget of log lines with one line for each
  # task.
  Scenario: The starts of one step and run share one line
    Given 40 starts of one step on 3 workers
    When their log lines are grouped
    Then there is 1 line for 40 tasks on 3 workers

  # Guards against a group that hides failures among successes.
  Scenario: Ends of different kinds get separate lines
    Given tasks of one step ended: 3 as "done" and 2 as "failed"
    When their log lines are grouped
    Then there are lines for 3 tasks "done" and 2 tasks "failed"

  # Guards against one line for each filler on a worker whose fillers change their pace.
  Scenario: The paces of one step share one line for each percentage
    Given 3 paces of 50 percent and 2 of 0 percent for one step
    When their log lines are grouped
    Then there are lines for 3 tasks at 50 percent and 2 tasks at 0 percent
