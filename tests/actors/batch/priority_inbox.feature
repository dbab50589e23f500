Feature: What keeps the claim valid does not wait behind other messages

  Scenario: A scheduler that is behind takes the answer to its renewal first
    The answer waited behind hundreds of reports until the claim had run out, so no order
    could be sent although the store had confirmed the renewal in time.

    Given a scheduler's inbox with 500 reports of workers
    When the store confirms a renewal
    And a report comes after it
    Then the confirmation is taken first
    And the reports follow in their order
