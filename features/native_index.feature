Feature: Placing looks only at boxes that changed, and chooses as a walk over all does
  The plain walk over all boxes for each task is kept as what the index must agree with.

  Scenario: With and without the index every task goes to the same box
    Then in 60 random shards of up to 24 boxes both ways give the same orders

  Scenario: With four times the boxes and the work a decision costs hardly more
    Given deciding was measured at 45 and at 180 boxes with as much work for each
    Then a start takes at most 2.5 times as many looks at boxes

  Scenario: The room that a gang takes is taken for what is placed after it
    Given a box of 8 GB on which work that fills waits for 1.6 seconds for quiet
    When a gang is handed in that goes first and takes 4 GB
    Then the gang begins, and what needs 5 GB waits on
