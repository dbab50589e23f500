Feature: Planning of gang jobs

  # Guards against starting only those members of a gang that fit.
  Scenario: All members of a gang start or none does
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And these running gangs
      | job | organisation | shape        | places |
      | a   | o            | 1x1 anywhere | w0/0   |
    And these waiting gangs
      | job | organisation | shape        |
      | b   | o            | 2x8 one rack |
    When the gangs are planned
    Then "b" waits because "once a of o have ended"
    And planning again gives the same effects

  # Guards against splitting a large free block while a smaller one fits.
  Scenario: A small job takes the smallest free block
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And these running gangs
      | job | organisation | shape        | places |
      | a   | o            | 1x4 anywhere | w1/0   |
    And these waiting gangs
      | job | organisation | shape        |
      | b   | o            | 1x2 anywhere |
    When the gangs are planned
    Then "b" starts at "w1/4"

  # Guards against using a free range of accelerators that is not an aligned block.
  Scenario: A job starts on an aligned block
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And these running gangs
      | job | organisation | shape        | places |
      | a   | o            | 1x2 anywhere | w0/0   |
    And these waiting gangs
      | job | organisation | shape        |
      | b   | o            | 1x4 anywhere |
    When the gangs are planned
    Then "b" starts at "w0/4"

  # Guards against two jobs of one plan that use the same free cores.
  Scenario: The jobs of one plan do not exceed the cores of a worker
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And these waiting gangs
      | job | organisation | shape        | submitted |
      | a   | o            | 9x0 anywhere | 800       |
      | b   | o            | 9x0 anywhere | 900       |
    When the gangs are planned
    Then "a" starts
    And "b" waits because "no slots are left"

  # Guards against work that can't be stopped in time on the last slots that a guarantee
  # can use.
  Scenario Outline: Guaranteed capacity runs only work that can be reclaimed in time
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | interruption   |
      | a   | o            | 1x8 anywhere | <interruption> |
    When the gangs are planned
    Then "a" <result>

    Examples:
      | interruption    | result                                            |
      | saves in 1 s    | starts                                            |
      | saves in 30 s   | waits because "gold could not be reclaimed"       |
      | uninterruptible | waits because "gold could not be reclaimed"       |

  # Guards against a guarantee that the loss of one worker breaks.
  Scenario: Work that can't be reclaimed leaves capacity for the loss of a worker
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | interruption    |
      | a   | o            | 1x1 anywhere | uninterruptible |
    When the gangs are planned
    Then "a" waits because "would not survive the loss of a worker"

  # Guards against a claim that waits for ordinary jobs, and against preempting a job
  # that loses more work than another.
  Scenario: A claim preempts the job that loses the least work
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | interruption | places |
      | a   | o            | 1x8 anywhere | stoppable    | w0/0   |
      | b   | o            | 1x8 anywhere | saves in 1 s | w1/0   |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | g            | 1x8 anywhere | claim |
    When the gangs are planned
    Then the stopped gangs are "b"
    And "c" waits because "starts once b of o have stopped"

  # Guards against more running claims than a guarantee has copies.
  Scenario: A claim waits while all copies are in use
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | places | kind  |
      | a   | g            | 1x8 anywhere | w0/0   | claim |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | b   | g            | 1x8 anywhere | claim |
    When the gangs are planned
    Then "b" waits because "all copies of gold are in use"

  # Guards against a claim on slots that another guarantee has no replacement for.
  Scenario: A claim leaves the other guarantees reclaimable
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And 1 guaranteed "1x4 one worker" for "h" as "iron"
    And these running gangs
      | job | organisation | shape        | interruption    | places |
      | a   | o            | 1x4 anywhere | uninterruptible | w1/0   |
      | b   | o            | 1x4 anywhere | stoppable       | w1/4   |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | h            | 1x4 anywhere | claim |
    When the gangs are planned
    Then the stopped gangs are "b"
    And "c" waits because "starts once b of o have stopped"

  # Guards against two jobs of one plan that together use the last slots of a guarantee,
  # although either could run alone.
  Scenario: Jobs of one plan that can't be reclaimed are counted together
    Given 3 gang workers of 8 accelerators, 3 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | interruption    | submitted |
      | a   | o            | 1x8 anywhere | uninterruptible | 800       |
      | b   | o            | 1x8 anywhere | uninterruptible | 900       |
    When the gangs are planned
    Then "a" starts
    And "b" waits because "would not survive the loss of a worker"

  # Guards against another job that takes slots which are being freed for a claim.
  Scenario: The slots that a claim waits for are held
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | interruption | places |
      | a   | o            | 1x4 anywhere | saves in 1 s | w0/0   |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | b   | o            | 1x4 anywhere |       |
      | c   | g            | 1x8 anywhere | claim |
    When the gangs are planned
    Then the stopped gangs are "a"
    And "b" waits because "no slots are left beside those reserved for earlier jobs"

  # Guards against counting the claims of two equal guarantees against only one of them.
  Scenario: Claims on equal guarantees of one organisation are counted separately
    Given 3 gang workers of 8 accelerators, 3 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And 1 guaranteed "1x8 one worker" for "g" as "silver"
    And these running gangs
      | job | organisation | shape        | places | kind  |
      | a   | g            | 1x8 anywhere | w0/0   | claim |
      | b   | g            | 1x8 anywhere | w1/0   | claim |
    And these waiting gangs
      | job | organisation | shape        | kind  |
      | c   | g            | 1x8 anywhere | claim |
    When the gangs are planned
    Then "c" waits because "all copies of"

  # Guards against an error when work is placed on workers that no guarantee can use.
  Scenario: Guarantees of accelerators do not restrict jobs that need only cores
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And gang workers p0 without accelerators
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these waiting gangs
      | job | organisation | shape        | interruption    |
      | a   | o            | 2x0 anywhere | uninterruptible |
    When the gangs are planned
    Then "a" starts at "p0/0 p0/0"

  # Guards against an urgent job that waits for ordinary jobs.
  Scenario: An urgent job preempts an ordinary job but no claim
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And 1 guaranteed "1x8 one worker" for "g" as "gold"
    And these running gangs
      | job | organisation | shape        | places | kind  |
      | a   | g            | 1x8 anywhere | w0/0   | claim |
      | b   | o            | 1x8 anywhere | w1/0   |       |
    And these waiting gangs
      | job | organisation | shape        | kind   |
      | c   | o            | 1x4 anywhere | urgent |
    When the gangs are planned
    Then the stopped gangs are "b"

  # Guards against backfill that delays the first job in the queue, and against starting
  # nothing past that job.
  Scenario Outline: Backfill does not delay the reservation of the first job
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And these running gangs
      | job | organisation | shape        | interruption    | places | started |
      | a   | o            | 1x8 anywhere | uninterruptible | w0/0   | 950     |
    And these waiting gangs
      | job  | organisation | shape        | interruption    | declared   | submitted |
      | head | o            | 2x8 one rack | uninterruptible | 10         | 100       |
      | next | o            | 1x8 anywhere | uninterruptible | <declared> | 999       |
    When the gangs are planned
    Then "next" <result>

    Examples:
      | declared | result                               |
      | 20       | starts at "w1/0"                     |
      | 400      | waits because "beside the reservation" |

  # Guards against a quota that several jobs together exceed, and against a quota that
  # delays other organisations.
  Scenario: A quota limits only its own organisation
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And a gang quota of 8 accelerators for "o"
    And these running gangs
      | job | organisation | shape        | places |
      | a   | o            | 1x4 anywhere | w0/0   |
    And these waiting gangs
      | job | organisation | shape        |
      | b   | o            | 1x8 anywhere |
      | c   | p            | 1x8 anywhere |
    When the gangs are planned
    Then "b" waits because "quota of 8"
    And "c" starts

  # Guards against starting a job that a planned stop would interrupt.
  Scenario: A job that can't end before a planned stop does not start
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And a planned stop of gang worker "w0" in 150 s
    And these waiting gangs
      | job   | organisation | shape        | interruption    | declared |
      | long  | o            | 1x4 anywhere | uninterruptible | 100      |
      | short | o            | 1x4 anywhere | uninterruptible | 50       |
    When the gangs are planned
    Then "short" starts
    And "long" waits because "no slots are left"

  # Guards against a job that still runs when its worker stops.
  Scenario: A running job is stopped before a planned stop of its worker
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And a planned stop of gang worker "w0" in 5 s
    And these running gangs
      | job | organisation | shape        | interruption | places |
      | a   | o            | 1x8 anywhere | saves in 1 s | w0/0   |
    When the gangs are planned
    Then the stopped gangs are "a"

  # Guards against a large job that waits although enough accelerators are free, but
  # scattered over several workers.
  Scenario: A small job is moved when that lets a large job start
    Given 2 gang workers of 8 accelerators, 2 to a rack
    And these running gangs
      | job | organisation | shape        | interruption | places | declared |
      | a   | o            | 1x4 anywhere | saves in 1 s | w0/0   | 9000     |
      | b   | o            | 1x4 anywhere | saves in 1 s | w1/0   | 9000     |
    And these waiting gangs
      | job | organisation | shape        |
      | c   | o            | 1x8 anywhere |
    When the gangs are planned
    Then the stopped gangs are "a"

  # Guards against a job that can no longer run but waits for ever, or that is reported as
  # "not run" after it ran.
  Scenario: A job that can no longer run is rejected
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And these waiting gangs
      | job | organisation | shape        |
      | a   | o            | 2x8 one rack |
    When the gangs are planned
    Then "a" is rejected because "even when all are empty"

  # Guards against starting jobs on a worker whose state is unknown.
  Scenario: An unreachable worker gets no new jobs
    Given 1 gang workers of 8 accelerators, 1 to a rack
    And gang worker "w0" is unreachable
    And these waiting gangs
      | job | organisation | shape        |
      | a   | o            | 1x1 anywhere |
    When the gangs are planned
    Then "a" waits because "no slots are left"
