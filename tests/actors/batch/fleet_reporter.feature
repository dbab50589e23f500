Feature: The scheduler's view of its workers is visible to operators

  # Guards against slow or avoided workers that an on-call engineer can't find, and against
  # a line each second while nothing changes.
  Scenario: A change of the slow and the avoided workers is logged once
    Given workers in the racks "r1 r1 r1 r1"
    And the worker "w2" is slow and the worker "w3" is avoided until second 30
    When the fleet is reported at the seconds "10 11 12 31"
    Then the logged events are "slow_workers worker_avoided"
    And 1 worker counts as slow and 0 as avoided
