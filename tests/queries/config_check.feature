Feature: A configuration is checked and compared before an operator sends it

  # Guards against false alarms, after which operators ignore the check.
  Scenario: A valid configuration has no errors and no differences from itself
    Then 200 drawn valid configurations have no errors and no differences from themselves

  # Guards against faults that operators learn of only when calls are refused or jobs fail.
  Scenario Outline: A configuration with <place> set to <value> has the right findings
    When the sample configuration is checked with <place> set to <value>
    Then the only findings are "<findings>"

    Examples:
      | place                     | value        | findings                                                      |
      | Routes.1.Name             | "desk"       | error name_duplicate $.Routes[1].Name                         |
      | Tenants.1.Name            | "desks"      | error name_duplicate $.Tenants[1].Name                        |
      | Tenants.1.Name            | ""           | error name_empty $.Tenants[1].Name                            |
      | Services.1.Name           | "pool"       | error name_duplicate $.Services[1].Name, error service_missing $.Routes[1].Service |
      | Tenants.1.ApiKeys         | ["key-of-desks"] | error key_shared $.Tenants[1].ApiKeys                     |
      | Tenants.1.ApiKeys         | ["k", ""]    | error key_empty $.Tenants[1].ApiKeys                          |
      | Tenants.1.ApiKeys         | []           | warning keys_missing $.Tenants[1].ApiKeys                     |
      | Tenants.1.Guaranteed.Gpu  | 13           | error guarantees_beyond_fleet $.Tenants                       |
      | Tenants.1.Guaranteed.Gpu  | 12           |                                                               |
      | Routes.1.Service          | "fastt"      | error service_missing $.Routes[1].Service, warning service_unused $.Services[1] |
      | Routes.1.PathPrefix       | "/desk/"     | error queue_covered $.Routes[1].PathPrefix                    |
      | Routes.1.PathPrefix       | "/desk/x/"   |                                                               |
      | Routes.1.PathPrefix       | "quote/"     | error queue_unmatchable $.Routes[1].PathPrefix                |
      | Routes.1.PathPrefix       | ""           | error queue_unmatchable $.Routes[1].PathPrefix                |
      | Routes.1.PathPrefix       | "/a?b/"      | error queue_unmatchable $.Routes[1].PathPrefix                |
      | Routes.1.PathPrefix       | "/a#b/"      | error queue_unmatchable $.Routes[1].PathPrefix                |
      | Routes.1.Host             | "h:80"       | error queue_unmatchable $.Routes[1].Host                      |
      | Routes.1.Host             | ""           | error queue_unmatchable $.Routes[1].Host                      |
      | Routes.1.Host             | "h x"        | error queue_unmatchable $.Routes[1].Host                      |
      | Routes.1.Stretch          | 0            | error value_too_low $.Routes[1].Stretch                       |
      | Routes.1.TargetLatencyMs  | -1           | error value_too_low $.Routes[1].TargetLatencyMs               |
      | Routes.1.TimeoutMs        | -1           | error value_too_low $.Routes[1].TimeoutMs                     |
      | Limits.MaxBodyBytes       | 0            | error value_too_low $.Limits.MaxBodyBytes                     |
      | Services                  | absent       |                                                               |
      | Routes.1.TargetLatencyMs  | 3001         | error target_beyond_timeout $.Routes[1].TargetLatencyMs       |
      | Routes.1.TargetLatencyMs  | 3000         |                                                               |
      | Routes.1.TimeoutMs        | 0            |                                                               |
      | Routes.1.MaxAttempts      | 0            | error attempts_too_few $.Routes[1].MaxAttempts                |
      | Version                   | 2            | warning version_not_newer $.Version                           |

  # Guards against a message that shows a key, and one that lacks the name of the entry.
  Scenario: Findings and differences name entries and shorten keys
    When the sample configuration is checked with Tenants.1.ApiKeys set to ["key-of-desks"]
    Then the text is "key 'key...' of organisation 'quoters' also belongs to organisation 'desks'"
    When the sample configuration is compared with Routes.0.TimeoutMs set to 4000.5
    Then the text is "queue 'desk': time limit changes from 3000 ms to 4000.5 ms"
    When the sample configuration is compared with Tenants.0.ApiKeys set to ["secret-of-desks-2"]
    Then the text is "organisation 'desks' loses key 'key...'; organisation 'desks' gets key 'secr...'"
    When the sample configuration is compared with Limits.MaxBodyBytes set to 9
    Then the text is "size limit of a job in bytes changes from 262144 to 9"

  # Guards against a change that an operator overlooks, and against an invented one.
  Scenario: A comparison names each change and nothing else
    Then 300 drawn pairs of configurations have exactly the differences of the two files
