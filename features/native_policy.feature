Feature: The scheduler divides capacity between serving, short and best-effort tasks

  Scenario: Long-running tasks leave headroom for short tasks
    Given four boxes of 64 cores, full of long-running tasks except for the headroom
    When a short job of 19 cores a task is submitted
    Then its tasks start at once
    And waiting long-running tasks start nowhere meanwhile

  Scenario: Headroom that short tasks do not need is given to long-running tasks
    Given four boxes of 64 cores, full of long-running tasks except for the headroom
    When no short job is submitted for 1.5 seconds
    Then waiting long-running tasks start nowhere meanwhile
    When no short job is submitted for 0.6 seconds
    Then waiting long-running tasks have taken all room

  Scenario: Headroom that short tasks use only briefly is not kept indefinitely
    Given four boxes of 64 cores, full of long-running tasks except for the headroom
    When short tasks use the headroom for half a second after a second
    Then waiting long-running tasks have started within 0.8 seconds more

  Scenario: Without headroom short tasks wait behind long-running tasks
    Given four boxes of 64 cores without headroom, full of long-running tasks
    When a short job of 19 cores a task is submitted
    Then its tasks wait

  Scenario: Serving tasks of one image share boxes
    Given two boxes of 64 cores
    When one serving task of image a, two of image b and one more of a are submitted
    Then each box serves one image

  Scenario: A box is not quarantined for the usual rate of failures
    Given a box on which one run in 20 fails, by chance three of three jobs in a row
    Then it still takes work
    When every run there fails
    Then it is quarantined after 2 more failures at most

  Scenario: The log line at a job's end breaks its duration down by phase
    Given a job of two steps that waited, failed once and was slowed
    Then its log line adds up to the time it took: 1 s for room, 2 s failed, 3 s run, 1 s slowed

  Scenario: The log lines of ended jobs are summarized by queue
    Given a log in which two jobs ended, one of them 2 s late after 3 s for room
    Then the command line summarizes it: 2 jobs, 1 late, 1.5 s for room
    And a log in which no job ended is refused as not found

  Scenario: An unknown mechanism is refused at the start
    Then switching off "pacing+moves" names two mechanisms
    And switching off "pacing+luck" is refused, naming luck and every known one

  Scenario Outline: The unloaded tail latency of an image is estimated from polls
    Given a serving image whose unloaded tail is <unloaded> of its target, busy a fifth at least
    Then after 16 seconds of polls the estimate is right within 0.03, also if slowed
    And the tolerable slowdown keeps its tasks within their target

    Examples:
      | unloaded |
      | 0.1      |
      | 0.17     |
      | 0.2      |
      | 0.3      |

  Scenario: Failures at the same time on a box quarantine it once
    Given a box on which tasks of eight jobs run
    When all of them fail at once
    Then the box takes work again after 4 seconds

  Scenario Outline: Long-running tasks run soon on a box that was quarantined
    Guards against a long-running task without room elsewhere waiting for the end of the
    quarantine, which doubles up to 16 s: it waited 24 s in all, for a box without a
    failure in the last 11 s.
    Given a long-running task that has room only on a box where every run fails
    When every run on the box fails for <seconds> seconds
    Then meanwhile it was started there at most once every 2 seconds, and no short job was
    And the long-running task starts there within 4 seconds more, and keeps running

    Examples:
      | seconds |
      | 3       |
      | 5       |
      | 13      |
      | 30      |

  Scenario: A long-running task that waits is reported though others of its step start
    Given a box of 64 cores, where three long-running tasks of 40 cores wait for room
    When a second box is added after 2 seconds
    Then 2.8 seconds later the log gives a wait of at least 3.9 seconds

  Scenario Outline: The log says why long-running tasks wait while they wait
    Given four boxes of 64 cores, where long-running tasks wait for <reason>
    When 5 seconds pass in which nothing frees room
    Then every 2 seconds from 3 on the log gives the cause of the wait as <cause>

    Examples:
      | reason                          | cause     |
      | processor time                  | cpu       |
      | memory                          | memory    |
      | quarantined boxes | put_aside |
      | evacuated data halls            | evacuated |
      | the lease of a silent box       | lease     |
      | a box that a predecessor used   | lease     |
      | operators' directives not read     | unreached |
