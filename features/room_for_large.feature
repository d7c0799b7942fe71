Feature: Large tasks get room though smaller ones take each piece that frees
  20 boxes of 32 cores, 12 of them held by long-running tasks. Short tasks of 4 cores and
  0.5 to 1.5 s keep all others busy, and more of them wait all the time.

  Scenario: A large long-running task starts though each piece that frees is wanted
    Given short tasks that want more room than there is
    When a long-running task of 20 cores is submitted
    Then it starts within 5 seconds
    And the other boxes are as busy as before

  Scenario: Without reservations it waits for as long as short tasks do
    Given short tasks that want more room than there is, without reservations
    When a long-running task of 20 cores is submitted
    Then it does not start within 15 seconds

  Scenario: Eight steps of large tasks are served one or two at a time
    Given short tasks that want more room than there is
    When 8 long-running tasks of 20 cores are submitted
    Then all of them start within 20 seconds
    And never is more than 1 box reserved

  Scenario: A large short task gets its room though others like it, not late yet, go before
    Given short tasks that want more room than there is
    When a short task of 20 cores is submitted, and then one like it every half second
    Then it starts within 6 seconds

  Scenario: The room that a long-running task waits for may be on a box kept for short ones
    Given short tasks that want more room than there is
    When a long-running task of 20 cores is submitted, and all boxes are kept for short ones
    Then it starts within 5 seconds

  Scenario: Short tasks run on a reserved box if they end before the room is expected
    Given a box with a reservation for 16 cores in 3 seconds, and 8 cores free
    Then a short task of 4 cores may start there if it takes 2 seconds, not if it takes 4
    And a long-running task of 4 cores may not start there
    And a best-effort task that takes 4 seconds may start there, but for lack of memory

  Scenario: What leaves the reserved room free may start
    Given a box with a reservation for 16 cores in 3 seconds, and 24 cores free
    Then a short task of 4 cores may start there if it takes 2 seconds, and if it takes 4
    And a long-running task of 4 cores may start there

  Scenario: A step that waits for another reason than room reserves nothing
    Given a box with a reservation for 16 cores in 3 seconds, and 8 cores free
    When another step that waits has room on a box, but may not use it
    Then no box is reserved

  Scenario: The reservation is given back as the step waits no more
    Given a box with a reservation for 16 cores in 3 seconds, and 8 cores free
    When the job that waits for it is cancelled
    Then no box is reserved

  Scenario: The reservation moves as its box is lost
    Given a box with a reservation for 16 cores in 3 seconds, and 8 cores free
    When that box falls silent
    Then another box is reserved

  Scenario: The reservation moves as the room does not appear
    Given a box with a reservation for 16 cores in 3 seconds, and 8 cores free
    When 6 seconds pass, and the tasks there go on
    Then another box is reserved

  Scenario: A successor reserves again at once
    Given short tasks that want more room than there is
    When a long-running task of 20 cores has waited for 1.9 seconds as its leader is killed
    Then it starts within 2 seconds under the successor

  Scenario: An operator finds why others waited
    Given short tasks that want more room than there is
    When a long-running task of 20 cores is submitted
    Then the log tells that a box was reserved for it, since when it waited, and that it started
