Feature: Data that is nested too deeply is rejected with an error of the layer

  The decoder raises RecursionError, which ended the actor or thread that decoded the data.

  Scenario Outline: A deeply nested <kind> is rejected with "<code>"
    When a <kind> of 30000 nested lists is decoded
    Then it is rejected with "<code>"

    Examples:
      | kind                   | code             |
      | job                    | codec_error      |
      | worker entry           | codec_error      |
      | list of runs           | codec_error      |
      | configuration          | codec_error      |
      | body of a caller       | codec_error      |
      | row of a job           | codec_error      |
      | row of the leader      | codec_error      |
      | row of a job's state   | codec_error      |
      | row of a daemon        | codec_error      |
      | request of a daemon    | codec_error      |
      | reply of a daemon      | codec_error      |
      | relayed call           | codec_error      |
      | settings file          | settings_invalid |
      | platform settings file | settings_invalid |

  Scenario: A deeply nested log line is skipped by a trace
    When log lines of 30000 nested lists are read
    Then 1 log line was skipped
