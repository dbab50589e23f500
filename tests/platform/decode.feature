Feature: Platform bodies are decoded into internal types, and invalid ones are rejected

  Scenario: Omitted fields of a job default to zero, false or empty
    When the body {"Spec":"s","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstRuntimeMs":900,"Affinity":"r1-3"},{"Count":2,"After":[0],"Gang":true}]} is decoded as a job
    Then step 0 has 4 tasks of 500 millicores with affinity to the rack "r1-3"
    And step 1 is a gang that depends on step 0
    And the job runs once

  Scenario: The times of a repeated job are converted to seconds
    When the body {"Spec":"s","Steps":[{"Count":1}],"Repeats":3,"InitialDelayMs":5000,"PeriodMs":2000} is decoded as a job
    Then the job runs 3 times, first at 5 and then every 2 seconds

  Scenario Outline: A job that could never run is rejected
    When the body <body> is decoded as a job
    Then the body is rejected

    Examples:
      | body                                                |
      | {}                                                  |
      | {"Steps":[]}                                        |
      | {"Steps":[{"Count":0}]}                             |
      | {"Steps":[{"Count":1,"After":[0]}]}                 |
      | {"Steps":[{"Count":1},{"Count":1,"After":[2]}]}     |
      | {"Steps":[{"Count":999999}]}                        |
      | {"Steps":"x"}                                       |
      | nonsense                                            |

  Scenario: The last label of a registry entry is the worker's rack
    When the registry entry {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"draining","Capacity":{"Cpu":1,"MemMb":2},"Labels":["a","r1-3"],"RemainingMs":1500,"born":7,"Seq":4} is decoded
    Then the worker in the rack "r1-3" is draining for 1.5 seconds

  # Guards against a foreign row in the registry that is used as a worker.
  Scenario Outline: An invalid registry entry is rejected
    When the registry entry <entry> is decoded
    Then the body is rejected

    Examples:
      | entry                                                                                          |
      | {"Service":"p"}                                                                                |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"odd","Capacity":{"Cpu":1,"MemMb":2}}  |
      | {"Service":"p","Address":7,"Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}}           |
      | {"Service":"p","Address":"x","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}}         |
      | [1]                                                                                            |
      | {"Service":"p","Address":"10.0.0.1:65536","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}} |
      | {"Service":"p","Address":"10.0.0.1:0","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}} |
      | {"Service":"p","Address":"10.0.0.1:-1","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}} |
      | {"Service":"p","Address":"worker:80","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2}} |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":1e30,"MemMb":2}} |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":-2}} |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":100000000000000000000}} |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":2},"born":100000000000000000000} |
      | {"Service":"p","Address":"10.0.0.1:80","Zone":"z","State":"draining","Capacity":{"Cpu":1,"MemMb":2},"RemainingMs":"nan"} |

  Scenario: A worker report contains run, checkpoint and progress
    When the worker report {"ClockMs":9,"Running":[["00aa.0.1.17",2,"c1",41,30]],"Ended":[[58,"00aa.0.1.9",1,"broken",""]],"born":3} is decoded
    Then task 17 of step 1 is in run 2 at 41 percent with checkpoint "c1"
    And end 58 reports that task 9 of step 1 ended as "broken"

  # Guards against an odd usage that makes all runs of a worker unknown.
  Scenario Outline: An odd usage is ignored and the report is used
    When the worker report {"ClockMs":9,"Running":[["00aa.0.1.17",2,"c1",41<usage>]]} is decoded
    Then task 17 of step 1 is in run 2 at 41 percent with checkpoint "c1"
    And the usage of the run is <found>

    Examples:
      | usage                  | found |
      | ,30                    | 30    |
      | ,30.0,"later"          | 30    |
      |                        | None  |
      | ,null                  | None  |
      | ,"30"                  | None  |
      | ,true                  | None  |
      | ,-1                    | None  |
      | ,[30]                  | None  |
      | ,100000000000000000000 | None  |

  # Guards against the rejection of jobs that were accepted before these fields were read.
  Scenario Outline: The image of a step and the tasks that it may miss are decoded
    When the body {"Spec":"s","Steps":[{"Count":4,<fields>},{}]} is decoded as a job
    Then step 0 has the image "<image>" and may miss <count> tasks

    Examples:
      | fields                                               | image | count |
      | "Image":"web","MayMiss":2                            | web   | 2     |
      | "Image":null,"MayMiss":null                          |       | 0     |
      | "Image":7,"MayMiss":-1                               |       | 0     |
      | "Image":["web"],"MayMiss":"many"                     |       | 0     |
      | "Image":{"Name":"web"},"MayMiss":100000000000000000000 |       | 0     |

  Scenario: A worker report with an invalid task name is rejected
    When the worker report {"ClockMs":9,"Running":[["00aa",2,"",41]]} is decoded
    Then the body is rejected

  # Guards against numbers that no later step can store or send.
  Scenario Outline: A worker report with a number that is too large is rejected
    When the worker report <report> is decoded
    Then the body is rejected

    Examples:
      | report                                                                     |
      | {"ClockMs":100000000000000000000}                                          |
      | {"ClockMs":9,"born":100000000000000000000}                                 |
      | {"ClockMs":9,"Running":[["00aa.0.0.1",100000000000000000000,"",41]]}       |
      | {"ClockMs":9,"Ended":[[100000000000000000000,"00aa.0.0.1",1,"done",""]]}   |
      | {"ClockMs":9,"Ended":[[1,"00aa.0.0.1",100000000000000000000,"done",""]]}   |

  # Guards against a cut-off list of ends that is taken for a complete one.
  Scenario Outline: A worker report with <count> ends <may> have more of them
    When a worker report with <count> ends is decoded
    Then there <may> be more ends than the report contains

    Examples:
      | count | may     |
      | 0     | can not |
      | 499   | can not |
      | 500   | may     |
      | 501   | may     |

  # Guards against the evacuation of a data centre that no row requests.
  Scenario Outline: The key of an operator row names the data centre to evacuate, or none
    Then the operator row "<key>" requests the evacuation of "<data centre>"

    Examples:
      | key                   | data centre  |
      | evacuate/afar-north-a | afar-north-a |
      | evacuate/             |              |
      | config                |              |
      | wave/1                |              |
