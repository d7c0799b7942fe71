Feature: Nothing leaves a process on a right that has lapsed meanwhile
  A decider stood still for two seconds while another took over. When it went on, all starts
  that it had in hand left at once ("4 starts reached the box, after [0.002, ...] s", and 8 of
  8 where the answer to their record had been on its way), before anything confirmed that it
  still decides. Only what boxes remember of epochs turns such starts away: one that the
  successor has not reached yet, or that has begun a new life, carries them out.

  Scenario: A start that waits for its turn while its process stands still
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, stands still for 2 seconds, and another takes over meanwhile
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A start whose record was confirmed as its process stood still
    Given a decider, and a box that takes 0 seconds to answer each start
    When it stands still for 2 seconds as the answer to its record is on the way, and another takes over meanwhile
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A start that waits while others say that another decides
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and hears of a newer epoch, which the store knows
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A decider that stood still and still decides goes on
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and stands still for 2 seconds
    Then each of the 8 tasks runs once

  Scenario: Starts of a decider that is confirmed do not wait for the check
    Given a decider, and a box that takes 0 seconds to answer each start
    When it starts 200 tasks, one job after the other
    Then half of its starts had to wait 1 ms or less for its right, and 99 in 100 20 ms or less
