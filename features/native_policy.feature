Feature: How the decider shares room between kinds of work

  Scenario: Lasting work leaves boxes for short work
    Given four boxes of 64 cores, full of lasting work but for the room kept
    When a short job of 19 cores a task comes
    Then its tasks start at once
    And lasting tasks that wait start nowhere meanwhile

  Scenario: Room that short work does not need is not kept from lasting work
    Given four boxes of 64 cores, full of lasting work but for the room kept
    When nothing short comes for 1.5 seconds
    Then lasting tasks that wait start nowhere meanwhile
    When nothing short comes for 0.6 seconds
    Then lasting tasks that wait have taken all room

  Scenario: Room that short work takes for moments is not kept for ever
    Given four boxes of 64 cores, full of lasting work but for the room kept
    When short work takes the kept room for half a second after a second
    Then lasting tasks that wait have started within 0.8 seconds more

  Scenario: Without headroom short work waits behind what lasts
    Given four boxes of 64 cores and no headroom, full of lasting work
    When a short job of 19 cores a task comes
    Then its tasks wait

  Scenario: Serving tasks of one image share boxes
    Given two boxes of 64 cores
    When one task of image a, two of image b and one more of a come to serve
    Then each box serves one image

  Scenario: A box is not put aside for failures that are usual
    Given a box on which one run in 20 fails, by chance three of three jobs in a row
    Then it still takes work
    When every run there fails
    Then it is put aside after 2 more failures at most

  Scenario: The line at a job's end says where its time went
    Given a job of two steps that waited, failed once and was slowed
    Then its line sums to the time it took: 1 s for room, 2 s failed, 3 s run, 1 s slowed

  Scenario: The lines of a day are summed up by queue
    Given a log in which two jobs ended, one of them 2 s late after 3 s for room
    Then the command line sums it up: 2 jobs, 1 late, 1.5 s for room
    And a log in which no job ended is refused as not found

  Scenario: A mechanism that is not known is refused at the start
    Then switching off "pacing+moves" names two mechanisms
    And switching off "pacing+luck" is refused, naming luck and every known one

  Scenario Outline: How short the tail of an idle task is, is learnt from looks
    Given a serving image whose idle tail is <idle> of its target, never idler than a fifth
    Then after 16 seconds of looks it is known within 0.03, also beside what fills
    And no more is asked of its tasks than their target bears

    Examples:
      | idle |
      | 0.1  |
      | 0.17 |
      | 0.2  |
      | 0.3  |

  Scenario: What fails together on a box puts it aside once
    Given a box on which tasks of eight jobs run
    When all of them fail at once
    Then the box takes work again after 4 seconds

  Scenario Outline: Lasting work runs soon on a box that was put aside
    The pause doubles up to 16 s; a lasting task that had room nowhere else waited for its
    end, 24 s in all, on a box that had failed nothing for 11 s.
    Given a lasting task that has room only on a box where every run fails
    When the box fails what it starts for <seconds> seconds
    Then meanwhile it was tried there at most once every 2 seconds, and no short job was
    And the lasting task runs there for good within 4 seconds more

    Examples:
      | seconds |
      | 3       |
      | 5       |
      | 13      |
      | 30      |

  Scenario Outline: Why lasting work waits is told while it waits
    Given four boxes of 64 cores, where lasting work waits for <reason>
    When 5 seconds pass in which nothing frees room
    Then every 2 seconds from 3 on it is told that it waits for <cause>

    Examples:
      | reason                          | cause     |
      | processor time                  | cpu       |
      | memory                          | memory    |
      | boxes that fail what they start | put_aside |
      | evacuated data halls            | evacuated |
      | the lease of a silent box       | lease     |
      | a box that a predecessor used   | lease     |
      | operators' orders not known     | unreached |
