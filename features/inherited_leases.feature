Feature: A leader waits for leases of its predecessors no longer than it can prove they run

  Scenario Outline: A statement about leases does not count once another leader may have followed
    Given a leader that has stated that it has resigned
    When <since>, and a successor reads the records
    Then it <takes> the statement

    Examples:
      | since                                    | takes         |
      | nothing else was written                 | relies on     |
      | another process has claimed an epoch     | does not take |
      | a leader of an older version has written | does not take |

  Scenario: An older version reads the digest beside a statement about leases
    Given a leader that has stated that it has resigned
    Then a digest of two numbers is read from its records

  Scenario: A leader that has resigned gives no lease
    Given a shard of 2 boxes among models
    When a long-running task runs, and the leader resigns
    Then its polls renew no lease, and a start that waits is not sent

  Scenario Outline: Hand-overs do not prolong the wait after a leader that was killed
    A successor waits for the time for which the killed leader may renew leases, 2 s, and
    for a lease of 3 s. The leaders after it do not wait again.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, <listed>, the leader is killed, and successors hand over <count> times
    Then it runs on another box within 7.2 seconds of when its box became silent

    Examples:
      | listed               | count |
      | still listed         | 0     |
      | still listed         | 5     |
      | and no longer listed | 5     |

  Scenario Outline: A leader hands down no wait for boxes that it has reached
    Given a shard of 6 boxes among models
    When a long-running task runs, the leader is killed, and its box is lost just as the successor hands over to one that <fate>
    Then it runs on another box within <bound> seconds of when its box became silent

    Examples:
      | fate                 | bound |
      | goes on              | 4.9   |
      | is killed 0.3 s later | 5.4   |

  Scenario Outline: A hand-over does not hide a leader that is cut off and renews leases
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs on a box that only a leader without the store reaches, and its successor hands over at once
    Then no task ever ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |

  Scenario: Killed leaders that follow each other do not prolong the wait for a silent box
    Each costs no more than the half second after which its record is written again.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, still listed, and 4 leaders are killed, each a second after it took over
    Then it runs on another box within 6.9 seconds of when its box became silent

  Scenario: A successor learns from the store that its predecessor has resigned
    Given a store that counts only appends with records, and 2 boxes
    When a leader runs a job, resigns, and another process takes over
    Then the predecessor has renewed no lease since, and its successor goes on with its wait

  Scenario Outline: Only a process that has started after a leader proves that the leader's has ended
    Given a process that <is known> as the leader of epoch 7
    When a report arrives of <what>
    Then the leader's process <counts>

    Examples:
      | is known                     | what                                               | counts          |
      | has reported                 | its next incarnation at its address                | counts as ended |
      | has reported                 | the process itself                                 | may still run   |
      | has reported                 | an earlier incarnation whose report arrives late   | may still run   |
      | has reported                 | another incarnation of its name at another address | may still run   |
      | has reported                 | another process                                    | may still run   |
      | is registered                | its next incarnation at its address                | counts as ended |
      | is registered                | another incarnation of its name at another address | may still run   |
      | an older version registered  | its next incarnation at its address                | may still run   |

  Scenario Outline: The wait for a killed leader ends one lease after its process has ended
    With leases of 3 s; a leader that may be alive would renew them for 2 s more.
    Given a shard of 6 boxes among models
    When a long-running task runs, its box is lost, <listed>, the leader is killed, and its process is known to have ended 1 s later
    Then it runs on another box within 4.9 seconds of when its box became silent

    Examples:
      | listed               |
      | still listed         |
      | and no longer listed |

  Scenario Outline: The end of one leader's process does not hide an earlier leader that renews leases
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches <share> of the witnesses
    When a long-running task runs on a box that only a leader without the store reaches, and the process of its successor ends
    Then no task ever ran on two boxes

    Examples:
      | share       |
      | a majority  |
      | no majority |

  Scenario: A successor among real processes learns that a killed leader has ended
    Given 3 real processes and 2 boxes
    When the leader is killed and started again
    Then its successor no longer waits for leases that it may renew

  Scenario Outline: A leader that has resigned asks a process that can take over
    Given processes that <can> take over
    When a leader that has resigned asks one of them
    Then <whom> is asked within <bound> s

    Examples:
      | can                                             | whom       | bound |
      | are ready to                                    | the first  | 0.1   |
      | are ready to, of which one can't be reached, to | the second | 0.1   |
      | can be reached 0.2 s later, to                  | the first  | 0.35  |
      | stop, but for one that is ready 0.2 s later, to | the second | 0.35  |
      | are not ready to                                | the first  | 0.6   |
      | are ready 0.6 s before they can be reached, to  | the first  | 0.75  |
      | can never be reached, to                        | nobody     | 1.4   |

  Scenario: A job that can't be read keeps the wait for all boxes
    Its tasks may run on any box, whose other tasks say nothing about that.
    Given a shard of 3 boxes among models
    When the progress of a job can't be read by a leader, which has reached all boxes and resigns
    Then its successor waits for as long as the leaders before it may have left

  Scenario Outline: A mark names the boxes where leases of earlier leaders run, unless that is long
    It is written with every append. A box that is not named is not waited for longer than the
    leases of the leader itself last.
    Given a leader that has stated that leases of 5 s may run on <boxes> boxes, with names of <bytes> bytes
    When nothing else was written, and a successor reads the records
    Then it reads <names>, and a bound of 5 s
    And a version that knows no names reads the same bound

    Examples:
      | boxes | bytes | names        |
      | 0     | 12    | 0 names      |
      | 1     | 12    | 1 names      |
      | 8     | 64    | 8 names      |
      | 9     | 12    | nothing of them |
      | 1     | 65    | nothing of them |

  Scenario: A lost box is not waited for as long as another that only a former leader reaches
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches a majority of the witnesses
    When one long-running task runs on a box that only a leader without the store reaches, another's box is lost, and the successor hands over at once
    Then the task of the lost box runs again within 4.9 seconds, and the other one no sooner than its leases end

  Scenario: Neither is a box that only a former leader reaches, if the successor reaches a majority of the witnesses
    Given a shard of 6 boxes among models
    And the leader that is cut off from the store reaches no majority of the witnesses
    When one long-running task runs on a box that only a leader without the store reaches, another's box is lost, and the successor hands over at once
    Then both tasks run again within 4.9 seconds
