Feature: All unreadable values of a configuration are reported with their key paths

  # Guards against a correction for which an operator needs one attempt for each value.
  Scenario: Several unreadable values are reported at once
    Then the body {"Version":"x","Routes":[{"Name":7,"Host":"h","Service":"s"}],"Tenants":[{"Name":"t","ApiKeys":["a",3]},5]} has the unreadable values "$.Version, $.Routes[0].Name, $.Routes[0].PathPrefix, $.Tenants[0].ApiKeys[1], $.Tenants[1]"

  # Guards against a check that accepts what the daemons reject, or rejects what they accept.
  Scenario: The check rejects what the daemons reject
    Then of 400 randomly changed configurations, the check rejects those that a daemon rejects
