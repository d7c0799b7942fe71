Feature: A box that says it is unwell has done nothing
  Of a task, run 1 was started 6 s late, after run 2 had been done and noted: the order of run 1
  had got no answer, the stop that followed was refused as "unhealthy", and counted as done.

  Scenario: A stop that an unwell box refused does not let its task start elsewhere
    Given a task whose start got no answer, so that it is being stopped
    When the box refuses the stop as unwell, and a look shows nothing of the task
    Then the task is not started again, and the stop is given again
    And once the box has taken the stop, it is started elsewhere
