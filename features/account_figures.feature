Feature: No figure that client accounts send ends a leader
  An error within a decision ends the process. Its successor restores the same jobs, and ends
  as well.

  Scenario: A filling task without cpu runs beside others that press on what serves
    Given a box with a serving task, and a filling task without cpu
    When a filling task that uses half of the box joins them, and the serving task slows down
    Then the filling task that uses the box is slowed down, and those without cpu are not

  Scenario Outline: <what> that is nested 20000 deep is refused like any that is malformed
    When <what> has an unknown field that is nested 20000 deep
    Then it is refused as malformed

    Examples:
      | what                             |
      | a client's job                   |
      | the operator's configuration     |
      | the operator's directive         |
      | a box's answer to a poll         |
      | a box's entry                    |
      | the store's answer to an append  |
      | the store's page                 |

  Scenario Outline: Decisions go on with jobs of <figures>
    Given 3 boxes, and a serving task on all but one
    When 40 jobs of <figures> come one after the other, and tails rise and fall
    Then each was accepted, and a successor restores all of them

    Examples:
      | figures                    |
      | no cpu at all              |
      | the smallest figures       |
      | the largest figures        |
      | figures drawn at random    |
