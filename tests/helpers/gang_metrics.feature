Feature: Metrics of gang jobs

  # Guards against a guarantee at risk that no operator notices before a worker is lost.
  Scenario: The gauge shows that the loss of one worker would break a guarantee
    Given a gang cluster with 1 workers where tasks run 600 seconds
    And the organisation "tours" is guaranteed 1 workers
    And a decider in this process
    Then the gauge of guarantees at risk becomes 1

  # Guards against refusals that are not counted, or counted under another code.
  Scenario: A refused submission is counted by its code
    Given a gang cluster with 1 workers where tasks run 600 seconds
    And a decider in this process
    When an operator submits a job of 3 members by statement
    Then the counter of job refusals for "shape_impossible" has increased
