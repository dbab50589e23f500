Feature: Time limits of calls follow how long answers take

  Scenario: A fast server's lost answers are noticed soon
    Given a timer that has seen 20 answers after 0.01 seconds
    Then its limit is 0.3 seconds

  Scenario: A limit does not stay short while the server is slow
    Given a timer that has seen 20 answers after 0.01 seconds
    When 2 answers are lost
    Then its limit is 1.0 seconds

  Scenario: Answers of a slow server raise the limit above their time
    Given a timer that has seen 20 answers after 0.4 seconds
    Then its limit is above 0.4 seconds

  Scenario: Before any answer the limit is the longest
    Given a timer that has seen 0 answers after 0.01 seconds
    Then its limit is 1.0 seconds
