Feature: Whatever calls are lost, no task runs twice, too early or over capacity

  Workers are cut off for up to 14 s, restart, fail tasks, lose answers and carry starts
  out late; their clocks run up to 2% slow. Invariants are checked at every moment.

  Scenario Outline: Jobs end, and each task of a done job was done once
    Given a random world with the seed <seed>
    When it is played to its end
    Then each task of a done job was done exactly once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |

  Scenario Outline: Rounds that count only what has changed give the same orders
    A change that the indexes miss would leave room unused, or start a task where there
    is no room.

    Given a random world with the seed <seed>
    And each round is compared with one that counts everything anew
    When it is played to its end
    Then each task of a done job was done exactly once

    Examples:
      | seed |
      | 21   |
      | 22   |
      | 23   |
      | 24   |
