Feature: For seconds far more of what fills comes than there is room for
  Jobs of two steps, a few tasks wide to hundreds, with estimates that are often twice off;
  twice for six seconds three times as much comes as there is room for.

  Scenario: The largest tenth of the jobs is served at least half as often as all
    Given a shard of 30 boxes and two bursts of 3 times its room
    Then the largest tenth, and the fifth beneath it, are served 0.5 times as often as all
    And of the largest tenth at least 1.5 times as many as with value and size_shares switched off

  Scenario: What is worth most for the work left goes first among jobs of one size
    Given a waiting job of which half is done and one of the same size that has not begun
    Then the first goes before the second

  Scenario: A size of which too little was started goes first among what is as late
    Given 40 jobs of which the largest got nothing
    Then a large job goes before a small one that is as late, and not before one in time

  Scenario: Few jobs of a queue are all of one size
    Given 12 jobs of which the largest got nothing
    Then a small job goes before a large one
