Feature: A restarted box counts as another incarnation, even under the same id
  A box that crashes may restart within a second, under the same id and at the same address,
  and number its ends from 1 again. If the id alone identifies it, the leader skips its new ends
  up to the last acknowledged number. It then stops tasks that have ended as done, and starts
  them again on other boxes; the box lists the same ends again and again, and jobs stall for
  8 to 35 s while most of the boxes' room is free. The log has only box_silent and
  box_answers for such a box, and neither box_over nor run_lost. An incarnation is therefore
  identified by the box's id and the time when it was born.

  Calls need the same care: if a poll for the earlier incarnation reaches the next one, and
  acknowledges ends, the next one drops its own ends.
  Then a job that waits for these ends stalls, for 5.9 s in one case.

  Scenario Outline: Tasks that end on a restarted box are not started again
    Given 1 process and 2 boxes, which apply an acknowledged number to "<told>"
    And each box has ended at least 10 runs
    When box 0 restarts under its id within 0.2 seconds
    And a job of 3 steps of 4 tasks of 0.1 seconds is submitted
    Then no task is started again after its end as done was acknowledged

    Examples:
      | told            |
      | those it has    |
      | later ones too  |
      | its own numbers |

  Scenario Outline: A job does not stall while boxes have room
    Given 1 process and 2 boxes, which apply an acknowledged number to "<told>"
    And each box has ended at least 10 runs
    When box 0 restarts under its id within 0.2 seconds
    And a job of 3 steps of 4 tasks of 0.1 seconds is submitted
    Then it completes, and never waits with no task running for 3 seconds

    Examples:
      | told            |
      | those it has    |
      | later ones too  |
      | its own numbers |

  Scenario Outline: A call for an earlier incarnation has no effect on the next one
    Given a single box that has ended run 1 of a task, and restarted under its id
    And its next incarnation runs run 1 of another task, and has ended run 1 of a third
    When a <call> for the earlier incarnation arrives
    Then it is answered as by another incarnation, and the next one is unchanged

    Examples:
      | call  |
      | start |
      | stop  |
      | pace  |
      | poll  |

  Scenario Outline: Only the time of birth identifies the incarnation that answers
    An answer without a valid time of birth doesn't prove that the box was replaced: otherwise
    the tasks that its incarnation still runs would be started elsewhere. Boxes that report no
    time of birth have a new id for each incarnation.
    Given a box that was listed as born <listed>, and answers as born <answers>
    When a first poll, a start and a poll that acknowledges ends each open a connection to it
    Then all are <outcome>, and the start has <reached> it

    Examples:
      | listed  | answers | outcome                         | reached     |
      | 5       | 5       | carried out                     | reached     |
      | 5       | 6       | answered by another incarnation | not reached |
      | 5       | nothing | not answered                    | not reached |
      | 5       | "5"     | not answered                    | not reached |
      | 5       | 5.5     | not answered                    | not reached |
      | nothing | 6       | carried out                     | reached     |
      | nothing | nothing | carried out                     | reached     |

  Scenario: An identity request is sent once for each connection, and not before a first poll
    Given a box that was listed as born 5, and answers as born 5
    When a first poll, three starts and a poll that acknowledges ends are sent in sequence
    Then one connection was opened, and only these requests were sent over it
    And after it was closed a start is preceded by another identity request

  Scenario: An answer by another incarnation over an open connection closes the connection
    Given a box that was listed as born 5, and answers as born 5
    When it has accepted a start, then answers as born 6, and a poll and a start arrive
    Then the poll is answered by another incarnation, and so is the start, over a new connection

  Scenario Outline: A box's entry with born <born> is <result>
    When a box's entry has born <born>
    Then the entry is <result>

    Examples:
      | born    | result                           |
      | 17      | of the incarnation b@17 of box b |
      | nothing | of the incarnation b of box b    |
      | 17.0    | rejected, naming b               |
      | "17"    | rejected, naming b               |
      | true    | rejected, naming b               |
      | -1      | rejected, naming b               |

  Scenario: A successor requeues at once the tasks that its predecessor placed on an earlier incarnation
    Otherwise they wait until no lease of the predecessor can be valid, as long as for a
    lost box.
    Given a leader that placed a task on the incarnation b@1 of box b, alone in its list
    When box b starts again as b@2, a successor takes over, and b@2 answers its first poll
    Then at once the task is started on b@2, as run 2

  Scenario: An incarnation that only an outdated list shows takes no tasks from the one that answers
    Given a leader that placed a task on the incarnation b@2 of box b, alone in its list
    When a successor takes over, whose list still shows b@1, and another incarnation answers
    Then the task waits
    When b@2 is listed, answers, and runs it
    Then the task runs on b@2, as run 1

  Scenario Outline: Records that name a box by its id are about the incarnation that is listed
    Versions that didn't distinguish incarnations wrote such records, and their tasks continue.
    Given a leader that placed a task on the incarnation b of box b, alone in its list
    When a successor takes over, whose list shows b@2, which <shows> at its first poll
    Then the task <goes on> on b@2, as run <run>

    Examples:
      | shows                 | goes on    | run |
      | runs it               | runs       | 1   |
      | lists nothing         | is started | 2   |

  Scenario: The next incarnation of a box ends the earlier one, even at another address
    Given a leader that placed a task on the incarnation b@1 of box b, alone in its list
    When the list shows b@2 in its place, at another address
    Then the incarnation b@1 has ended, and its task waits

  Scenario: Advice is requested for box ids, and its tickets are for incarnations
    Given an advice service that names box b with the ticket "t", and box x
    When it is asked about the incarnations b@1 and c@2
    Then it was asked about b and c, and only the incarnation b@1 has a ticket, "t"

  Scenario Outline: Random work and faults on boxes that restart under their ids, seed <seed>
    When boxes crash often and keep their ids on a shard from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
