Feature: Long-running tasks that are due find room

  Scenario: The log says which task took the room that a long-running task waits for
    Given a box of 64 cores, full, and two long-running tasks of 40 cores that wait for 5 seconds
    When room for one of them frees
    Then 2.5 seconds later the log says of the other that its room was taken, and by which task

  Scenario: A long-running task whose lease has ended uses reserved room at once
    Given three boxes of 64 cores, one of them reserved for short tasks, the others with two long-running tasks each
    When one of these two boxes is lost until its lease has ended
    Then 0.2 seconds later its tasks run again

  Scenario: A long-running task that waits under its second leader uses reserved room at once
    Given three boxes of 64 cores, one of them reserved for short tasks, the others with two long-running tasks each
    When one of these two boxes is lost until its lease has ended, and another leader takes over
    Then 0.2 seconds later its tasks run again

  Scenario: A long-running task that has just ended leaves reserved room to short tasks
    Given three boxes of 64 cores, one of them reserved for short tasks, the others with two long-running tasks each
    When one of these two boxes is evacuated
    Then 1.5 seconds later its tasks wait, and 4.5 seconds later they run again

  Scenario: A long-running task whose lease has ended takes room that short tasks use in turn
    Given two boxes of 64 cores, one with a long-running task of 40 cores, the other with as much room
    When short tasks of 30 cores use that room in turn, and the first box is lost until its lease has ended
    Then 1.3 seconds later its task runs on the other box
    And short tasks use the room in turn again once that task is cancelled

  Scenario: Of two long-running tasks that are due, the one runs first that has not run for longer
    Given a box of 64 cores, full, and a task of 40 cores that has not run for 9 seconds, and one for 6 that waits as long
    When room for one of them frees
    Then the one that has not run for 9 seconds starts

  Scenario: A long-running task whose start is withdrawn is due as before
    Given three boxes of 64 cores, one of them reserved for short tasks, the others with two long-running tasks each
    When one of these two boxes is lost until its lease has ended, and the next starts are withdrawn
    Then 0.2 seconds later its tasks run again

  Scenario: The log doesn't count tasks that leave room
    Given a box of 64 cores with 40 cores left, and two long-running tasks of 30 cores that wait as they start only together
    When short tasks of 5 cores start there for 3 seconds
    Then the log says of no task that it took room
