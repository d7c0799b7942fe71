Feature: The loss of a box counts against a task by what else may explain it
  Two or three losses prove a crash loop while nothing else is lost, and none does in a wave.

  Scenario: A job is not given up for the first box that is lost under it
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost 0.1 seconds after a start, as number 1 and as number 2
    Then the first of these weighs 0 decibans, and the second at least 20

  Scenario: A job is not given up for losses that boxes share
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost 0.1 seconds after a start, alone and with 3 others
    Then the first of these weighs at least 20 decibans, and the second at most 3

  Scenario: A loss counts in full though boxes were lost together with others long before it
    Given 12 boxes that have been observed for 15 seconds
    When 4 boxes are lost together 30 seconds before a box is lost 0.1 seconds after a start
    Then this weighs as much as with no other loss

  Scenario: A job is not given up as single boxes are lost all the time
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost 0.1 seconds after a start, alone and as one of 15 in 15 seconds
    Then the second of these weighs at least 10 decibans less

  Scenario: A job is not given up as its boxes are lost some time after its starts
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost 0.05 and 1.5 seconds after a start
    Then the second of these weighs at least 10 decibans less

  Scenario Outline: A job is not given up for starts that may not have arrived
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost 0.05 seconds after a start without an answer, as number <number>
    Then this weighs <decibans> decibans, and less than with an answer

    Examples:
      | number | decibans |
      | 2      | 15       |
      | 3      | 20       |

  Scenario: A job is not given up for a box that crashes again and again by itself
    Given 12 boxes that have been observed for 15 seconds
    When 4 boxes are lost before, at the address of the task's box and elsewhere
    Then the first of these weighs at least 5 decibans less

  Scenario: A job is not given up for a box on which another suspect has started
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost under a task and one with evidence of 0 and of 30 decibans
    Then the first weighs at least 5 decibans less than alone, and the second nothing

  Scenario: The crashes of one task do not hide those of another
    Given 12 boxes that have been observed for 15 seconds
    When 15 boxes are lost in 15 seconds on which suspects were tried
    Then a loss weighs as much as without these

  Scenario: A job is not given up as its box is cut off beyond the lease and answers again
    Given a shard of 3 boxes among models
    When the box of a suspected task is cut off for 8 seconds
    Then its loss is not counted, and the task is suspected as before

  Scenario: A task does not stay suspected as its box is cut off for long and answers again
    Given a shard of 3 boxes among models
    When the box of a suspected task is cut off for 20 seconds
    Then no loss counts, and the task is suspected as before

  Scenario: The first box that is lost under a task proves nothing though another was cut off
    Given a shard of 6 boxes among models
    When a box of a task is cut off for 9 seconds, and the next one is lost 0.05 seconds after the start
    Then the task is suspected of one loss, without evidence

  Scenario: A loss is not weighed while the box may still run the task
    Given a shard of 3 boxes among models
    When the box of a suspected task is cut off for 5 seconds
    Then no loss is weighed in that time

  Scenario Outline: A long-running task does not keep the evidence of boxes that were lost long ago
    When a run of a task with 3 losses and evidence of 30 decibans has lasted for <seconds> seconds
    Then <losses> losses and evidence of <decibans> decibans remain

    Examples:
      | seconds | losses | decibans |
      | 1.0     | 3      | 30       |
      | 2.5     | 2      | 20       |
      | 61.0    | 0      | 0        |

  Scenario: A task is not given up later as leaders change before its losses are weighed
    Given a shard of 3 boxes among models
    When the box of a suspected task is lost, and its leader before it is weighed
    Then one successor weighs it, and evidence and losses stay as leaders change again

  Scenario: A successor weighs a loss as its predecessor would have
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost under two tasks while others are, and a successor restores that
    Then the successor weighs it as its predecessor does, and once

  Scenario: A successor does not blame one of many tasks on a box more than its predecessor does
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost under 16 tasks, and a successor restores that
    Then it weighs the loss for each of them as its predecessor does

  Scenario: A successor does not take boxes that were lost at one moment for others
    A steady clock may have begun after a box last answered.
    Given 12 boxes that have been observed for 15 seconds
    When a box is lost that last answered 5 seconds before, and two successors restore that
    Then it may have been lost at any moment of the 5 seconds

  Scenario: A successor does not weigh a loss that its predecessor has counted
    Given 12 boxes that have been observed for 15 seconds
    When a loss is weighed, and a successor restores what was written after that
    Then nothing is left for the successor to weigh

  Scenario: What was written long ago tells nothing of the boxes that are lost now
    Given 12 boxes that have been observed for 15 seconds
    When 5 boxes are lost, and a successor restores that 11 seconds later
    Then the successor knows of no loss

  Scenario: A successor does not forget losses under a task, or evidence against it
    When a task with 4 losses and evidence of 40 decibans is written
    Then a successor restores 4 losses and evidence of 40 decibans

  Scenario: A successor of an older version keeps the suspicion, and does not give up at once
    When a task with 4 losses and evidence of 40 decibans is written
    Then rows of 8 and of 11 fields read it, with at most 5 points

  Scenario Outline: The points of an older version count as losses without evidence
    When an older version has written a row of <fields> fields with 4 points
    Then 2 losses and no evidence are restored

    Examples:
      | fields |
      | 8      |
      | 11     |

  Scenario: A record of losses that can't be read does not keep a successor from leading
    When an older version has written a row of 8 fields with 4 points, and losses can't be read
    Then 2 losses and no evidence are restored, and "n/" is reported as unreadable

  Scenario: The losses of many boxes with long names fit into a record
    Given 12 boxes that have been observed for 15 seconds
    When 500 boxes with names of 128 characters are lost under 100 tasks each
    Then the record of the losses is within the limit of the store

  Scenario: A suspect is not tried while other boxes are lost, and not kept waiting after that
    Given a shard of 12 boxes among models
    When a task under which three boxes were lost waits while a box is lost every 0.5 seconds for 6 seconds
    Then it has not started, and starts 2 to 3.2 seconds after the last loss

  Scenario: A suspect does not wait for ever for boxes that are lost without end
    Given a shard of 12 boxes among models
    When a task under which three boxes were lost waits while a box is lost every 0.5 seconds for 24 seconds
    Then it has started, 20 seconds after the first loss at the latest

  Scenario: Suspects that are tried at the same moment do not hide which of them crashes boxes
    Given a shard of 6 boxes among models
    When 4 tasks under which three boxes were lost are submitted together
    Then they start at least 0.2 seconds apart, and within 2 seconds

  Scenario: A suspect of more losses keeps its box for itself though others have theirs
    Given a shard of 2 boxes among models
    When a task under which one box was lost starts, and 0.1 seconds later one under which three were
    Then the box of the latter takes no other task for 0.4 seconds, as others are submitted

  Scenario: A task that has run for a while is not suspected beside one under which boxes were lost
    When a box is lost on which a suspect, a task that started 1.5 seconds before and one that has just started run
    Then the suspect and the task that has just started are suspected

  Scenario Outline: A gang does not crash boxes without end
    If its members on a box explain the loss to each other, nothing proves it.
    Given a shard of <boxes> boxes among models
    When a gang of <count> tasks is submitted, of which <culprits> crash their boxes
    Then its job is shown as failed, and no task has crashed more than 5 boxes

    Examples:
      | boxes | count | culprits |
      | 3     | 2     | 2        |
      | 10    | 3     | 1        |
      | 10    | 3     | 3        |

  Scenario: A job is not given up for boxes that were only out of reach
    Without an entry and a lease they count as lost, until they answer again.
    Given a shard of 12 boxes among models
    When a long-running job's box is cut off 4 times in a row 0.2 seconds after the start, until its lease is over and its entry gone
    Then the job runs, without evidence against it

  # Guards against sound jobs that are shown as failed: no loss under them counted as chance.
  Scenario Outline: A job is not given up as its boxes crash in turn and none is without it
    Given shards of 8 boxes among models, one of them with a label
    When <what> is submitted, and its boxes crash one at a time, 20 times
    Then its job is not shown as failed, and is <state>

    Examples:
      | what                                          | state     |
      | a gang on all boxes                           | completed |
      | a long-running task that only one box can run | running   |

  Scenario Outline: What crashes the only boxes that it can run on is given up as well
    Given shards of 8 boxes among models, one of them with a label
    When <what> is submitted that crashes a box with each start
    Then its job is shown as failed, and it has crashed at most 5 boxes

    Examples:
      | what                                          |
      | a gang on all boxes                           |
      | a long-running task that only one box can run |

  # Guards against a long-running task that is kept waiting for the losses of earlier waves.
  Scenario: A long-running task runs again soon in calm though its boxes were lost in waves
    Given shards of 24 boxes among models, of which 3 have a label
    When a long-running task that needs the label is submitted, and these boxes crash together 4 times
    Then in calm it is idle for less than 3 seconds of the time that counts
