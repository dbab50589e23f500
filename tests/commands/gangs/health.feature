Feature: Quarantine of bad workers and detection of bad jobs

  Background:
    Given no failures of gang jobs are recorded

  # Guards against a broken worker that keeps failing one job after another.
  Scenario: A worker on which different jobs fail is quarantined
    When "a" fails on "w0"
    And "b" fails on "w0"
    Then the quarantined workers are "w0"

  # Guards against marking a healthy job as bad because it ran on a bad worker.
  Scenario: Failures on a quarantined worker do not count against jobs
    When "a" fails on "w0"
    And "b" fails on "w0"
    And "a" fails on "w1 w2"
    Then the bad jobs are "none"

  # Guards against a bad job that causes healthy workers to be quarantined.
  Scenario: A job that fails on several workers is bad, and the workers stay in use
    When "a" fails on "w0 w1 w2"
    And "b" fails on "w0"
    Then the bad jobs are "a"
    And the quarantined workers are "none"

  # Guards against a quarantine for unrelated failures that lie months apart.
  Scenario: A success clears the failures of a worker
    When "a" fails on "w0"
    And "c" succeeds on "w0"
    And "b" fails on "w0"
    Then the quarantined workers are "none"

  # Guards against probes that are sent too often, and against a quarantine that never
  # ends.
  Scenario: The interval between probes doubles, and a success ends the quarantine
    When "a" fails on "w0"
    And "b" fails on "w0"
    Then the probes due at 129 are "none"
    And the probes due at 130 are "w0"
    When a probe of "w0" is sent at 130
    Then the probes due at 189 are "none"
    And the probes due at 190 are "w0"
    When "probe" succeeds on "w0"
    Then the quarantined workers are "none"
