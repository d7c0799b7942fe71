Feature: Boxes whose room shrinks under their tasks while more work comes

  Scenario Outline: No start exceeds the room of boxes that shrink amid a burst, seed <seed>
    A box may list less room than its tasks take up. Starts that were decided before, or that
    wait for the store, must not reach it.
    Given a busy shard of 8 boxes of which some list a smaller room, from seed <seed>
    When a burst of work comes, <and what> for 3 seconds
    Then no box that is over its room is sent a start

    Examples:
      | seed | and what                          |
      | 1    | and nothing else happens          |
      | 2    | and the store is unavailable      |
      | 3    | and answers of boxes get lost     |
      | 4    | and leaders are killed in turn    |

  Scenario: A box over its room is relieved of work that ends, and only then gets more
    Given a busy shard of 8 boxes of which some list a smaller room, from seed 5
    When a burst of work comes, and nothing else happens for 8 seconds
    Then each of them came below its room within 5.5 seconds and got work again, not beyond it

  Scenario: Room that grows again is used at once
    Given a busy shard of 8 boxes of which some list a smaller room, from seed 6
    When a burst of work comes, and nothing else happens for 8 seconds
    And the room of these boxes is as before
    Then each of them runs more than the smaller room allowed within 0.5 seconds

  Scenario: A start that is held back is not sent to a box that has shrunk meanwhile
    Given a shard of 3 boxes among models
    When the store is unavailable, work for all of the room is submitted, and the boxes shrink
    And the store is back
    Then each box has started no more than the smaller room allows, and some work

  Scenario: Best-effort work does not enter a box that is over its room
    It takes up no processor time by count, so it would fit any box.
    Given a shard of 1 boxes among models
    When it lists less than its long-running tasks take up, and best-effort work comes
    Then none of this starts within 3 seconds, and all of it soon after the room is as before
