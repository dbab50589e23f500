Feature: Fillers beside tasks with a latency target work only as much as these bear

  # Guards against a target that is exceeded for 4.5 s because of a filler, also when
  # the worker does not confirm its pace or applies an order late, and against orders to
  # a run that may have ended, because the report ("-") lists another one.
  Scenario Outline: The pace is lowered before the target is exceeded, a stop is last
    Given a filler beside a serving task with a target of 50 ms, started by <who>
    When the worker reports tails of <tails> ms once a second and <confirms> paces
    Then the orders of each second are "<orders>"

    Examples:
      | who                    | tails          | confirms | orders                                  |
      | this scheduler         | 20 41 39 42    | confirms | - lower-50 - lower-25                   |
      | this scheduler         | 41 55 60 60 60 | confirms | lower-50 lower-0 repeat-0 repeat-0 repeat-0 |
      | this scheduler         | 55 60 60 60    | confirms changed | lower-0 repeat-0 repeat-0 repeat-0 |
      | this scheduler         | 55 45 35       | confirms | lower-0 - -                             |
      | this scheduler         | 45 45 20       | ignores  | lower-50 lower-25 repeat-25             |
      | this scheduler         | 20 55 60 60 60 | ignores  | - lower-0 repeat-0 stop -               |
      | this scheduler         | 41 x 20 20 x   | confirms | lower-50 - - - -                        |
      | this scheduler         | 41 20 20 20 20 | confirms | lower-50 - - - raise-60                 |
      | this scheduler         | 41 20 20 20 20 | ignores  | lower-50 repeat-50 repeat-50 repeat-50 repeat-50 |
      | this scheduler         | 41- 41         | confirms | - lower-50                              |
      | this scheduler         | 60 60- 60      | ignores  | lower-0 - stop                          |
      | this scheduler         | 0 999999999    | confirms | - lower-0                               |
      | an earlier scheduler   | 20 20          | ignores  | lower-20 repeat-20                      |
      | an earlier scheduler   | 60             | confirms | lower-0                                 |

  # Guards against a filler that stays slow, or stands still, on a worker that no longer
  # serves.
  Scenario Outline: Fillers work at full pace once the serving task has left the worker
    Given a filler beside a serving task with a target of 50 ms, started by <who>
    When the worker reports tails of <tails> ms once a second and <confirms> paces
    Then the orders of each second are "<orders>"

    Examples:
      | who                    | tails          | confirms | orders                                  |
      | this scheduler         | 20 gone        | confirms | - -                                     |
      | this scheduler         | 41 gone gone   | confirms | lower-50 raise-100 -                    |
      | this scheduler         | 55 gone gone   | ignores  | lower-0 raise-100 repeat-100            |
      | an earlier scheduler   | gone gone      | confirms | repeat-100 -                            |
      | an earlier scheduler   | gone- gone     | confirms | - repeat-100                            |

  # Guards against a pace that swings between two values for as long as the load stays.
  Scenario: A filler that disturbs at half its pace is raised ever more rarely
    Given a filler beside a serving task with a target of 50 ms, started by this scheduler
    When the tail is 42 ms from 51 percent on for 300 seconds
    Then at most 60 pace orders are sent, none below 20 percent

  # Guards against a filler that holds its memory for a long time without any progress,
  # against a healthy worker that is avoided because its filler was halted by order, and
  # against the pace of one run that is taken for that of the next.
  Scenario: A filler that stands still for long is stopped, and runs elsewhere
    Given a filler beside a serving task with a target of 50 ms, started by this scheduler
    When the tail is 42 ms from 0 percent on for 30 seconds
    Then the filler is stopped once, after 26 seconds
    And no worker is avoided at second 127
    And its next run works at full pace and has no usage

  # Guards against a stall that is counted from a time at which the filler was halted.
  Scenario: The time without progress starts again when a filler works at full pace
    Given a filler beside a serving task with a target of 50 ms, started by this scheduler
    When the tail is 60 ms for 10 seconds and the serving task then leaves
    Then the filler is stopped once, after 16 seconds

  # Guards against a filler that stands still forever because the tail stays between calm
  # and near, or is unknown.
  Scenario Outline: The time for which a filler stands still counts whatever the tail is
    Given a filler beside a serving task with a target of 50 ms, started by this scheduler
    When the tail is 60 ms until the filler stands still, then <tail> for 30 seconds
    Then the filler is stopped once, after 20 seconds

    Examples:
      | tail    |
      | 35 ms   |
      | unknown |
