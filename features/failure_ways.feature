Feature: A job that is shown as failed says in which way, and on which evidence
  Jobs were shown as failed though none of their runs had ended failed, and the log of their
  leader did not tell for which of several reasons.

  Scenario Outline: The line of a failed job names the way, and the counter of that way has it
    Given a leader of a job <that fails>
    When the job is submitted, and is failed
    Then its line <event> names the way <way> and the epoch of the leader
    And the counter of that way, and of no other, has counted it

    Examples:
      | that fails                                 | event         | way             |
      | whose runs fail                            | job_failed    | attempts        |
      | whose task crashes the boxes that start it | job_failed    | crashed_boxes   |
      | at which leaders fail                      | job_set_aside | leader_failures |
      | of which the store refuses records         | job_failed    | refused_record  |

  Scenario: A job failed by its runs names them and the limits
    Given a leader of a job whose runs fail
    When the job is submitted, and is failed
    Then its line names the runs 1, 2 and 3, a limit of 3, and the 5 that it was accepted with
    And each of these runs has a line with its box and the number of failed runs so far

  Scenario: A job that is set aside names the epochs of the leaders that failed at it
    Given a leader of a job at which leaders fail
    When the job is submitted, and is failed
    Then its line names the epochs of the lines of the leaders that failed

  Scenario: Epochs of leaders that failed at other jobs are not among them
    Given leaders of the epochs 1 and 3 that failed at a job, and one of 2 at another
    When one of 4 holds it back and does not fail, and one of 5 serves it and fails at it
    Then the epochs 1, 3 and 5 are named for the first job, and the other is not set aside

  Scenario: A failed run that a box lists again has one line
    Given a leader of a task whose failed run a box lists twice
    Then one line tells of that run

  Scenario: The counters are there before a job is failed
    Given the metrics of a process that has just started
    Then the counter of each way is 0
