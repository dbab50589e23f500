Feature: Malformed bodies are refused with a code and take nothing down

  Any other error would end the actor or the thread that reads the body.

  Scenario Outline: A <kind> with random changes is read or refused
    When 400 bodies of a <kind> with random changes are read
    Then each is read or refused with a code

    Examples:
      | kind          |
      | job           |
      | worker entry  |
      | list of runs  |
      | configuration |

  Scenario: Calls with random methods, paths, headers and bodies get an answer
    When 300 random calls are made
    Then each gets one of the known statuses

  Scenario Outline: A job with a negative amount is refused
    A negative amount would add room to the worker that runs the task.

    When the body <body> is read as a job
    Then the body is refused

    Examples:
      | body                                         |
      | {"Steps":[{"Count":1,"Cpu":-1000}]}          |
      | {"Steps":[{"Count":1,"Gpu":-1}]}             |
      | {"Steps":[{"Count":1,"EstRuntimeMs":-5}]}    |
      | {"Steps":[{"Count":1}],"Repeats":-1}         |
