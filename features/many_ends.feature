Feature: A run whose end is not listed yet is neither gone nor never begun
  A box lists its ends 500 at a time, and the rest once those are known. A task of which
  neither the run nor the end was in the first answer was started again, and was done twice.

  Scenario: More tasks end than a box lists at once, while nobody decides
    Given a shard of 1 boxes among models
    When 1400 tasks begin on it, their decider dies, and another takes over after 1.2 seconds
    Then no task ever ran on two boxes, and the job completes
    And each of its tasks began once

  Scenario: More tasks end than a box lists in two answers, while it is cut off
    Given a shard of 1 boxes among models
    When 2000 tasks begin on it, and it is cut off for 1.2 seconds
    Then no task ever ran on two boxes, and the job completes
    And each of its tasks began once

  Scenario: A box that goes on ending more than it lists at once is adopted all the same
    Given a shard of 1 boxes among models
    When 1400 tasks begin on it, their decider dies, and another takes over after 1.2 seconds
    Then the box is open for work again within 1 second

  Scenario Outline: An answer of a box with <count> ends says that <what>
    When a box answers a look with <count> ends
    Then <what>

    Examples:
      | count | what                  |
      | 499   | no further ends exist |
      | 500   | further ends may come |
