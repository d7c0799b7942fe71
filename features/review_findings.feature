Feature: What is not proved is not taken for whole, newest or one's own
  A new decider proves the records that it reads by a count of keys and by its own first
  record. The proof is passed over in some orders of events: the readings that failed are
  counted as readings in which records were missing; a reading without the count is taken
  for one that an older version left. A box lists 500 ends at a time, and a run whose end is
  not among these is taken for one that never began. A start that waited for its right leaves however long
  ago that was confirmed. Two more concern what waits: a process whose epoch is over, or whom
  the store answers no more, goes on reading, and reports itself as the decider meanwhile;
  starts that wait for the right keep the turns of other orders, and with a store that takes
  0.9 s for an append 16 of 120 began within 5 s (all within 3 s without that wait).

  Scenario Outline: No task is started again after <readings>
    Given 3 boxes, and a store that answers the first readings of a successor with <readings>
    When a decider does 2 jobs of 8 tasks one after the other, is killed, and another takes over
    Then each task ran once, and the successor knows each job as completed

    Examples:
      | readings                              |
      | 11 refusals, then 1 without tasks     |
      | 15 without tasks                      |
      | 3 without tasks and without the mark  |

  Scenario: A reading that has all keys, and of some tasks an older record
    Given 3 boxes, and a store that answers the first readings of a successor with 3 with tasks as they were at first
    When a decider has done the first 8 tasks of a job and begun the last, is killed, and another takes over
    Then each of the first 8 tasks ran once

  Scenario: A successor whose epoch is over while it reads ends its try soon
    Given a store that counts only appends with records, and 3 boxes
    When a process raises an epoch, and another raises a newer one before the first has read
    Then the first process ends its try within 1 second

  Scenario: A successor that the store answers no more leaves deciding to others
    Given a store that is silent to a process from when it raised an epoch, and 3 boxes
    When that process begins to decide
    Then it ends its try within 5 seconds

  Scenario: A box that has more ends to list than one answer holds
    Given a box that lists 500 ends at a time
    When a decider starts 520 short tasks there and is killed, and another takes over
    Then each of the 520 tasks ran once, by the box's own record

  Scenario: The entry of a box's earlier life outlives that of its present one
    Given a box whose earlier life ended, and whose present life runs a task
    When the list of boxes shows the earlier life alone
    Then the present life is not taken for ended

  Scenario: A start that waits to be confirmed anew while its process stands still
    Given a decider, and a box that takes 0.3 seconds to answer each start
    When 4 of its 8 starts wait to be confirmed anew, it stands still for 2 seconds as the answer to that is on the way, and another takes over meanwhile
    Then no order of it reaches the box after that, and it has stepped down

  Scenario: A pace leaves at once while starts wait for the right to decide
    Given a store that takes 1 second for an append and then is away, and 1 boxes
    When 8 starts for a box wait as others follow a newer epoch, and a task there is to be slowed down
    Then the order reaches the box within 0.5 seconds

  Scenario: Starts go on while the store is slow
    Given a store that takes 0.9 seconds for each append, and 3 boxes
    When a job of 120 tasks is handed in
    Then all of them have begun within 5 seconds
