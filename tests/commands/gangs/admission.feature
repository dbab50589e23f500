Feature: Admission of gang jobs

  # Guards against accepting a job that can never run, and against refusing a job that
  # can run.
  Scenario: A job that can never run is refused with its reason
    Given 4 gang workers of 8 accelerators, 2 to a rack
    And 2 guaranteed "1x8 one worker" for "g" as "gold"
    And a gang quota of 16 accelerators for "p"
    When admission decides on these gang jobs
      | job | organisation | shape           | interruption    | kind  | answer                |
      | a   | o            | 2x8 one rack    | stoppable       |       | admitted              |
      | b   | o            | 3x8 one rack    | stoppable       |       | shape_impossible      |
      | c   | o            | 3x8 anywhere    | stoppable       |       | admitted              |
      | d   | o            | 1x3 anywhere    | stoppable       |       | shape_invalid         |
      | e   | o            | 17x1 one worker | stoppable       |       | shape_impossible      |
      | f   | p            | 3x8 anywhere    | stoppable       |       | quota_exceeded        |
      | h   | o            | 1x8 anywhere    | stoppable       | claim | guarantee_missing     |
      | i   | g            | 1x4 anywhere    | stoppable       | claim | admitted              |
      | j   | g            | 2x4 anywhere    | stoppable       | claim | guarantee_missing     |
      | k   | o            | 3x8 anywhere    | uninterruptible |       | would_break_guarantee |
      | l   | o            | 2x8 anywhere    | uninterruptible |       | admitted              |
    Then each job gets the answer in its row
