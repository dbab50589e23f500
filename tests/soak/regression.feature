Feature: Seeds that failed once in the soak test

  Seed 106: a run that a restarted worker had resumed was started again; in another run
  the check mistook the end of a run for the lost end of an earlier one.
  Seed 316: the check mistook the first use of a new key for the return of an old one.
  Seed 103: the operator wrote a change while the store refused writes.
  Seed 4992: a job started after its cancellation was answered with 410, because its
  submission was stored late (in a trial on the code before the fix).

  Scenario Outline: A seed that failed once passes
    Given the soak test ran with seed <seed> for <seconds> seconds
    Then jobs were accepted and tasks ran
    And no invariant was violated during the soak test

    Examples:
      | seed | seconds |
      | 106  | 36      |
      | 316  | 36      |
      | 103  | 36      |
      | 4992 | 60      |
