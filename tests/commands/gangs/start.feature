Feature: Either all members of a gang start or none keeps running

  # Guards against tasks of an incomplete gang that keep running after calls to workers
  # were lost, delayed or failed.
  Scenario: Random faults of workers leave no partial gang
    When 400 gangs start on workers with random faults from seed 11
    Then each gang ended and none of its tasks ran after its end
    And each gang was recorded as running only after all its members had started
    And no incomplete gang ran for longer than its leases allow
    And every outcome occurred

  # Guards against more calls than one reservation, start and extension for each member.
  Scenario: A gang on healthy workers starts in three rounds of calls
    When a gang of 3 members starts on healthy workers
    Then the calls were 3 reservations, 3 starts and 3 extensions in this order

  # Guards against ending a gang while an unreachable worker may still run its task.
  Scenario: A gang ends only after the lease on an unreachable worker has expired
    When a worker of a running gang of 3 members becomes unreachable for good
    Then the other members are stopped when its lease has expired
    And the gang ends only after two lifetimes of that lease
