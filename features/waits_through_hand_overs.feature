Feature: Waits go on through hand-overs
  A successor starts with another steady clock. A wait that it counts from its own
  take-over begins anew with each hand-over, and never ends if these follow each other
  fast enough.

  Scenario Outline: Records of ended jobs are not kept for ever amid hand-overs
    Given a shard of 2 boxes among models that keeps ended jobs for 20 s
    When a job completes, and the leader <leaves> every <gap> s for 60 s
    Then the job was known for at least 20 s after its end
    And the store holds no record of it

    Examples:
      | leaves     | gap |
      | hands over | 5   |
      | hands over | 8   |
      | is killed  | 5   |

  Scenario: An older version reads the record of an ended job, which has a time since
    Given a shard of 2 boxes among models that keeps ended jobs for 20 s
    When a job completes, and the leader hands over every 5 s for 5 s
    Then a version that knows no times of ends reads the same state and queue

  Scenario Outline: An ended job whose record has <what> is kept for the whole time
    Given a shard of 2 boxes among models that keeps ended jobs for 20 s
    When a successor finds the record of an ended job with <what>, after 40 s of others
    Then it knows the job for 20 to 24 s

    Examples:
      | what                             |
      | no time, as by an older version  |
      | a time later than the shard time |

  Scenario: A job that waits is not in time anew with each hand-over
    With no estimate it is due after 1 s, and too late to be of use after 3 s. Each
    hand-over may leave out 1 s.
    Given a shard of 1 boxes among models
    When a job waits for room for 12 s, and the leader hands over every 3 s
    Then the leader counts it as too late
    And once there is room its end is logged as at least 9 s after it was accepted

  Scenario: An older version reads the record of a job, which has a time since
    Given a shard of 1 boxes among models
    When a job waits for room for 12 s, and the leader hands over every 3 s
    Then a version that knows no times of acceptance reads the same job
    And a job that such a version accepted is as old as the take-over

  Scenario Outline: A task that runs for long is not suspected of crashing its box after <changes>
    Given a shard of 3 boxes among models
    When a long-running task runs for 10 s, the leader <leaves> every <gap> s, and then its box crashes
    Then the task has no points of suspicion

    Examples:
      | changes             | leaves     | gap |
      | hand-overs          | hands over | 3   |
      | leaders were killed | is killed  | 3   |

  Scenario: Suspicion ends after a minute of running, whoever leads
    Given a shard of 3 boxes among models
    When a suspected long-running task runs for 120 s, the leader hands over every 5 s, and then the run fails
    Then the task has no points of suspicion

  Scenario: A checkpointing task that can end on a box that leaves is not moved after a hand-over
    With 10 s to run and 8 s to the end of its box, it stays there after its first 4 s.
    Given a shard of 3 boxes among models
    When a checkpointing task of 10 s runs for 4 s, the leader hands over, and the box is to leave in 8 s
    Then the task runs on where it is

  Scenario: The log says how long a task has waited in all
    A report names waits above 3 s, and no leader here leads for longer.
    Given a shard of 1 boxes among models
    When a long-running task fails and waits for room, and the leader hands over every 2.5 s for 15 s
    Then a leader has logged that it waited for over 7 s
    And a version that knows no times reads the same state of the task

  Scenario: A job that runs through a hand-over in time is not logged as late
    With an estimate of 5 s it is due after 8.5 s, and takes less than 7 s.
    Given a shard of 1 boxes among models
    When a job of 5 s runs, and the leader hands over after 2 s
    Then its end is logged as 4 to 7 s after it was accepted, and as in time

  Scenario: A successor that reads the configuration after the jobs keeps their priority and objective
    When a successor restores a waiting job of a queue of priority 0 and an objective of 60 s, and then reads the configuration
    Then the job waits with the priority 0, and is due 60 s after it was accepted

  Scenario: The timeline of a job tells how long a task was without a run in all, and who led
    It waits for the lease of its lost box, then for room, and the leader changes meanwhile.
    Given a shard of 2 boxes among models
    When a long-running task loses its box, the leader hands over, and there is room 14 s after the loss and two more hand-overs
    Then the job's timeline tells the time from the silence of its box to its next run, and 4 leaders
