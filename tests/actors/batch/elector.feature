Feature: At most one daemon holds the leader claim, and every daemon keeps watching it

  Scenario: The age of a claim counts from the store's response, not from the call
    The holder may renew the row just before a slow store answers. With the age counted
    from the call, another daemon took the claim while the holder still sent orders.

    Given a store that answers the first read after 0.9 seconds
    And "b/1" holds the claim and renews it during the first read
    When "a" watches the claim
    Then it takes the claim no sooner than 1.1 seconds after the renewal

  # Guards against callers that are told that no job is pending by a daemon that does not
  # know.
  Scenario: A daemon that has not read the claim gives no counts of pending jobs
    Given a store whose next 1000 reads raise an unexpected error
    When "a" watches the claim
    Then it has no counts of pending jobs

  # Guards against a daemon that loses the claim and then counts no pending jobs until it
  # reads the claim of its successor.
  Scenario: A daemon whose scheduler has ended keeps the last counts of pending jobs
    Given a store that answers the first read after 0 seconds
    When "a" watches the claim
    And its scheduler ends with 2 pending jobs of "renders"
    Then it counts 2 pending jobs of "renders" until the claim is read again

  Scenario: An unexpected error does not stop the watching of the claim
    Otherwise the daemon appears healthy but never schedules again.

    Given a store whose next 2 reads raise an unexpected error
    When "a" watches the claim
    Then it takes the claim

  # Guards against one unreadable row that hides all other daemons.
  Scenario: An unreadable row does not stop peer discovery
    Given a store with the row of daemon "b" and one unreadable row
    When the peer addresses are refreshed
    Then the address of "b" is known

  Scenario: A low-CPU VM hands the claim over once a VM with more CPU reaches the store
    A low-CPU VM that took the claim while the others were cut off from the store kept it
    permanently. It fell behind, and the jobs of the whole day earned less than half of
    their value.

    Given a peer with more CPU that can reach the store
    When the low-CPU daemon "a" watches the claim
    Then it takes the claim
    And it releases the claim

  # Guards against a hand-over to a daemon that cannot take the claim.
  Scenario: A low-CPU VM keeps the claim while the VM with more CPU cannot reach the store
    Given a peer with more CPU that cannot reach the store
    When the low-CPU daemon "a" watches the claim
    Then it takes the claim
    And it still holds the claim after it has probed the peer
