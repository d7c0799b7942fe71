Feature: Placement checks only changed boxes, and chooses as a scan of all boxes does
  The plain scan of all boxes for each task is the reference for the index.

  Scenario: Every task goes to the same box with and without the index
    Then in 60 random shards of up to 24 boxes both searches give the same commands

  Scenario: A decision costs hardly more with four times the boxes and the work
    Given scheduling is measured with 45 and with 180 boxes, with equal work per box
    Then a start takes at most 2.5 times as many checks of boxes

  Scenario: The room that a gang takes is not given to tasks placed after it
    Given a box of 8 GB for which a second best-effort task has waited for 1.6 seconds
    When a gang of higher priority that takes 4 GB is submitted
    Then the gang starts, and the task that needs 5 GB goes on waiting
