Feature: A box that starts again under its id is another box
  A third of the boxes crashed and started again within a second, under the ids and at the
  addresses that they had. Work that they did from then on was stopped, though it had ended as
  done and the end was noted, and was done again on other boxes. Other work stood still, with
  most of the room free, for as long as anybody looked.

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
