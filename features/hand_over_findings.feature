Feature: A hand-over neither hides an earlier leader nor begins a wait anew

  Scenario Outline: An earlier owner that still renews leases is not forgotten with the one after it
    On the older path. The first owner renews for 600 s more on a box that only it reaches.
    Given a hall of 3 processes and 3 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner is cut from the log and from its peers
    And a box with work can't be reached by the others
    And its successor <ends>
    Then no task starts a second time within 20 seconds

    Examples:
      | ends                          |
      | releases the shard in order   |
      | is killed and started again   |

  Scenario Outline: A process that is stopped while it takes over leaves the proof of its predecessor
    Given a leader that has resigned, and a process that takes over
    When that process is stopped while it <does>, and another one takes over
    Then nobody leads after the stop, and the next leader knows that the last one has resigned

    Examples:
      | does                               |
      | claims its epoch                   |
      | reads its predecessor's records    |

  Scenario Outline: A leader can resign while its clients go on
    Given a store that takes <append_ms> ms for an append, and 2 boxes
    When clients submit <rate> jobs a second, and the leader resigns
    Then the store knows it within 1.3 seconds

    Examples:
      | append_ms | rate |
      | 12        | 1000 |
      | 100       | 60   |

  Scenario: A killed leader that starts again and leads knows that its predecessor has ended
    Given 1 real processes and 2 boxes
    When the leader is killed and started again at once, and leads
    Then it no longer waits for leases that its earlier incarnation may renew

  Scenario: Hand-overs do not prolong the wait for a box whose first poll has no outcome yet
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, and leaders hand over 4 times, each 0.6 s after it took over and before its first poll of the box has failed
    Then it runs on another box within 4.9 seconds of when its box became silent

  Scenario: An ended job is forgotten in time, also while leaders hand over
    Given a shard that keeps ended jobs for 6 s
    When a job ends, and leaders hand over every 4 s for 20 s
    Then the job is forgotten

  Scenario: A long-running task that waits is reported, also while leaders hand over
    Given a shard of 2 boxes among models
    When a long-running task waits for room, and leaders hand over every 2 s for 10 s
    Then the wait counts from when it began

  Scenario: Older versions are told of no box whose leases an earlier leader may renew for longer than they assume
    They take a record to mean that no lease of the box runs for longer than one that is granted now.
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches a majority of the witnesses
    When a long-running task runs on a box that only a leader without the store reaches, and its successor resigns
    Then no record of that box is in the store

  Scenario: Older versions are told of a box that only an earlier leader reaches, if witnesses limit its leases
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches no majority of the witnesses
    When a long-running task runs on a box that only a leader without the store reaches, and its successor resigns
    Then a record says that its leases end within 3.4 s

  Scenario Outline: The end of a process that led before the last leader proves nothing about the last one
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs on a box that only the last leader reaches, without the store, and an earlier leader's process ends
    Then no task ever ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |

  Scenario: Quick hand-overs do not prolong the wait for a lost box that is no longer listed
    Each is sooner than a record is written again by itself.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, and no longer listed, the leader is killed, and successors hand over 12 times, each after 0.3 s
    Then it runs on another box within 7.2 seconds of when its box became silent

  Scenario: A record about leases counts for nothing beside records that are missing
    A leader that wrote the missing ones may have renewed the lease since.
    Given a store in which a box has no lease left, beside records that are missing
    When a process takes over there
    Then it waits for a whole lease of that box

  Scenario: Killed leaders that follow each other do not prolong the wait for a lost box that is no longer listed
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, and no longer listed, and 4 leaders are killed, each a second after it took over
    Then it runs on another box within 6.9 seconds of when its box became silent

  Scenario: The end of a predecessor's process does not shorten a lease that this leader renews
    A record about an earlier silence of the box has been removed meanwhile.
    Given a shard of 6 boxes among models
    When a long-running task's box is silent, the leader is killed, the box answers the successor, and the leader's process is known to have ended
    Then the lease that the successor renewed counts as before

  Scenario: A successor among real processes learns that the leader has resigned
    Given 3 real processes and 2 boxes
    When the leader is stopped in order
    Then its successor counts on its resignation

  Scenario: A task that has run for long is not blamed for boxes that are lost soon after hand-overs
    Given a shard of 6 boxes among models
    When a long-running task has run for 100 s, and 3 times the leader hands over, the task's box crashes 0.3 s later, and the task runs for another minute
    Then its job has not failed

  Scenario Outline: A leader waits for the longer leases that a leader of an older version granted
    Given a shard whose boxes grant 10 s, and a leader that grants as much
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs, a leader that grants 6 s takes over, and <what>
    Then no task ever ran on two boxes

    Examples:
      | what                                                           | share       |
      | the box is cut off once it has answered that one               | a majority  |
      | the box is reached only by the older one, without the store    | a majority  |
      | the box is reached only by the older one, without the store    | no majority |

  Scenario Outline: A hand-over does not hide a leader that renews leases of a box that is no longer listed
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs on an unlisted box that only a leader without the store reaches, and its successor hands over at once
    Then no task ever ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |
