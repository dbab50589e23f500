Feature: The command check-config reports findings by its exit status and output

  # Guards against a daemon whose start waits for modules that it does not use.
  Scenario: The other commands don't import the check
    Then the command line does not import geraniumwell.queries.config_check

  # Guards against a script that sends a configuration with errors, and against a comparison
  # that is left out without an error.
  Scenario Outline: The exit status is <status> with <place> set to <value> and <options>
    When check-config runs with <place> set to <value> and <options>
    Then check-config ends with status <status> and shows <text>

    Examples:
      | place                | value | options          | status | text                                        |
      | Limits.MaxBodyBytes  | 9     | --accelerators 8 | 0      | errors: 0, warnings: 0                      |
      | Routes.0.MaxAttempts | 0     | --accelerators 7 | 1      | error: $.Tenants: 8 accelerators            |
      | Routes.0.Priority    | "x"   | --against OLD    | 1      | error: $.Routes[0].Priority: unreadable     |
      | Tenants.0.ApiKeys    | []    | --against OLD    | 3      | change: organisation 'desks' loses key      |
      | Version              | 3     | --json --against OLD | 3  | [{"severity":"warning","code":"version_not_newer","path":"$.Version" |
      | Version              | 4     | --against 12     | 2      | against: expected a readable file, not '12' |
