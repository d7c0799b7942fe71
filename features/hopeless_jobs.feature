Feature: Jobs that no box can run hold up no others
  Within a pass a leader remembers which tasks found no box, so as not to search for each of
  many equal ones. What it remembers must hold for the tasks that it is applied to.

  Scenario Outline: Ordinary jobs start beside jobs <hopeless>
    Given 2 boxes with room, and 30 jobs <hopeless>
    When a job of 4 tasks of the same size comes
    Then its tasks have started within 0.5 seconds, and none of the others

    Examples:
      | hopeless                                 |
      | that ask for a GPU that no box has       |
      | of a service whose box is full           |
      | that advice allows on a full box alone   |

  Scenario: Filling jobs start beside filling jobs whose data lies where all boxes are busy
    Given 2 boxes with room, and 30 jobs whose data lies on a rack of a box without unused time
    When a filling job of 4 tasks of the same size comes
    Then its tasks have started within 0.5 seconds, and none of the others
