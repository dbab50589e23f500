Feature: The fleet index is updated incrementally

  Scenario: A configuration change indexes all workers and jobs once
    Guards against indexing workers and jobs in two rounds when they were already marked as
    changed before the configuration changed.

    Given a cluster with 4 workers and 3 waiting jobs, all marked as changed
    When the configuration changes and the indexes are refreshed
    Then no worker or job is left to be indexed in the next round

  # The counts are kept incrementally: summing over the fleet for each unit is too slow.
  Scenario: The number of free accelerators follows started and ended tasks and workers
    Given a cluster with 8 workers and 3 waiting jobs, all marked as changed
    When a planning round runs
    Then 61 of 64 accelerators of the pool are free
    When the job "j1" ends and a planning round runs
    Then 62 of 64 accelerators of the pool are free
    When the worker "w8" leaves and a planning round runs
    Then 54 of 56 accelerators of the pool are free
