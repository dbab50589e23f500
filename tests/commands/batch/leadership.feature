Feature: At most one daemon is the scheduling leader

  Scenario: The first daemon claims leadership with epoch 1
    Given no daemon has claimed leadership yet
    Then "a" may claim leadership at second 0 with epoch 1

  Scenario: A renewed claim can't be taken over
    Given "b" is leader in epoch 4 and its row last changed at second 10
    Then "a" may not claim leadership at second 11

  Scenario: The claim of an unresponsive leader is taken over with a higher epoch
    Given "b" is leader in epoch 4 and its row last changed at second 10
    Then "a" may claim leadership at second 14 with epoch 5

  Scenario: A released claim can be taken immediately
    Given "" is leader in epoch 4 and its row last changed at second 10
    Then "a" may claim leadership at second 10 with epoch 5

  Scenario: The leader's validity ends before another daemon may claim leadership
    Then a leader stops issuing orders before another daemon may claim leadership

  Scenario: A restarted daemon takes over the claim of its earlier process
    Given "a/1" is leader in epoch 4 and its row last changed at second 10
    Then "a/2" may claim leadership at second 10 with epoch 5
    And "b/1" may not claim leadership at second 10

  Scenario: A low-CPU VM delays its claim so that a stronger one can claim first
    Guards against a low-CPU VM as leader of a large fleet, which overloaded it.

    Given "" is leader in epoch 4 and its row last changed at second 10
    Then a VM with 0.5 cores, the strongest having 2.0, may not claim leadership at second 10.2
    And a VM with 2.0 cores, the strongest having 2.0, may claim leadership at second 10
    And a VM with 0.5 cores, the strongest having 2.0, may claim leadership at second 10.4

  Scenario: A low-CPU VM also delays its claim when the leader is unresponsive
    Given "b" is leader in epoch 4 and its row last changed at second 10
    Then a VM with 0.5 cores, the strongest having 2.0, may not claim leadership at second 11.2
    And a VM with 2.0 cores, the strongest having 2.0, may claim leadership at second 11.2
    And a VM with 0.5 cores, the strongest having 2.0, may claim leadership at second 11.5

  Scenario: A strong VM makes the first claim of a deployment
    Given no daemon has claimed leadership yet
    Then a VM with 0.5 cores, the strongest having 0, may not claim leadership at second 1.9
    And a VM with 2.0 cores, the strongest having 0, may claim leadership at second 0.5
    And a VM with 0.1 cores, the strongest having 0, may claim leadership at second 3

  Scenario: A low-CPU VM hands leadership over to stronger peers, the strongest first
    Given peers with the cores "a=0.5 b=1.5 c=2.0 d=0.9"
    Then a VM with 0.5 cores hands leadership over to "c b"
    And a VM with 2.0 cores hands leadership over to ""
