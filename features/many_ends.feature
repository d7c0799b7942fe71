Feature: A run whose end is not listed yet counts neither as lost nor as never started
  A box lists its ends 500 at a time, and the rest once those are acknowledged. A task whose
  run and end were both missing in the first answer was started again, and done twice.

  Scenario: More tasks end than a box lists at once, while there is no leader
    Given a shard of 1 boxes among models
    When 1400 tasks start on it, the leader dies, and another takes over after 1.2 seconds
    Then no task ever ran on two boxes, and the job completes
    And each of its tasks started once

  Scenario: More tasks end than a box lists in two answers, while it is cut off
    Given a shard of 1 boxes among models
    When 2000 tasks start on it, and it is cut off for 1.2 seconds
    Then no task ever ran on two boxes, and the job completes
    And each of its tasks started once

  Scenario: A box with more ends than it lists at once is adopted all the same
    Given a shard of 1 boxes among models
    When 1400 tasks start on it, the leader dies, and another takes over after 1.2 seconds
    Then the box is open for work again within 1 second

  Scenario Outline: An answer of a box with <count> ends says that <what>
    When a box answers a poll with <count> ends
    Then <what>

    Examples:
      | count | what                  |
      | 499   | no further ends exist |
      | 500   | further ends may come |
