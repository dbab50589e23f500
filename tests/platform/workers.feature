Feature: Orders to workers are encoded as calls of the platform

  # Guards against a pace that no fence protects, or that names another run.
  Scenario: A pace order names the run, the percentage and the fence
    When an order to run the task "00aa.0.1.17" of run 3 at 40 percent is encoded for epoch 7
    Then the call to "/pace" is {"Task":"00aa.0.1.17","Run":3,"Percent":40,"Fence":7}

  # Guards against a pace that counts as in force although the worker refused it.
  Scenario Outline: A pace that a worker refuses is not confirmed
    When a worker answers a pace order with status <status>
    Then the order is reported as unanswered with the code "<code>"

    Examples:
      | status | code              |
      | 404    | task_worker_error |
      | 409    | fenced            |
      | 421    | other_life        |
