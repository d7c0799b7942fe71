Feature: A box that starts again under its id is another box
  A third of the boxes crashed and started again within a second, under the ids and at the
  addresses that they had. Work that they did from then on was stopped, though it had ended as
  done and the end was noted, and was done again on other boxes. Other work stood still, with
  most of the room free, for as long as anybody looked.

  An id was taken for a life. A box that starts again numbers its ends from 1, and those up to
  the number that had been known were passed over. The log had two lines for each such box, and
  neither box_over nor run_lost for any of the 67 tasks on eight of them:

    box_silent   reason "connection lost: None", tasks 5
    box_answers  silent_s 0.71

  Ends were listed again and again, 1,781 until then and 39,571 seventy seconds later, and jobs
  were "being stopped" for 8 to 35 s in steps of one. These scenarios settled it: 2, 2 and 24
  starts after a noted end, and none once a life was named by its id and when it was born.

  Then a job still stood still for 5.9 s in one row: the look that was meant for the life before,
  and named its ends as known, had reached the next one, which forgot its own.

  Scenario Outline: What a box has done since it started again is done once
    Given 1 process and 2 boxes, which take a number of known ends for "<told>"
    And each box has ended at least 10 runs
    When box 0 starts again under its id within 0.2 seconds
    And a job of 3 steps of 4 tasks of 0.1 seconds is handed in
    Then no task is started again after it was done and that was noted

    Examples:
      | told            |
      | those it has    |
      | later ones too  |
      | its own numbers |

  Scenario Outline: Work goes on while there is room
    Given 1 process and 2 boxes, which take a number of known ends for "<told>"
    And each box has ended at least 10 runs
    When box 0 starts again under its id within 0.2 seconds
    And a job of 3 steps of 4 tasks of 0.1 seconds is handed in
    Then it is completed, and never had nothing running for 3 seconds

    Examples:
      | told            |
      | those it has    |
      | later ones too  |
      | its own numbers |

  Scenario Outline: A call that is meant for the life before does nothing to the next one
    Given a box alone that has ended run 1 of a task, and started again under its id
    And the next life runs run 1 of another task, and has ended run 1 of a third
    When a <call> that was meant for the life before comes
    Then it is answered as by another life, and the next one is as it was

    Examples:
      | call  |
      | start |
      | stop  |
      | pace  |
      | look  |

  Scenario Outline: Who answers is told by when it was born, and by nothing else
    Nobody is taken for another life on an answer that doesn't tell: what the one that was
    meant runs would be started elsewhere. Boxes that don't say have a new id for each life.
    Given a box that was listed as born <listed>, and answers as born <answers>
    When a first look, a start and a look that confirms ends each come as first to it
    Then all are <come to>, and the start has <reached> it

    Examples:
      | listed | answers | come to                  | reached     |
      | 5      | 5       | carried out              | reached     |
      | 5      | 6       | answered by another life | not reached |
      | 5      | nothing | not answered             | not reached |
      | 5      | "5"     | not answered             | not reached |
      | 5      | 5.5     | not answered             | not reached |
      | nothing | 6      | carried out              | reached     |
      | nothing | nothing | carried out             | reached     |

  Scenario: Who answers is asked once for each connection, and not by what has no effect
    Given a box that was listed as born 5, and answers as born 5
    When a first look, three starts and a look that confirms ends are sent one after the other
    Then one connection was opened, on which nothing but these was asked
    And after it was closed a start asks once more

  Scenario: An answer of another life on an open connection is believed, and nothing more is sent there
    Given a box that was listed as born 5, and answers as born 5
    When it has taken a start, answers as born 6, and a look and a start come
    Then the look is answered by another life, and so is the start, over a new connection

  Scenario Outline: A box that was born <born> is <taken>
    When a box's entry says that it was born <born>
    Then the entry is <taken>

    Examples:
      | born    | taken                                |
      | 17      | of the life b@17 of box b            |
      | nothing | of the life b of box b               |
      | 17.0    | refused, naming b                    |
      | "17"    | refused, naming b                    |
      | true    | refused, naming b                    |
      | -1      | refused, naming b                    |

  Scenario: A successor takes back at once what its predecessor placed on an earlier life
    Waiting until no lease of a predecessor's can run took as long as for a box that is gone.
    Given a decider that placed a task on the life b@1 of box b, alone in its list
    When box b starts again as b@2, another decides, and b@2 answers its first look
    Then at once the task is started on b@2, as run 2

  Scenario: A life that only an older list shows takes nothing from the one that answers
    Given a decider that placed a task on the life b@2 of box b, alone in its list
    When another decides, whose list shows b@1 still, and another life answers there
    Then the task waits
    When b@2 is listed, answers, and runs it
    Then the task runs on b@2, as run 1

  Scenario Outline: Records that name a box by its id are about the life that is listed
    A version before lives had names wrote them; its work was to go on.
    Given a decider that placed a task on the life b of box b, alone in its list
    When another decides, whose list shows b@2, and that one <shows> at its first look
    Then the task <goes on> on b@2, as run <run>

    Examples:
      | shows                 | goes on    | run |
      | runs it               | runs       | 1   |
      | lists nothing         | is started | 2   |

  Scenario: The next life of a box ends the one before, wherever it is listed
    Given a decider that placed a task on the life b@1 of box b, alone in its list
    When the list shows b@2 in its place, at another address
    Then the life b@1 is over, and its task waits

  Scenario: Advice is asked for by ids, and its tickets are those of lives
    Given an advice service that names box b with the ticket "t", and box x
    When it is asked about the lives b@1 and c@2
    Then it was asked about b and c, and the life b@1 alone has a ticket, "t"

  Scenario Outline: Random work and faults on boxes that start again under their ids, seed <seed>
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
