Feature: Promises hold in long randomised runs
  A short slice with fixed seeds; make soak runs for minutes from a new seed.

  Scenario Outline: Random work and faults from seed <seed>
    When random work and faults run from seed <seed> over the reducers
    Then no invariant was violated and work was done

    Examples:
      | seed |
      | 1    |
      | 9    |
      | 28   |
      | 33   |
      | 46   |
      | 67   |
      | 126  |
      | 196  |
      | 55   |
      | 1034 |
      | 1077 |
      | 1114 |
      | 3113 |
      | 9003 |

  Scenario: Real processes are killed, stopped and frozen from a seed
    When real processes, boxes and the store are disturbed 30 times from seed 5
    Then every promise that clients were given was kept
