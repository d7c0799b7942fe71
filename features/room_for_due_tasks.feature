Feature: Long-running tasks that are due find room

  Scenario: The log says which task took the room that a long-running task waits for
    Given a box of 64 cores, full, and two long-running tasks of 40 cores that wait for 5 seconds
    When room for one of them frees
    Then 2.5 seconds later the log says of the other that its room was taken, and by which task
