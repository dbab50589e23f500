Feature: Ended jobs are removed whatever the store and the leaders do

  # Guards against a job that runs again after its end was stored, and against rows and
  # memory that are never released. The store refuses, loses and delays transactions and
  # loses its history, while leaders follow each other.
  Scenario Outline: No job starts again after its end was stored, and nothing is left
    When the removal of jobs is simulated with the seeds <first> to <last>
    Then jobs were started, and some under ids that were used before

    Examples:
      | first | last |
      | 1     | 20   |
      | 21    | 40   |
