Feature: For seconds far more best-effort work is submitted than there is room for
  Jobs have two steps, from a few tasks wide to hundreds, and estimates that are often wrong by
  a factor of two. Twice, for six seconds, three times as much is submitted as there is room for.

  Scenario: The largest tenth of the jobs is served at least half as often as all
    Given a shard of 30 boxes and two bursts of 3 times its room
    Then the largest tenth, and the fifth below it, are served at least 0.5 times as often as all
    And of the largest tenth at least 1.5 times as many as with value and size_shares switched off

  Scenario: Among jobs of one size the one with the highest value for the work left goes first
    Given a waiting job that is half done and one of the same size that has not started
    Then the first goes before the second

  Scenario: An underserved size class goes first among jobs that are equally late
    Given 40 jobs of which the largest were not started
    Then a large job goes before a small one that is equally late, and not before one in time

  Scenario: The few jobs of a queue are all of one size class
    Given 12 jobs of which the largest were not started
    Then a small job goes before a large one
