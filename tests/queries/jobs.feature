Feature: The explanation of a job includes more than the scheduling plan

  # Guards against reporting a capacity risk only after the worker was lost.
  Scenario: The explanation of a claim names a worker whose loss breaks a guarantee
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | g            | 1x8 anywhere | claim |
    Then the explanation of "c" includes "the loss of worker w0 would break guarantee gold"

  # Guards against a warning although another worker provides the same capacity.
  Scenario: A worker whose loss breaks no guarantee is not named
    Given 2 gang workers of 8 accelerators, 1 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | g            | 1x8 anywhere | claim |
    Then the explanation of "c" names no worker whose loss breaks a guarantee
