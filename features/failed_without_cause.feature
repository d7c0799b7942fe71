Feature: A job is shown as failed for its own failed runs, or for what nothing else explains

  Scenario Outline: An append that the store doesn't take for now is no refused record
    Given a store that answers appends with <answer>
    Then an append is repeated

    Examples:
      | answer                |
      | 429                   |
      | 500                   |
      | 502                   |
      | 503                   |
      | 504                   |
      | 507                   |
      | 408                   |
      | 412                   |
      | 409 and no reason     |
      | 200 and half a body   |
      | no byte               |
      | a reset connection    |

  Scenario Outline: No job is ended as failed while the store <does>
    Given leaders with a store that <does>
    When 6 jobs are submitted, and completed by two leaders
    Then no record is left out, and none of the jobs is known as failed

    Examples:
      | does                                |
      | is away again and again             |
      | loses answers                       |
      | is slow                             |
      | turns callers away with 429 and 507 |

  Scenario Outline: A record that the store refuses <count> is kept, and its job goes on
    A malformed request is refused as well, whatever its records are.
    Given a leader, and a store that refuses records of the tasks of one job <count>
    When that job and 3 others are submitted
    Then all of them are completed, and no record is left out

    Examples:
      | count |
      | once  |
      | twice |

  Scenario: An end that leaders list again and again counts once
    Given a job of a route with 3 attempts
    When its run fails, and four leaders see that end, two of them twice
    Then its task has failed once, and the job is not known as failed

  Scenario: Only ends of its own failed runs count for a job of few attempts
    Given a job of a route with 1 attempts
    When its run ends as stopped, lapsed, broken and alone, and is started again
    Then its task has failed 0 times, and the job is not known as failed

  Scenario: A long-running job isn't ended by a stop, as its route allows no attempts
    Given a long-running job of a route with 0 attempts
    When its run ends as stopped, lapsed, failed and alone, and is started again
    Then its task has failed 0 times, and the job is not known as failed

  Scenario: A job isn't ended by a stop, as its route allows no attempts
    Given a job of a route with 0 attempts
    When its run ends as stopped, lapsed, broken and alone, and is started again
    Then its task has failed 0 times, and the job is not known as failed
