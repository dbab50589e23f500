Feature: Kinds of tasks that slow each other down are found and kept apart

  # Guards against interference that stays unnoticed, and against blaming a neighbour
  # for slow or briefly slowed workers, stragglers, wrong reports or the other neighbours.
  Scenario Outline: Only a pair that disturbs is known
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1"
    When runs of "a" beside "b" take <factor> times as long, by "<liar>" 4 times, with a chance of <chance> that a worker is slowed, for 300 seconds from seed <seed>
    Then the pairs that became known are "<known>"

    Examples:
      | factor | liar | chance | seed | known |
      | 1.0    | none | 0      | 1    |       |
      | 2.0    | none | 0      | 1    | a b   |
      | 1.0    | w9   | 0      | 1    |       |
      | 2.0    | w9   | 0      | 1    | a b   |
      | 1.0    | none | 0.02   | 5    |       |
      | 2.0    | none | 0.02   | 5    | a b   |

  # Guards against a pair that is kept apart long after it stopped disturbing, and
  # against blaming a neighbour for wrong figures or for the slow workers it stays on.
  Scenario Outline: An effect on tails that begins and ends is followed
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1 r1"
    When tails beside "f" on <place> workers are times <factors> for 30 seconds each, those of "<liars>" times <wrong>
    Then the pair "web f" was known at the end as "<known>"

    Examples:
      | place | factors | liars    | wrong | known         |
      | other | 1 2 2 1 | none     | 1     | no yes yes no |
      | other | 1 1     | w1       | 0.01  | no no         |
      | other | 1 1     | w2       | 100   | no no         |
      | these | 1 1     | w1 w3 w5 | 2     | no no         |

  # Guards against a table that grows with the names that callers choose.
  Scenario: The table is bounded and forgets
    Given workers in the racks "r1 r1 r1"
    When evidence of 10000 pairs of 100 kinds arrives
    Then the table has at most 512 pairs of at most 64 kinds, and none an hour later

  # Guards against samples with the wrong neighbours.
  Scenario Outline: A run is measured beside the tasks that work there
    Given workers in the racks "r1"
    And a job "x" of the image "a" and a job "y" of the image "b"
    And the scheduler planned at second 1
    When the jobs report 1 and <usage> at 5, 30 and 60 percent
    Then the rate of "x" was measured beside "<neighbours>"

    Examples:
      | usage | neighbours |
      | 900   | b          |
      | 0     |            |
      | None  | b          |

  # Guards against tails that are not measured, or beside the wrong neighbours.
  Scenario: A tail is measured beside the tasks that work there
    Given workers in the racks "r1"
    When "x" of the image "web" reports a tail beside "y" of the image "b"
    Then the tail of "web" is 2 of the target beside "b"

  # Guards against blaming a harmless kind that comes with one that disturbs.
  Scenario: A neighbour that comes with a known one isn't blamed
    Given workers in the racks "r1 r1 r1 r1 r1 r1 r1 r1"
    When "web" with the known pair "web f" has tails beside "f" and "g" and beside "f"
    Then the pairs that became known are "web f"

  # Guards against a separation that is not done, or that costs a start.
  Scenario Outline: A task avoids its opponents where as much else is free
    Given workers in the racks "<racks>"
    And a task of the image "b" on the worker "w1", of "c" on the others, and "a b"
    When <count> tasks of the image "a" are placed
    Then all <count> are started, and <beside> of them on "w1"

    Examples:
      | racks | count | beside |
      | r1 r1 | 1     | 0      |
      | r1 r1 | 7     | 0      |
      | r1 r1 | 14    | 7      |
      | r1    | 7     | 7      |

  # Guards against opponents that are started together in one round.
  Scenario: Tasks that start in one round avoid each other
    Given workers in the racks "r1 r1"
    And a task of the image "b" on the worker "w1", of "c" on the others, and "a b"
    When a task of "a" and then one of "b" are placed in one round
    Then they are started on "w2 w1"

  # Guards against a task without accelerators that takes the last free worker from one
  # that needs much processor time.
  Scenario: Tasks without accelerators stay on the least free worker
    Given workers in the racks "r1 r1"
    And a task of the image "b" on the worker "w1", of "c" on the others, and "a b"
    And over half of the accelerators and most cores of "w1" are in use
    When a task of "a" without accelerators is placed, and one that fits on "w2" only
    Then the latter is started

  # Guards against a changed placement where nothing disturbs.
  Scenario: Evidence of harmless pairs changes no placement
    When 30 jobs of 8 images are placed with and without evidence that no pair disturbs
    Then both placements are equal

  # Guards against a takeover that mixes again what was kept apart.
  Scenario: A new scheduler knows the pairs that its predecessor stored
    Given workers in the racks "r1 r1"
    And a task of the image "b" on the worker "w1", of "c" on the others, and "a b"
    And a new scheduler has restored the table 60 seconds later
    When 1 tasks of the image "a" are placed
    Then all 1 are started, and 0 of them on "w1"
    And operators see "a b rate disturbs" with an age of 60 seconds
