Feature: Records grow with what changed, and a successor continues from them

  Scenario: The bytes written are proportional to the number of tasks
    Given the bytes written for jobs of 20 and of 80 tasks that run one by one
    Then the larger job's are at most 6 times the smaller one's

  Scenario: One short record of an ended job remains, with its state
    Given a shard of 2 boxes among models
    When a job of 40 tasks completes and 3 seconds pass
    Then one record of at most 40 bytes remains of it
    And a successor reports it as completed and treats a second submission as the same job

  Scenario Outline: A successor continues from an older version's records despite crashes
    Given a shard of 3 boxes among models
    And a job of 40 tasks, half of which are done, in the record format of an older version
    When leaders take over and die after <count> appends each, 4 times
    Then each task that was done stays done, and the job completes

    Examples:
      | count |
      | 0     |
      | 1     |
      | 3     |

  Scenario: An unreadable record is logged, and the other jobs continue
    Given a shard of 3 boxes among models
    When two jobs run, a record of the first job's tasks is overwritten, and a successor takes over
    Then the record's key is logged as unreadable, with the error's text
    And the second job completes while no further task of the first starts
    And no task ever ran on two boxes, and the job completes

  Scenario: A job that is cancelled as the leader dies is stopped by its successor
    Given a shard of 2 boxes among models
    When a long-running job is cancelled, and the leader dies before any stop is sent
    Then its successor stops all its tasks within a second

  Scenario: A gang that is done stays done for a successor
    Given a shard of 3 boxes among models
    When a gang of 20 is done, the leader writes that and dies before starting the next step
    Then its successor restores all 20 as done, and enqueues only the next step
