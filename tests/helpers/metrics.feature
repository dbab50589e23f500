Feature: Metrics of a daemon

  # Guards against memory use that grows with the class names and ids that callers send.
  Scenario: Callers can't create new label values
    When 1000 answers of unknown classes and 5 of a known class are counted
    Then the metrics hold one series for the known class and one for all others
