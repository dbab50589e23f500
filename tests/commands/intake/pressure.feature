Feature: The log states when refusals begin and end

  # Guards against a log line for each refused client.
  Scenario: One change for the first refusal, one for the end
    When 1000 requests are refused for "memory" over 5 s
    Then 1 change says that refusals began
    When 9 s pass without refusals
    Then no change is reported
    When 1 s passes without refusals
    Then a change reports 1000 refusals for "memory"
    And a later look reports no change
