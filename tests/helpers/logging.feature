Feature: A lasting fault is logged once, with its ids

  # Guards against a lasting fault that fills the log, and against lines without the ids
  # of the job.
  Scenario Outline: A repeated fault is logged when it begins and when it ends
    Given the log is written as <form>
    When a fault of job "j-7" is reported 5 times and then ends
    And the same fault begins again
    Then the log has 3 lines, each with the id of the job
    And its second line says that the fault occurred 5 times

    Examples:
      | form |
      | text |
      | json |
