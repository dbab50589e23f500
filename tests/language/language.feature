Feature: Parsing and printing of the operators' language

  # Guards against a syntax error that is reported without its position or what was
  # expected.
  Scenario Outline: A syntax error is reported with its position and what was expected
    When the text "<text>" is parsed
    Then the syntax error is "<message>"

    Examples:
      | text                                                       | message                                                                             |
      | show job                                                   | line 1, column 6: expected config or jobs or organisations, classes, services, endpoints, workers, guarantees, stops or requests, found 'job' |
      | set class q rank x                                         | line 1, column 18: expected a number, found 'x'                                     |
      | set class q rank 1.5 window 2ms expected 3ms because 'k'   | line 1, column 18: expected a whole number, found 1.5                               |
      | set class q rank 1 window 2 expected 3ms                   | line 1, column 27: expected a time such as 200ms, 30s, 5m or 2h, found '2'          |
      | drain w1                                                   | line 1, column 9: expected because, found the end                                   |
      | drain w1 because ''                                        | line 1, column 18: expected a reason that is not empty, found ''                    |
      | drain w1\n because 'abc                                    | line 2, column 10: expected a text in double quotes, found ''abc'                   |
      | show jobs show jobs                                        | line 1, column 11: expected ';' or the end, found 'show'                            |
      | cancel job                                                 | line 1, column 11: expected a name, found the end                                   |
      | set organisation x share 1 share 2 because 'k'             | line 1, column 28: expected because or quota, found 'share'                         |
      | plan stop w from 2026-13-05T10:00:00Z until 2026-12-05T12:00:00Z because 'r' | line 1, column 18: expected a date that exists, found 2026-13-05T10:00:00Z |

  # Guards against a printed statement that parses to a different statement.
  Scenario: Parsing printed statements returns the same statements
    Then parsing the printed text returns the same statements in 400 generated cases

  # Guards against a name that is read as a keyword and changes the statement.
  Scenario: Names that are keywords of the language are printed in quotes
    When the text "set organisation job because 'r'; why job 'a b'" is parsed
    Then the statements are printed as
      """
      set organisation "job" share 1.0 quota none because "r";
      why job "a b";
      """

  # Guards against a reference page with examples that the parser rejects, and against a
  # statement that the page does not show.
  Scenario: Every example of the reference page is valid, and every statement has one
    Then every example of docs/language.md is parsed
    And every kind of statement and change has an example there
