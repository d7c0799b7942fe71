Feature: What one decider may do, among boxes that crash, are cut off and answer late
  The real reducer of a shard in virtual time; what really ran is judged at the boxes.

  Scenario: Any order of work and faults keeps the promises
    Then 60 random runs of a shard keep one place, one success, order, attempts and every job

  Scenario: A start that was held back is withdrawn when its box fell silent
    Given a shard of 2 boxes among models
    When the store is away, a job is handed in, and its box is cut off until its lease is over
    And the box is back, and then the store
    Then no task ever ran on two boxes, and the job completes

  Scenario: A start that was held back is withdrawn when its job was cancelled
    Given a shard of 2 boxes among models
    When the store is away, a job is handed in and cancelled, and the store is back
    Then nothing of the job ever ran

  Scenario: A successor adopts what runs and starts nothing twice
    Given a shard of 2 boxes among models
    When a job runs and a successor takes over at once
    Then each task ran once, and the job completes

  Scenario: An old decider that wakes up gives no order that is followed
    Given a shard of 2 boxes among models
    When a decider freezes, a successor starts a job, and the old one wakes up
    Then the old one has stepped down, and each task ran once

  Scenario: A task that fails each time ends its job after its attempts
    Given a shard of 2 boxes among models
    When every run fails and a job is handed in
    Then its task ran 3 times and the job has failed

  Scenario: A cancelled job stops, also on a box that does not answer at first
    Given a shard of 1 boxes among models
    When a job is cancelled while its box is cut off for a second
    Then nothing of it runs two seconds later, and it is cancelled

  Scenario: A step under advice runs only where it may, with its ticket
    Given a shard of 3 boxes among models
    When a job of a queue under advice is handed in, and one box is named as good
    Then both of its tasks were started there, each with the ticket

  Scenario: A gang is placed whole or not at all, under one run number
    Given a shard of 1 boxes among models
    When a gang of five that needs more room than there is is handed in, then a box comes
    Then all five started together, with one run number

  Scenario: An end that was seen while the store was away is not lost with the decider
    Given a shard of 1 boxes among models
    When a task ends while the store is away, and then the decider is killed
    Then its successor learns of the end from the box, and the task ran once

  Scenario: A start without an answer is stopped before the task starts elsewhere
    Given a shard of 2 boxes among models
    When the order to start a task gets no answer and is carried out seconds later
    Then no task ever ran on two boxes, and the job completes

  Scenario: A task on a box that is cut off starts elsewhere only when its lease is over
    Given a shard of 2 boxes among models
    When a long task runs and its box is cut off for two seconds, within its lease
    Then no task ever ran on two boxes, and the job completes
    And the long task ran once

  Scenario: A failed run that is listed again to a successor counts once
    Given a shard of 1 boxes among models
    When a run fails, its end is written, and the decider is killed before it confirms it
    Then the successor counts one failure, and the job completes

  Scenario: A box that leaves the list without a word gets nothing new and loses nothing
    Given a shard of 2 boxes among models
    When a job runs on both and the entry of one goes, though it serves on
    Then the job completes, and what comes later runs on the other box
    And once its entry is back, it gets work again

  Scenario: Of jobs that fill, the one with the least left goes on first
    Given a shard of 1 boxes among models
    When a job that fills is half done and a shorter one waits for the same room
    Then the first job is completed before the other begins

  Scenario: A job that fills is not starved where it would disturb
    Given a shard of 2 boxes among models
    When a job that fills comes and no box bears it
    Then one of its tasks runs within 2 seconds, and only one

  Scenario: A successor moves long tasks off a box that is leaving already
    Given a shard of 2 boxes among models
    When a long job runs, its box begins to leave and a successor takes over
    Then its run there is stopped, and another begins on the other box

  Scenario: A task that waits again and turns out to be done leaves the pass unharmed
    Given a decider with a box, and two tasks of a job, one of which waits again
    When the end of its last run is listed after all, as done
    Then the next pass starts nothing, and the job completes with the other task

  Scenario: A stop that is answered while a look waits is not given again for ever
    Given a task whose start got no answer, alone on its box
    When each look waits 1.5 seconds for an end, and each stop is answered at once
    Then the task starts again within 4 seconds

  Scenario: A successor counts the leases of a box from its own first look there
    From then on the box refuses its predecessor, so that no lease of that one can begin
    later. Counted from the take-over and what a predecessor may go on for, lasting work
    was away for 13.4 s with leases of 6 s, as its box went dark after a take-over.
    Given a shard of 6 boxes among models
    When a lasting task runs, a successor takes over, and the box goes dark for good
    Then it runs on another box within 4.9 seconds, as if nobody had taken over

  Scenario Outline: A box that fell silent before a change of decider holds its tasks for one lease
    Its leases were counted from the take-over and what a predecessor may go on for, 8 s
    more on real boxes: lasting work was away for 20 s, though nobody had renewed them.
    Given a shard of 6 boxes among models
    When a lasting task runs, its box goes dark for good, <listed>, and a successor takes over
    Then it runs on another box within 6.2 seconds of when it went dark

    Examples:
      | listed                |
      | still listed          |
      | and is listed no more |

  Scenario Outline: What was written of the leases of a box goes with the box, or as it answers
    Given a shard of 6 boxes among models
    When a lasting task runs, its box goes dark for good, and is listed no more, and a successor takes over
    And <what happens>
    Then 10 seconds later nothing is written of its leases

    Examples:
      | what happens              |
      | nothing else happens      |
      | the box is back after all |

  Scenario: A box that answers again is leased only once a successor would know
    Given a shard of 6 boxes among models
    When a lasting task runs, and its box is cut off and back while the store is away
    And a successor takes over that does not reach the box, and the older one still does
    Then no task ever ran on two boxes

  Scenario Outline: Whoever goes on without the store, promises are kept, seed <seed>
    When random work and faults run on a shard whose deciders are parted from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: No start takes a box over its room, seed <seed>
    246, 281, 726: the room shrank while the store was away and starts were held back; they
    were sent all the same.
    When random work and faults run on a shard whose boxes shrink and grow from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 246  |
      | 281  |
      | 726  |
      | 3    |

  Scenario Outline: Whatever was suspended, promises are kept, seed <seed>
    Decisions are fenced, so that one who wakes up and believes that no time has passed
    does no harm: 0 of 600 seeds broke a promise.
    When random work and faults run on a shard whose deciders are suspended from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A lasting task whose box is lost together with the decider runs elsewhere soon
    A successor waits for what its predecessor may still have renewed: 8 s, and a lease of 6 s.
    Given a shard of 3 boxes among models
    When a lasting task runs, and its box and the decider are lost at once, where leases last 6 s
    Then it runs on another box within 6 seconds of when it went dark
