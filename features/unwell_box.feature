Feature: A box that rejects a command as unhealthy has not carried it out
  Run 1 of a task was started 6 s late, after run 2 had been done and recorded: the start of run 1
  had got no answer, and the stop that followed, rejected as "unhealthy", was counted as done.

  Scenario: A stop that an unhealthy box rejected does not let its task start again
    Given a task whose start got no answer, so that it is being stopped
    When the box rejects the stop as unhealthy, and polls do not list the task
    Then the task is not started again, and the stop is repeated
    And once the box has accepted the stop, the task is started again
