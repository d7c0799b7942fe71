Feature: A leader verifies that its reads are complete and newest, and its lease confirmed
  A new leader checks that a read of the store is complete by the state digest's count of
  keys, and that it is newest by its own epoch claim. The scenarios guard against these faults:

  Failed reads are counted as reads in which records were missing, and a read without the
  digest is taken for one that an older version wrote. Either way the check is skipped.
  A box lists 500 ends at a time, and a run whose end is not among these is taken for one
  that never started.
  A start that waited for the leader lease is sent however long ago the lease was confirmed.
  A process whose epoch is superseded, or that gets no answer from the store, goes on reading,
  and reports itself as the leader meanwhile.
  Starts that wait for the leader lease hold the slots of other commands. With a store that
  takes 0.9 s for an append, 16 of 120 tasks then start within 5 s; without that wait all
  start within 3 s.

  Scenario Outline: No task is started again after <reads>
    Given 3 boxes, and a store that answers the first reads of a successor with <reads>
    When a leader runs 2 jobs of 8 tasks one after the other, is killed, and another takes over
    Then each task ran once, and the successor knows each job as completed

    Examples:
      | reads                                 |
      | 11 refusals, then 1 without tasks     |
      | 15 without tasks                      |
      | 3 without tasks and without the digest  |

  Scenario: A read with all keys that holds an outdated record of some tasks is not accepted
    Given 3 boxes, and a store that answers the first reads of a successor with 3 with tasks as they were at first
    When a leader has completed the first 8 tasks of a job and started the last, is killed, and another takes over
    Then each of the first 8 tasks ran once

  Scenario: A successor whose epoch is superseded while it reads ends its attempt soon
    Given a store that counts only appends with records, and 3 boxes
    When a process claims an epoch, and another claims a newer one before the first has read
    Then the first process ends its attempt within 1 second

  Scenario: A successor that gets no answer from the store leaves the leadership to others
    Given a store that does not answer a process from when it claimed an epoch, and 3 boxes
    When that process starts to lead
    Then it ends its attempt within 5 seconds

  Scenario: Tasks are not started again if a box has more ends than one answer lists
    Given a box that lists 500 ends at a time
    When a leader starts 520 short tasks there and is killed, and another takes over
    Then each of the 520 tasks ran once, by the box's own record

  Scenario: An incarnation does not end when only the entry of an earlier one is listed
    Given a box whose earlier incarnation ended, and whose present one runs a task
    When the list of boxes shows only the earlier incarnation
    Then the present incarnation does not count as ended

  Scenario: A start that waits for a new confirmation is not sent by a deposed leader that stalled
    Given a leader, and a box that takes 0.3 seconds to answer each start
    When 4 of its 8 starts wait for a new confirmation, it stalls for 2 seconds while the answer to that is in flight, and another takes over meanwhile
    Then no command of it reaches the box after that, and it has stepped down

  Scenario: A pace command is sent at once while starts wait for the leader lease
    Given a store that takes 1 second for an append and then becomes unavailable, and 1 boxes
    When 8 starts for a box wait because others follow a newer epoch, and a task there is to be slowed down
    Then the command reaches the box within 0.5 seconds

  Scenario: Starts are not delayed by a slow store
    Given a store that takes 0.9 seconds for each append, and 3 boxes
    When a job of 120 tasks is submitted
    Then all of them have started within 5 seconds
