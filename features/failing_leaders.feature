Feature: What one leader fails at doesn't end each leader after it
  A filling task without cpu, a long checkpoint, a long name of an image, nested JSON: each
  ended whoever led by an error that nobody had foreseen, and its successors after it.

  Scenario Outline: A job at which two leaders fail is set aside, and all others are served
    Given a process alone, and a job at which a leader fails when it <does>
    When jobs are submitted one after the other, and that one among them
    Then the process goes on, and all other jobs are completed
    And that job is <known>, after 2 or 3 failures of leaders

    Examples:
      | does                         | known   |
      | places its tasks             | refused |
      | sees its task on a box       | failed  |
      | restores its progress        | failed  |
      | accepts it                   | refused |

  # Guards against a job that is taken though its submission was refused.
  Scenario Outline: Nothing is written of a decision that a leader makes half
    Given a leader that has taken another job
    When it fails half way through a job that it gets from <source>
    Then the store holds nothing of that job, and only the other one after a take-over

    Examples:
      | source           |
      | a client account |
      | a poll of a box  |

  Scenario: Nothing is left of a job that was set aside but that it failed
    Given a process alone, and a job at which a leader fails when it sees its task on a box
    When jobs are submitted one after the other, and that one among them
    Then no box runs a task of that job, and the store holds only its state

  Scenario: A single failure sets nothing aside
    Given a process alone, and a job at which a leader fails once when it places its tasks
    When jobs are submitted one after the other, and that one among them
    Then the process goes on, and all jobs are completed

  Scenario: Two failures that come from elsewhere end no job
    Given a process alone, and a job at which a leader fails twice when it sees its task on a box
    When jobs are submitted one after the other, and that one among them
    Then all jobs are completed after 2 failures, and none was set aside

  Scenario: A job that leaders know beside the one they fail at is not ended with it
    Given a process alone, and a job at which a leader fails each time with another in its frame
    When jobs are submitted one after the other, and that one among them
    Then the process goes on, and all other jobs are completed
    And only that job was set aside, and is known as failed

  Scenario: No job is ended for an error that leaders meet at any job for a while
    Given a process alone, and 6 failures of leaders, each at the job that they see first
    When jobs are submitted one after the other, and that one among them
    Then all jobs are completed after 6 failures, and none was set aside

  Scenario: A job that had ended is not known as failed once it is set aside
    Given a job that was cancelled while its task runs
    When a leader takes over that sets it aside
    Then it is known as cancelled

  Scenario: A job that is held back is left as it is
    Given two jobs whose tasks run on one box of two
    When a leader takes over that holds the first back
    Then that job is known as running, and its run goes on
    And no other task is started on its box
    When its run is done there, and then that of the other job
    Then no end from there on is acknowledged, and only the other job is completed
    When a leader takes over that serves both
    Then both are completed, and each task has run once

  Scenario: A job that is held back can be cancelled
    Given two jobs whose tasks run on one box of two
    When a leader takes over that holds the first back
    And that job is cancelled
    Then its run is stopped, and its state is all that the store keeps of it

  Scenario: Leaders that hold jobs back keep all promises about them
    Given 60 seeds of random work and faults, with leaders that hold some jobs back
    Then no promise is broken, and no job is lost

  Scenario: Older versions read what is written of leaders that held jobs back
    Given 2 leaders that failed at the same job
    And one that held it back and did not fail
    Then older versions know the same jobs of each failure

  Scenario: Failures are cleared once a leader has led for long
    Given a process alone, and a job at which a leader fails once when it places its tasks
    When jobs are submitted one after the other, and that one among them
    And the leader has led for longer than failures count
    Then the store holds no failure

  Scenario: Failures that have no job in common set nothing aside
    Given 30 leaders that failed at a job each, and 20 at the same 17 jobs
    Then no job is set aside
    Given 2 leaders that failed at the same job
    Then just that job is held back
    Given one that held it back and did not fail
    And one that served it and failed at it
    Then just that job is set aside

  Scenario: A job without which no leader fails is not set aside for a failure at another
    Given 2 leaders that failed at the same job
    And one that held it back and did not fail
    And one that served it and failed at another
    Then no job is set aside

  Scenario: A job that a leader served without a failure begins anew
    Given 2 leaders that failed at the same job
    And one that held it back and did not fail
    And one that served it and did not fail, and one that failed at it
    Then no job is set aside

  Scenario: A job whose records the store refuses is ended, and starts nothing
    Its tasks were started although a successor knew nothing of that.
    Given a leader on a store that takes no record of the tasks of one job
    When that job and 3 others are submitted
    Then the others are completed, and that job is known as failed, also to a successor
    And no task of that job has run

  Scenario: A forwarded call that raises an error is answered, and the leader goes on
    Given a leader whose answers raise an error
    When a request with 2 seconds left is forwarded to it
    Then it is answered with 500, and the error is in the log
