Feature: The scheduler keeps its promises as boxes crash, are cut off and answer late
  The real scheduler of a shard runs in virtual time; the runs are checked at the boxes.

  Scenario: The promises hold for any sequence of work and faults
    Then 60 random runs of a shard keep one place and one success for each task, the order of steps, the attempts and every job

  Scenario: A delayed start is withdrawn when its box becomes silent
    Given a shard of 2 boxes among models
    When the store is unavailable, a job is submitted, and its box is cut off until its lease has expired
    And the box is back, and then the store
    Then no task ever ran on two boxes, and the job completes

  Scenario: A delayed start is withdrawn when its job is cancelled
    Given a shard of 2 boxes among models
    When the store is unavailable, a job is submitted and cancelled, and the store is back
    Then no task of the job ever ran

  Scenario: A successor adopts the running tasks and starts none twice
    Given a shard of 2 boxes among models
    When a job runs and a successor takes over at once
    Then each task ran once, and the job completes

  Scenario: Commands of a deposed leader that resumes are rejected
    Given a shard of 2 boxes among models
    When the leader is suspended, a successor starts a job, and the old leader resumes
    Then the old leader has stepped down, and each task ran once

  Scenario: A job fails when one of its tasks has used up its attempts
    Given a shard of 2 boxes among models
    When a job is submitted and all its runs fail
    Then its task ran 3 times and the job has failed

  Scenario: A cancelled job is stopped, even on a box that does not answer at first
    Given a shard of 1 boxes among models
    When a job is cancelled while its box is cut off for a second
    Then nothing of it runs two seconds later, and it is cancelled

  Scenario: A step under advice runs only on the named boxes, with their tickets
    Given a shard of 3 boxes among models
    When a job of a queue under advice is submitted, and the advisor names one box
    Then both of its tasks are started there, each with the ticket

  Scenario: A gang is placed as a whole or not at all, with one run number
    Given a shard of 1 boxes among models
    When a gang of five is submitted for which there is no room, and then a box is added
    Then all five started together, with one run number

  Scenario: An end that is listed while the store is unavailable survives its leader
    Given a shard of 1 boxes among models
    When a task ends while the store is unavailable, and then the leader is killed
    Then its successor learns of the end from the box, and the task ran once

  Scenario: A start without an answer is stopped before the task starts elsewhere
    Given a shard of 2 boxes among models
    When the start of a task gets no answer and is carried out seconds later
    Then no task ever ran on two boxes, and the job completes

  Scenario: A task of an unreachable box starts elsewhere only after its lease
    Given a shard of 2 boxes among models
    When a long task runs and its box is cut off for two seconds, within its lease
    Then no task ever ran on two boxes, and the job completes
    And the long task ran once

  Scenario: A failed run that is listed to a successor again counts once
    Given a shard of 1 boxes among models
    When a run fails, its end is written, and the leader is killed before acknowledging it
    Then the successor counts one failure, and the job completes

  Scenario: A box that is no longer listed gets no new tasks and loses none
    Given a shard of 2 boxes among models
    When a job runs on both and the entry of one is removed, though it keeps answering
    Then the job completes, and later jobs run on the other box
    And once its entry is back, it gets tasks again

  Scenario: The best-effort job with the least work left runs first
    Given a shard of 1 boxes among models
    When a best-effort job is half done and a shorter one waits for the same room
    Then the first job is completed before the other starts

  Scenario: A best-effort job is not starved by serving tasks
    Given a shard of 2 boxes among models
    When a best-effort job is submitted and no box tolerates it
    Then one of its tasks runs within 2 seconds, and only one

  Scenario: A successor moves long tasks off a box that is already draining
    Given a shard of 2 boxes among models
    When a long job runs, its box starts to drain and a successor takes over
    Then its run there is stopped, and another starts on the other box

  Scenario: A requeued task that turns out to be done does not break the pass
    Given a leader with a box, and two tasks of a job, one of which was requeued
    When the end of its last run is listed after all, as done
    Then the next pass starts nothing, and the job completes with the other task

  Scenario: A stop that is answered during a long poll is not repeated without end
    Given a task whose start got no answer, alone on its box
    When each poll waits 1.5 seconds for an end, and each stop is answered at once
    Then the task starts again within 4 seconds

  Scenario: A successor counts the leases of a box from its own first poll there
    From that poll on the box rejects renewals by the predecessor, so no lease granted by it
    can start later. If leases are counted from the take-over and the time for which a
    predecessor may renew them instead, a long-running task whose box is lost after a
    take-over runs nowhere for 13.4 s with leases of 6 s.
    Given a shard of 6 boxes among models
    When a long-running task runs, a successor takes over, and the box is cut off for good
    Then it runs on another box within 4.9 seconds, as without a take-over

  Scenario Outline: A box that was silent before a take-over holds its tasks for one lease
    If its leases are counted from the take-over and the time for which a predecessor may
    renew them, 8 s more on real boxes, a long-running task runs nowhere for 20 s, though
    no leader renewed its lease.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box becomes silent for good, <listed>, and a successor takes over
    Then it runs on another box within 6.2 seconds of when its box became silent

    Examples:
      | listed                  |
      | still listed            |
      | and is no longer listed |

  Scenario Outline: The record of a withdrawn lease is deleted once its box ends or answers
    Given a shard of 6 boxes among models
    When a long-running task runs, its box becomes silent for good, and is no longer listed, and a successor takes over
    And <what happens>
    Then 10 seconds later the store holds no record of its leases

    Examples:
      | what happens              |
      | nothing else happens      |
      | the box is reachable again |

  Scenario Outline: The leases of a box that answers again are renewed once a successor would know
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs, and its box is cut off and back while the store is down
    And a successor takes over that does not reach the box, and the old leader still does
    Then no task ever ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |

  Scenario Outline: Promises hold when leaders continue without the store, seed <seed>
    When random work and faults run on a shard whose leaders lose the store from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: No start exceeds the room of a box, seed <seed>
    With seeds 246, 281 and 726 the room shrinks while starts are delayed because the store
    is unavailable; the starts must then not be sent.
    When random work and faults run on a shard whose boxes shrink and grow from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 246  |
      | 281  |
      | 726  |
      | 3    |

  Scenario Outline: Promises hold when leaders are suspended, seed <seed>
    Commands are fenced by the epoch, so a leader that resumes and does not know that time
    has passed does no harm.
    When random work and faults run on a shard whose leaders are suspended from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A lasting task whose box is lost together with the decider runs elsewhere soon
    A successor waits for the leases of 6 s, which its predecessor may have renewed for 8 s
    more.
    Given a shard of 3 boxes among models
    When a long-running task runs, and its box and the leader are lost at once, where leases last 6 s
    Then it runs on another box within 6 seconds of when its box became silent

  Scenario: A lasting task whose box is lost together with the decider runs elsewhere within 6 s
    The durations of deployments throughout, also for the leader that is lost.
    Given a shard of 3 boxes among models, whose leases last 6 s
    When a long-running task runs, and its box and the leader are lost at once
    Then it runs on another box within 6 seconds of when its box became silent

  Scenario Outline: No work is lost while the store is away for <seconds> s
    A leader goes on renewing leases for 8 s, and the last ones last 6 s. Shorter ones would
    let a successor start sooner what ran on boxes that it does not reach.
    Given a shard of 3 boxes among models, whose leases last 6 s
    When a long-running task runs, and the store is away for <seconds> seconds
    Then the task has run without a break

    Examples:
      | seconds |
      | 6       |
      | 13      |

  Scenario Outline: A leader that is cut off from the store alone runs no task beside its successor
    It goes on renewing leases of boxes that the successor does not reach.
    Given a shard of 3 boxes among models, whose leases last 6 s
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs on a box that only a leader without the store reaches
    Then the task runs elsewhere, and never ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |

  Scenario Outline: Orderly hand-overs do not prolong the wait for the lease of a lost box
    With leases of 3 s the task runs again 4.9 s after the loss, as without a hand-over.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, <listed>, and the leader hands over <count> times, first after <first> s and then every <gap> s
    Then it runs on another box within 4.9 seconds of when its box became silent

    Examples:
      | count | first | gap | listed                 |
      | 1     | 0.3   | 0.1 | still listed           |
      | 1     | 0.3   | 0.1 | and no longer listed   |
      | 1     | 1.5   | 0.1 | still listed           |
      | 1     | 3.0   | 0.1 | and no longer listed   |
      | 3     | 0.3   | 1.0 | still listed           |
      | 3     | 0.3   | 1.0 | and no longer listed   |
      | 6     | 0.3   | 0.6 | still listed           |
      | 6     | 0.3   | 0.6 | and no longer listed   |

  Scenario Outline: Polls that never left do not prolong the wait for the lease of a lost box
    Given four boxes of 64 cores, with a long-running task on one of them
    When polls of its box fail for 1 s, <how>
    Then its last lease counts as one that was renewed <when>

    Examples:
      | how                                | when               |
      | for lack of a connection           | before the failure |
      | without an answer                  | after the failure  |
      | unsent, and a start to it was sent | after the failure  |
      | unsent, without a renewal          | before the failure |

  Scenario Outline: Long-running tasks do not stay on a box that leaves without saying so
    Given a shard of 6 boxes among models
    When a long-running task runs, and the entry of its box is <state>, though it keeps answering
    Then 4 seconds later the task runs on <where>

    Examples:
      | state                            | where       |
      | removed                          | another box |
      | removed and back after 2 seconds | the box     |
      | there, but can't be read         | the box     |

  Scenario Outline: Long leases do not keep the tasks of a lost box waiting
    A long-running task is due 6 s after its last run, and missed 3 s later.
    When boxes grant leases of up to <longest> s
    Then a task of a lost box runs again within <bound> s

    Examples:
      | longest | bound |
      | 4       | 9     |
      | 6       | 9     |
      | 10      | 9     |
      | 60      | 9     |

  Scenario: Tasks of a step do not all leave at once when the entries of their boxes are gone
    Given a shard of 4 boxes among models
    When a step of 4 long-running tasks runs on as many boxes, and all their entries but one are removed, though the boxes keep answering
    Then at least 3 of the tasks run at any time in the next 10 seconds, and all leave these boxes that have room elsewhere

  Scenario: A box without capacity gets no task while it shrinks and grows
    When random work and faults run on a shard whose boxes shrink and grow from seed 300235
    Then no promise was broken

  Scenario: A job ends though the boxes of its shard shrink and grow
    When random work and faults run on a shard whose boxes shrink and grow from seed 301296
    Then no promise was broken
