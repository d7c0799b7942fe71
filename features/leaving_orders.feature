Feature: No start is sent under a leader lease that has expired while it waited
  The scenarios guard against this fault: a leader stalls for two seconds while another
  process takes over. When it resumes, it sends all pending starts at once (4, the first after
  0.002 s, and 8 of 8 if the answer to their record was in flight), before anything
  confirms that it still leads. Boxes fence such starts only by the epochs that they remember:
  a box that the successor has not reached yet, or that has restarted, executes them.

  Scenario: A start that waits in the queue while its process stalls
    Given a leader, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, stalls for 2 seconds, and another process takes over meanwhile
    Then no command of it reaches the box after that, and it has stepped down

  Scenario: A start whose record was confirmed while its process stalled
    Given a leader, and a box that takes 0 seconds to answer each start
    When it stalls for 2 seconds while the answer to its record is in flight, and another process takes over meanwhile
    Then no command of it reaches the box after that, and it has stepped down

  Scenario: A start that waits while other processes report another leader
    Given a leader, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and learns of a newer epoch that was claimed at the store
    Then no command of it reaches the box after that, and it has stepped down

  Scenario: A leader that stalled and still leads continues
    Given a leader, and a box that takes 0.3 seconds to answer each start
    When it has 8 tasks to start there, and stalls for 2 seconds
    Then each of the 8 tasks runs once

  Scenario: Starts of a confirmed leader do not wait for the check
    Given a leader, and a box that takes 0 seconds to answer each start
    When it starts 200 tasks in one job after another
    Then half of its starts waited 1 ms or less for the leader lease, and 99 in 100 20 ms or less
