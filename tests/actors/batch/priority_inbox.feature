Feature: Messages that keep the claim valid are handled before all others

  Scenario: A scheduler with a backlog handles the confirmation of its renewal first
    The confirmation waited behind hundreds of worker reports until the claim had expired,
    so no order could be sent although the store had confirmed the renewal in time.

    Given a scheduler inbox with 500 queued worker reports
    When the store confirms a renewal
    And another worker report is queued
    Then the confirmation is dequeued first
    And the reports follow in the order in which they were queued
