Feature: Feasibility of guarantees and workers whose loss would break them

  # Guards against accepting guarantees that can't all be satisfied at the same time.
  Scenario: Guarantees that fit only one at a time are infeasible
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "2x8 one rack" for "g" as "gold"
    And 1 guaranteed "1x1 anywhere" for "h" as "iron"
    Then the guarantees are infeasible because "copy 1 of iron"

  # Guards against a packing that spreads small copies over all workers, so that no
  # whole worker is left for a large one.
  Scenario: Small copies leave whole workers free for large copies
    Given 3 gang workers of 8 accelerators, 3 to a rack
    And 6 guaranteed "1x1 anywhere" for "a" as "a-small"
    And 2 guaranteed "1x8 one worker" for "b" as "b-large"
    Then the guarantees are feasible together

  # Guards against a guarantee at risk that is not reported before the loss, and against
  # a false report.
  Scenario Outline: Workers whose loss would break a guarantee are reported
    Given <count> gang workers of 8 accelerators, 4 to a rack
    And 2 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | interruption   | places |
      | a   | o            | 1x1 anywhere | <interruption> | w0/0   |
    Then the workers whose loss alone breaks "gold" are "<workers>"

    Examples:
      | count | interruption    | workers |
      | 2     | stoppable       | w0 w1   |
      | 3     | stoppable       | none    |
      | 3     | uninterruptible | w1 w2   |
