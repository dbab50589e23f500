Feature: A worker is called only under a valid lease, and probed with one small task

  Background:
    Given a worker stand-in and a client of it

  # Guards against a daemon that resumes after its lease and calls workers late.
  Scenario: A call after the end of the daemon's lease is not sent
    Given a link to the worker
    When a reservation is requested after its send deadline
    Then the link answers that it was not sent
    And the worker has received no call

  # Guards against a probe that misjudges a worker or leaves its lease behind.
  Scenario Outline: A probe shows that a worker is <result>
    Given a link to the worker
    And the worker's tasks end as <result>
    When the worker is probed
    Then the probe's result is <result>
    And the worker holds nothing and no lease is counted

    Examples:
      | result  |
      | healthy |
      | faulty  |
