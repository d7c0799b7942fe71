Feature: Tasks that crash the boxes that start them are given up
  A box that crashes reports no failed runs, so its tasks wait again as after any other loss.
  Unless crashes are counted against tasks, a task that crashes its box within 10 ms of its
  start is started again without end: two such tasks were started 27 times each within 115 s.
  Each crash also ended 4 to 15 tasks that had not caused it. Besides job_taken the log then
  holds only lines such as these for the task:

    run_lost run 1, state running, answered, seen_s 0.0, silent_after_s 0.1
    run_lost run 2, state running, answered, seen_s 0.0, silent_after_s 0.1

  Scenario Outline: A task that crashes every box that starts it is given up
    Given a shard of 6 boxes among models, with jobs of several accounts
    When a task that crashes its box is submitted, and <what> for 60 seconds
    Then the task has crashed at most 5 boxes, and its job is shown as failed
    And every other job completes or still runs, and none counts as failed

    Examples:
      | what                                       |
      | one process leads throughout               |
      | the leader dies after each crash           |
      | its starts are never answered              |
      | all lose power after each crash            |

  Scenario Outline: A long-running task that crashes boxes is given up though a leader saw it run
    That a run was listed as running does not clear it for a successor, only that it lasted.
    Given a shard of 6 boxes among models, with jobs of several accounts
    When a long-running task is submitted that crashes its box <delay> seconds after its start, and <what>
    Then the task has crashed at most 5 boxes, and its job is shown as failed

    Examples:
      | delay | what                            |
      | 0.3   | one process leads throughout    |
      | 0.3   | the leader dies after each crash |
      | 1.5   | one process leads throughout    |
      | 1.5   | the leader dies after each crash |

  Scenario Outline: A task is given up though no leader that starts it lives to see the crash
    The leader is killed after its order and before it learns of the crash, so only
    successors can count it, from the orders in the store.
    Given a shard of 6 boxes among models, with jobs of several accounts
    When a task that crashes its box is submitted, and each leader that gave its start is killed, <known>, with a successor <gap> seconds later
    Then the task has crashed at most 5 boxes, and its job is shown as failed
    And every other job completes or still runs, and none counts as failed

    Examples:
      | known                      | gap |
      | once the start is answered | 0.1 |
      | once the start is answered | 0.5 |
      | once the start is answered | 2.0 |
      | without an answer          | 0.1 |
      | without an answer          | 0.5 |
      | without an answer          | 2.0 |

  Scenario: Tasks that crash boxes and start together are both given up in time
    If a crash counts only against the most suspected task, the other one is started a sixth
    time if there is only one box.
    Given a shard of 1 boxes among models
    When two tasks that crash their boxes start together, and so do their next runs
    Then each has crashed at most 5 boxes, and both jobs are shown as failed

  Scenario: Tasks that are lost with a box start again at once, suspected or not
    If each of many suspects isolates a box for half a second, no box is left for the others:
    a long-running task waited 2.5 s for a box while most of the room was free.
    Given a shard of 12 boxes among models
    When a box crashes on which 16 tasks of 16 long-running jobs have just started
    Then all of them run again within 0.3 seconds of its end, and few boxes are closed

  Scenario Outline: A task that ran for long is not suspected as its box is lost after a take-over
    A successor that counts the age of runs from its take-over suspects all tasks of the
    box: all 17 that were lost with two boxes around hand-overs.
    Given a shard of 12 boxes among models
    When a long-running job has run for 20 seconds, a successor takes over, and after <gap> seconds a box of the job crashes
    Then none of its tasks is suspected

    Examples:
      | gap |
      | 0.0 |
      | 0.2 |
      | 1.0 |
      | 3.0 |

  Scenario: A long-running task that a predecessor has observed is not suspected as its box is lost
    A successor that knows only when the run began suspects it for 5 s, and a job whose boxes
    are lost around changes of leader collected points with each.
    Given a shard of 12 boxes among models
    When a long-running job has run for 3 seconds, a successor takes over, and after 0.0 seconds a box of the job crashes
    Then none of its tasks is suspected

  Scenario Outline: A long-running job is not given up as its boxes are lost around changes of leader
    When a series of changes of leader runs from seed <seed>
    Then no promise was broken

    Examples:
      | seed  |
      | 10675 |
      | 82624 |

  Scenario: A long-running job is not given up as each of its boxes is lost soon after the start
    Nothing tells its four losses, 0.15 to 1.5 s after a start, from crashes by its task.
    When a series of changes of leader runs from seed 81046
    Then no promise was broken

  Scenario: A long-running job is not given up as its boxes are lost one after the other
    When a series of changes of leader runs from seed 84501
    Then no promise was broken

  Scenario: A task whose start was never sent is not blamed for the box
    Given a shard of 1 boxes among models
    When a job has just started, another's start is held back as the store is away, and the box crashes
    Then the first is suspected, and the other is not

  Scenario: A job whose starts never left is not given up as boxes and leaders are lost in turn
    A connection that is refused proves that the start did not arrive. Only the leader that
    tried it knew, so its successor counted each such loss: 2 points, four times.
    Given a shard of 1 boxes among models
    When 5 times in a row the box refuses the start of a job, and its leader and then the box are lost
    Then its job is completed

  Scenario: A job is not given up for one crash after starts that may not have arrived
    Two crashes give up a task that had provably just started at both. Points alone do not
    tell such a crash from a start to a box that was cut off, which has arrived nowhere.
    Given a shard of 3 boxes among models
    When a job's starts reach no box twice, as its box is lost, and its third box is lost just after the start
    Then its job is completed

  Scenario: A job is not given up as its box is lost some time after the start, the second time
    The loss of a box that listed the run as running is no crash by its start, as of a box
    that is cut off and then replaced.
    Given a shard of 3 boxes among models
    When a job's box is lost 0.05 seconds after its start, and the next one 0.35 seconds after
    Then its job is completed

  Scenario: Successors know of the evidence against a task
    Two lost boxes of three prove nothing; five in a row do, whoever has seen them.
    Given a shard of 3 boxes among models
    When a job's boxes are lost 0.05 seconds after its starts, and the leader is replaced after each
    Then its job counts as failed after at most 5 of them, and not before the third

  Scenario: Tasks under which boxes were lost are tried apart from tasks that crash theirs
    One of the two boxes took other tasks beside a suspect, and a crash of theirs gave it up.
    Given a shard of 2 boxes among models
    When 2 jobs under which three boxes were lost are submitted just before one that crashes its box
    Then both jobs are completed

  Scenario: A suspected task does not start beside another that has just started
    Given a shard of 1 boxes among models
    When a job under which three boxes were lost is submitted just after another task has started
    Then its task starts no sooner than 0.4 seconds later

  Scenario: A suspected task does not wait for ever on a busy shard to be tried apart
    Given a shard of 1 boxes among models
    When a job under which three boxes were lost waits while others start on the only box 10 times a second
    Then it starts within 2.5 seconds, and its box takes no other task for 0.4 seconds

  Scenario: The log names each run that was lost with its box, and its age
    Given a shard of 3 boxes among models
    When a long-running job runs, a task that crashes its box starts beside it, and the crash is detected
    Then a log line for each run on that box holds its number, its state and its age

  Scenario: An incarnation that has ended is not adopted again while it is listed
    Where another incarnation answers at its address, the ended one was registered, polled and
    ended anew every 0.4 s until its entry went, up to four times, each time with a new
    connection.
    Given a shard of 3 boxes among models
    When a box crashes, another incarnation answers at its address, and its entry stays for 3 seconds
    Then its end is recorded once, and the new incarnation gets work

  Scenario Outline: Random work and faults beside tasks that crash their boxes, seed <seed>
    Each seed breaks a promise without one of the rules.
    35, 78: a command that provably was never sent does not count against its task.
    115: nor does one that another incarnation of the box answered.
    107, 231, 353, 2713: if two tasks that crash boxes start together on the only box, the
    crashes do not all count against the same task.
    2798: a crash is not taken for a planned end when the box's entry goes first.
    When random work and faults run on a shard from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 35   |
      | 78   |
      | 107  |
      | 115  |
      | 231  |
      | 353  |
      | 2713 |
      | 2798 |

  Scenario: A job that did nothing wrong is not given up as boxes are lost one after the other
    A task that runs for 2 s on each of several boxes that are lost or cut off must not collect
    points like one that crashes them.
    When random work and faults run on a shard from seed 2009
    Then no promise was broken

  Scenario: A job that did nothing wrong is not given up as boxes and deciders are lost in turn
    Three boxes are lost just after the job's three starts. Two leaders count the second
    loss, and only one count is stored: the job is given up with 3, 2 and 3 points.
    When random work and faults run on a shard from seed 949
    Then no promise was broken

  Scenario: A job that did nothing wrong is not given up as its third box is lost under it alone
    Two boxes are lost before it is known whether the job's start has reached them, and the
    third one, for an unrelated cause, 0.1 s after the next start.
    When random work and faults run on a shard from seed 2278
    Then no promise was broken

  Scenario Outline: A job is not given up as its box is cut off after the start, seed <seed>
    The box then crashes before it answers again, so that the run seems to have crashed it.
    When random work and faults run on a shard from seed <seed>
    Then no promise was broken

    Examples:
      | seed  |
      | 20381 |
      | 40191 |

  Scenario: A job is not given up as its boxes are lost under other tasks that start with it
    Three of its starts get no answer and one does, each beside tasks that crash the box.
    When random work and faults run on a shard from seed 21152
    Then no promise was broken

  Scenario: A job is not given up for a single crash after two starts to boxes that are cut off
    When random work and faults run on a shard from seed 13700
    Then no promise was broken

  Scenario: A job that did nothing wrong is not given up though one of its runs lasted
    Three of its starts get no answer as boxes are lost; a run that lasted for 1.7 s when its
    box was lost counts as much as each of them.
    When random work and faults run on a shard whose boxes restart from seed 50651
    Then no promise was broken

  Scenario: A job that did nothing wrong is not given up as boxes restart
    When random work and faults run on a shard whose boxes restart from seed 940059
    Then no promise was broken

  Scenario: A job that did nothing wrong is not given up as boxes are lost in waves
    A third to a half of the boxes crash together, again and again. Two waves, each just
    after a start of a task, would otherwise give its job up, as no other task has just
    started on its box:

      run_lost run 1, answered, suspicion 3, silent_after_s 0.294
      run_lost run 2, answered, suspicion 6, silent_after_s 0.239
      job_failed suspicion 6

    Given a shard of 12 boxes among models
    When a task starts, and its box and 3 others crash 0.1 seconds later, 3 times in a row
    Then its job is completed

  Scenario: A task that crashes its boxes is given up among boxes that are lost for other causes
    Given a shard of 12 boxes among models
    When a task that crashes its box is submitted, and another box is lost every second
    Then the task has crashed at most 5 boxes, and its job is shown as failed

  Scenario: No other task is given up beside tasks that crash their boxes
    If each crash counts equally against all tasks on the box, one in a hundred others is given
    up.
    When 4 busy shards of 12 boxes run 6 tasks each that crash every box that starts them
    Then each of these is given up after at most 5 crashes, and no other job is
