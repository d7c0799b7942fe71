Feature: Processor time of the boxes is attributed to uses and obstacles
  An operator sees whether best-effort work could have run on what was unused, and what
  prevented it. The parts add up to the whole.

  Scenario Outline: Unused processor time has the obstacle that prevents a start
    Given a box of 16 cores with 4 cores of short work, and a waiting best-effort task
    When <what>
    Then 4.0 cores count as short and <cores> as <use>, of 16

    Examples:
      | what                                              | cores | use                 |
      | nothing prevents a start                          | 1.8   | startable           |
      | the task is gone                                  | 12.0  | no_demand           |
      | the box has too little memory for it              | 1.8   | memory              |
      | it needs a label that the box lacks               | 1.8   | not_allowed         |
      | the box drains                                    | 12.0  | closed              |
      | no start can be sent to its hall                  | 1.8   | commands            |
      | it needs more than is unused                      | 12.0  | too_little_cpu      |

  Scenario Outline: Processor time kept for serving tasks says so
    Given a box of 16 cores whose serving task tolerates no more, and waiting work
    When <what>
    Then 1.8 cores count as <use>, and the parts add up to 16

    Examples:
      | what                                     | use                 |
      | their interference was never observed    | sensitivity_unknown |
      | their interference was observed          | target              |
      | the serving task exceeds its target      | over_target         |

  Scenario: What slowed tasks leave unused counts as slowed
    Given a box of 16 cores with a best-effort task of 1.8 cores at 50 percent
    Then 0.9 cores count as best_effort and 0.9 as slowed, of 16

  Scenario: Whatever runs and waits, the parts add up to the whole
    When boxes, tasks, paces and measurements are drawn 300 times
    Then each time the account adds up to the cores of all boxes

  Scenario: Of many boxes a part is examined at a time, and stands for all
    Given 700 boxes of 16 cores, every second one with 4 cores of short work
    Then each of 5 updates attributes 11200 cores, 1400 of them to short work
    And no update examines more than 300 boxes

  Scenario: The log lines of several leaders are summed up by explain room
    Given log lines of two leaders with 100 and 50 core-seconds of startable room
    When an operator calls explain room
    Then it shows 150 core-seconds of unused startable room, 75 percent of all

  Scenario: Without the account nothing is logged
    Given the mechanism room_account is switched off
    Then 10 seconds of decisions log no room
