Feature: No start is sent under a leader lease that has lapsed meanwhile
  A leader stood still for two seconds while another process took over. When it continued, it
  sent all pending starts at once ("4 starts reached the box, after [0.002, ...] s", and 8 of
  8 if the answer to their record had been on its way), before anything confirmed that it
  still led. Boxes fence such starts only by the epochs that they remember: a box that the
  successor has not reached yet, or that has restarted, carries them out.

  Scenario: A start that waits in the queue while its process stands still
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, stands still for 2 seconds, and another process takes over meanwhile
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A start whose record was confirmed while its process stood still
    Given a decider, and a box that takes 0 seconds to answer each start
    When it stands still for 2 seconds while the answer to its record is on the way, and another process takes over meanwhile
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A start that waits while other processes report another leader
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and hears of a newer epoch that was claimed at the store
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A leader that stood still and still leads continues
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and stands still for 2 seconds
    Then each of the 8 tasks runs once

  Scenario: Starts of a confirmed leader do not wait for the check
    Given a decider, and a box that takes 0 seconds to answer each start
    When it starts 200 tasks in one job after another
    Then half of its starts waited 1 ms or less for the leader lease, and 99 in 100 20 ms or less
