Feature: A leaving endpoint gets no new work and finishes its requests

  Scenario Outline: An endpoint reported as leaving by <source>
    Guards against new work on an endpoint that is about to stop.
    Given a daemon with 2 endpoints of 8 slots
    And the endpoints run each request for 0.01 s
    When the first endpoint is reported as leaving by "<source>"
    Then it gets no new work after 3 s, and the second endpoint does

    Examples:
      | source       |
      | the platform |
      | a drain      |
      | a stop       |
      | itself       |

  Scenario: Requests in progress on a leaving endpoint complete
    Guards against a planned stop that interrupts a request.
    Given a daemon with 1 endpoints of 8 slots
    And the endpoints run each request for 1 s
    And a ticket
    When the first endpoint leaves while the ticket's request runs
    Then the first answer is "ran"
    And the ticket ran 1 times
