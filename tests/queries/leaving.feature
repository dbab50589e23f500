Feature: Endpoints leave shortly before their planned stop until its end

  Scenario Outline: A planned stop <seconds> s after its start
    Guards against new work just before a stop, and against a stop that never ends.
    Then an endpoint whose planned stop of 100 s started <seconds> s ago <state>

    Examples:
      | seconds | state          |
      | -61     | is not leaving |
      | -59     | is leaving     |
      | 99      | is leaving     |
      | 100     | is not leaving |
