Feature: Scenarios of several files run at a time, and none is lost in the report
  Scenario Outline: The report of a run in which <what>
    Given feature files of which <what>
    When they are run two at a time
    Then the exit code is <code>, and the report has <passed> passed and <failed> failed scenarios
    And CI <verdict> that run

    Examples:
      | what                          | code | passed | failed | verdict |
      | all pass                      | 0    | 4      | 0      | passes  |
      | one has a scenario that fails | 1    | 3      | 1      | fails   |
      | one can't be read             | 1    | 2      | 0      | fails   |
      | one ends the process          | 1    | 2      | 0      | fails   |
