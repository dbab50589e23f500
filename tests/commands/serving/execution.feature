Feature: An execution ticket is claimed at most once

  Scenario: Tickets claimed in random order
    Guards against a ticket that is claimed twice, by another organisation or after it
    expired, against losing the record of a use, and against unbounded memory.
    When 200 random ticket histories are simulated
    Then no ticket was claimed twice, after it expired or by another organisation

  Scenario Outline: The text "<text>" is not a valid ticket
    Guards against two texts for the same ticket, and against empty parts.
    Then "<text>" is not a valid ticket

    Examples:
      | text                 |
      | order-1              |
      | dc-a.vm-1.ab12       |
      | dc-a.vm-1.ab12.01    |
      | dc-a.vm-1.ab12.-1    |
      | dc-a.vm-1.ab12.1x    |
      | dc-a.vm-1.ab12.²     |
      | .vm-1.ab12.1         |
      | dc-a..ab12.1         |

  Scenario: One organisation can't use up the tickets of the others
    Guards against an organisation that uses up the ticket limit of the issuer.
    When one of 4 organisations requests tickets until it gets none
    Then it holds at most a quarter of the limit
    And another organisation still gets tickets
    And no ticket is retained after 15 minutes

  Scenario: The number of outcome copies is limited
    Guards against unbounded memory for the outcomes that peers send.
    When more outcome copies than the limit are stored
    Then only their own organisation finds the newest copies
