Feature: Malformed bodies are rejected with an error code and crash nothing

  Any other exception would end the actor or the thread that decodes the body.

  Scenario Outline: A randomly changed <kind> is decoded or rejected
    When 400 randomly changed bodies of a <kind> are decoded
    Then each is decoded or rejected with a codec error

    Examples:
      | kind          |
      | job           |
      | worker entry  |
      | list of runs  |
      | configuration |

  Scenario: HTTP calls with random methods, paths, headers and bodies are answered
    When 300 random HTTP calls are made
    Then each call gets a known HTTP status

  Scenario Outline: A job with a number out of range is rejected
    A number of more than 64 bits could not be stored, and one that is not finite upsets the
    order of all waiting jobs.

    When the body <body> is decoded as a job
    Then the body is rejected

    Examples:
      | body                                                     |
      | {"Steps":[{"Count":1,"Cpu":100000000000000000000}]}      |
      | {"Steps":[{"Count":1,"Gpu":100000000000000000000}]}      |
      | {"Steps":[{"Count":1,"AntiAffinity":100000000000000000000}]} |
      | {"Steps":[{"Count":1,"TargetMs":100000000000000000000}]} |
      | {"Steps":[{"Count":1,"EstRuntimeMs":"nan"}]}             |
      | {"Steps":[{"Count":1,"EstRuntimeMs":1e300}]}             |
      | {"Steps":[{"Count":1}],"Repeats":1,"InitialDelayMs":"inf"} |
      | {"Steps":[{"Count":1}],"Repeats":2,"PeriodMs":"nan"}     |

  Scenario Outline: A job with a negative amount is rejected
    A negative amount would add capacity to the worker that runs the task.

    When the body <body> is decoded as a job
    Then the body is rejected

    Examples:
      | body                                         |
      | {"Steps":[{"Count":1,"Cpu":-1000}]}          |
      | {"Steps":[{"Count":1,"Gpu":-1}]}             |
      | {"Steps":[{"Count":1,"EstRuntimeMs":-5}]}    |
      | {"Steps":[{"Count":1}],"Repeats":-1}         |
