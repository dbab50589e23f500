Feature: A trace explains a job from the logs of several daemons

  Scenario: Lines of daemons with different clocks are sorted in causal order
    Given the log lines
      """
      -5.9 node {"time":100.011,"daemon":"d2","event":"job_taken_up","job":"a1"}
      {"time":100.02,"daemon":"d1","event":"job_accepted","job":"a1","queue":"q"}
      not a line of the log
      {"time":100.03,"daemon":"d2","event":"start","job":"a1","step":"0.0","run":1,"tasks":1,"on":"w1"}
      """
    When the id "a1" is traced
    Then the events are "job_accepted job_taken_up start"
    And 1 line was skipped
    And the explanation is "Accepted and not ended yet, after 1 starts."

  Scenario: A takeover before a late first start is reported as its cause
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"job_accepted","job":"a1","queue":"q"}
      {"time":102.0,"daemon":"d2","event":"claim_won","epoch":2}
      {"time":102.2,"daemon":"d2","event":"start","job":"a1","step":"0.0","run":1,"tasks":1,"on":"w1"}
      {"time":104.0,"daemon":"d2","event":"job_ended","job":"a1","state":"done","seconds":4.0}
      """
    When the id "a1" is traced
    Then the explanation is "Ended as done 4.0 s after acceptance: its first start came 2.2 s after it, by a takeover."

  Scenario: The explanation of a failed job names the workers on which it failed
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"job_accepted","job":"a1","queue":"q"}
      {"time":100.1,"daemon":"d1","event":"start","job":"a1","step":"0.0","run":1,"tasks":1,"on":"w1"}
      {"time":101.0,"daemon":"d1","event":"end","job":"a1","step":"0.0","run":1,"tasks":1,"on":"w1","how":"failed"}
      {"time":101.1,"daemon":"d1","event":"job_ended","job":"a1","state":"failed","seconds":1.1}
      """
    When the id "a1" is traced
    Then the explanation is "Ended as failed 1.1 s after acceptance: 1 runs ended as failed on w1."

  Scenario: The explanation of a failed store call names its outcome
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"call_failed","call":"submit","job":"a1","outcome":"refused","detail":"status 503"}
      """
    When the id "a1" is traced
    Then the explanation is "Not accepted: the store returned refused to submit (status 503)."

  Scenario: The explanation of a denied call names its code
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"denied","path":"/q/a1","code":"key_unknown","version":7}
      """
    When the id "a1" is traced
    Then the explanation is "Refused as key_unknown under configuration 7; it did not run."

  Scenario: The explanation of an unknown id says that no daemon logged it
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"daemon_started"}
      """
    When the id "a1" is traced
    Then the explanation is "No log line mentions a1: it never reached these daemons."

  Scenario: A takeover after the first start is not reported as its cause
    Given the log lines
      """
      {"time":100.0,"daemon":"d1","event":"job_accepted","job":"a1"}
      {"time":101.0,"daemon":"d1","event":"start","job":"a1","step":"0.0","run":1,"tasks":1,"on":"w1"}
      {"time":103.0,"daemon":"d2","event":"claim_won","epoch":2,"before":"d1","unchanged_seconds":1.2}
      {"time":104.0,"daemon":"d2","event":"job_ended","job":"a1","state":"done","seconds":4.0}
      """
    When the id "a1" is traced
    Then the explanation is "Ended as done 4.0 s after acceptance: its first start came 1.0 s after it, by lack of free capacity."
