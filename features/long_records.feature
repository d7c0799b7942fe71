Feature: What client accounts send never makes a record that the store refuses
  The store takes no record above a limit. A leader that writes a longer one would repeat its
  append without end, and so would each of its successors.

  Scenario: Records of tasks with long checkpoints are short enough, and a successor has all of them
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When all their boxes are lost, and a successor takes over from what was written
    Then no record had more than 262144 bytes, and the successor has each checkpoint

  Scenario: A checkpoint is written once while only others change
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When all their boxes are lost, and one of the tasks changes
    Then less than 10000 bytes are written for that

  Scenario: The loss of a box writes the checkpoints of its tasks, and no others
    At each change of a task, those of all tasks of its group were written: on a thin link
    the leader was without the store for seconds, was replaced, and so was each successor.
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When one of their boxes is lost
    Then less than 200000 bytes are written for that
    And a successor knows the checkpoints of the 4 tasks that ran there

  Scenario: A checkpoint that was stored stays so while its task runs on
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When one of their boxes is lost, and its tasks run on with longer checkpoints
    And another box is lost
    Then less than 200000 bytes are written for that
    And a successor knows an earlier checkpoint of each task that was started again

  Scenario: A checkpoint that shrinks is in its task's record again, and no other is left
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When all their boxes are lost, and checkpoints of 100 characters follow
    Then the store holds only the rows of the tasks, and the successor has each checkpoint

  Scenario: A checkpoint that no record can hold doesn't stop the rest
    Given 16 long-running tasks whose checkpoints have 300000 characters each
    When all their boxes are lost, and a successor takes over from what was written
    Then no record had more than 262144 bytes, and the successor knows each task's run

  Scenario: An older version goes on from the rows, and its later checkpoints count
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When all their boxes are lost, and an older version writes checkpoints of its own
    Then the successor has each checkpoint of the older version

  Scenario Outline: What is learned of an image whose name has <bytes> bytes is <kept>
    Given a leader that has learned how an image whose name has <bytes> bytes slows down another
    And how images slow down one whose name has <bytes> bytes
    When it writes that, and a successor takes over
    Then each record has a key of at most 255 bytes, and the successor has <kept>

    Examples:
      | bytes | kept                                      |
      | 10    | what was learned of both                  |
      | 253   | what was learned of both                  |
      | 254   | what was learned of the one that it slows |
      | 3000  | what was learned of the one that it slows |

  Scenario: What is learned of too many images for one record is kept for the newest
    Given a leader that has learned how 500 images with names of 1000 bytes slow down another
    When it writes that, and a successor takes over
    Then no record had more than 262144 bytes, and the successor has the 249 newest

  Scenario: What an older version leaves behind of an ended job is removed
    Given 16 long-running tasks whose checkpoints have 40000 characters each
    When all their boxes are lost, and an older version removes the job
    Then the successor's first records remove all checkpoints
