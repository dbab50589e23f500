Feature: The command line explains errors and never prints a traceback

  # Guards against settings that are silently ignored because of a misspelt key.
  Scenario Outline: Wrong settings are reported with the key path
    When the settings are checked with <key> set to <value>
    Then the command line ends with status 2 and says "<message>"

    Examples:
      | key       | value             | message                                                     |
      | regoin    | "test"            | $.regoin: expected no such key; did you mean region?        |
      | vm        | 7                 | $.vm: expected `str`, got `int`                             |
      | log       | {"levle": "INFO"} | $.log.levle: expected no such key; did you mean level?      |
      | peers     | [{"vmm": "x"}]    | $.peers[0].vmm: expected no such key; did you mean vm?      |
      | tls       | {"cert": "x"}     | $.tls.cert: expected no such key; did you mean certificate? |
      | platform  | "somewhere"       | $.platform: expected ip:port, not 'somewhere'               |
      | listen    | {"peers": ":1"}   | $.listen.callers: expected a value                          |

  # Guards against scripts that can't distinguish a usage error from an outage.
  Scenario Outline: The exit status identifies usage errors without a daemon
    When the command line runs <arguments>
    Then the command line ends with status <status> and says "<message>"

    Examples:
      | arguments                                | status | message                              |
      | ask "shw workers"                        | 3      | line 1, column 1: expected           |
      | ask 'drain w1 because "x"'               | 2      | queries only                         |
      | ask                                      | 2      | a statement, for example             |
      | ask "show workers" --server here         | 2      | server: expected ip:port             |
      | ask "show workers" --server 127.0.0.1:1  | 6      | was not reached                      |
      | ask "show workers" --token-file /nowhere | 2      | token-file: expected a readable file |
      | do --file /nowhere                       | 2      | file: expected a readable text file  |
      | ask --nonsense                           | 2      | unrecognized arguments               |

  # Guards against a refusal by the daemon that looks like success to a script.
  Scenario: The exit status identifies why the daemon refused
    Given a platform and 1 daemon
    When the command line runs do 'drain w1 because "x"'
    Then the command line ends with status 4 and says "drain.w1: expected a known name"
    When the command line runs ask "why job j-1"
    Then the command line ends with status 4 and says "job j-1 is not known"
    When the command line asks with an unknown token "show workers"
    Then the command line ends with status 8 and says "no settings name this token"

  # Guards against a user who has to guess what an exit status means.
  Scenario: The help lists the exit statuses
    When the command line runs --help
    Then the output shows "another operator's change came first"

  # Guards against a file that is applied in part because of a syntax error at its end,
  # and against a run that does not report how far it got.
  Scenario: A file is checked as a whole, then run with progress
    Given a platform and 1 daemon
    When a command file is run with
      """
      set organisation desks because "first";  # the largest customer
      set class quote rank 0 window 200ms expected 30ms because "second";
      set class quote rank x
      """
    Then the command line ends with status 3 and says "line 3, column 22: expected a number"
    And daemon 1 applies version 0
    When a command file is run with
      """
      set organisation desks because "first";
      remove class quote because "never there";
      set organisation bench because "third"
      """
    Then the command line ends with status 4 and says "1 of 3 commands done"
    And it says "[2/3] remove class quote"
    And daemon 1 applies version 1

  # Guards against unreadable tables and invalid JSON.
  Scenario: Results are readable tables or JSON
    Given a platform and 1 daemon
    When ana sends "set organisation desks share 2 because 'first'" to daemon 1
    And the command line runs ask "show organisations; show classes"
    Then the output is
      """
      NAME   SHARE  QUOTA
      desks  2      -

      NAME  RANK  WINDOW MS  EXPECTED MS  IDEMPOTENT
      (none)
      """
    When the command line runs ask "show organisations" --json
    Then the output is JSON with the organisation "desks"

  # Guards against operators' tokens that are sent unencrypted when TLS is configured.
  Scenario: With certificates in the settings, statements are sent over TLS only
    Given a platform and a daemon with certificates
    When the command line asks "show config" with the authority
    Then the output shows "VERSION"
    When the command line runs ask "show config"
    Then the command line ends with status 7 and says "sent no complete response"
