Feature: A thin link delays a leader and stops none
  Whatever has a size and a fixed timeout fails at every attempt once the link needs longer
  for it, and for each successor in the same way: on links of 2 Mbit/s nobody led any more
  once the jobs filled a page of half a megabyte, and tasks whose checkpoints had grown to
  40,000 characters were not started again after their box was lost.

  Scenario Outline: A process takes over though a page takes longer than its timeout
    Given a store with <mb> MB of submissions behind a link of <mbps> Mbit/s
    When a process takes over through the link
    Then it leads with all jobs after at most <seconds> seconds

    Examples:
      | mb  | mbps | seconds |
      | 0.6 | 2    | 4.5     |
      | 1.2 | 10   | 2.5     |
      | 3   | 200  | 2.5     |

  Scenario: An answer that stops is given up as soon as one that never comes
    Given a store with 0.6 MB of submissions behind a link of 2 Mbit/s
    When a process takes over through the link, which carries nothing after 1 second
    Then it gives up 4 to 5 seconds after that

  Scenario Outline: What a leader decides reaches the store, and confirms it meanwhile
    Given a store behind a link of <mbps> Mbit/s
    When a leader writes <count> records of <size> bytes at once
    Then they are in the store within <seconds> seconds, each appended once
    And it was confirmed at least every <pause> seconds, and never counted as without the store

    Examples:
      | mbps | count | size   | seconds | pause |
      | 2    | 16    | 38000  | 3.5     | 0.8   |
      | 2    | 1     | 262000 | 2.0     | 2.0   |
      | 10   | 40    | 38000  | 2.0     | 0.8   |
      | 200  | 100   | 38000  | 1.0     | 0.8   |

  Scenario: A squeezed link is learnt from the appends
    Given a store behind a link of 2 Mbit/s, taken for one of 8
    When a leader writes 16 records of 38000 bytes at once, two times
    Then they are in the store within 8 seconds the first time
    And the second time within 4 seconds, each appended once

  Scenario Outline: A store that falls silent is noticed as soon on every link
    Given a store behind a link of <mbps> Mbit/s
    When it falls silent and a leader writes a record of 300 bytes
    Then the leader counts as without the store after 0.5 to 0.65 seconds

    Examples:
      | mbps |
      | 2    |
      | 200  |

  Scenario: A box whose answer is long is not taken for silent
    Given a box behind a link of 2 Mbit/s whose tasks have 4 checkpoints of 80000 characters
    When it is polled
    Then all checkpoints are known

  Scenario: A start with a long checkpoint is not given up on its way
    Given a box behind a link of 2 Mbit/s whose tasks have 4 checkpoints of 80000 characters
    When a task with a checkpoint of 200000 characters starts there
    Then the box has carried out the start

  Scenario: A box that never answers is silent as soon as on any link
    Given a box behind a link of 2 Mbit/s that never answers
    When it is polled
    Then it is silent after 0.7 to 0.8 seconds

  Scenario: A configuration that the link carries in more than a second stays in force
    Given a store behind a link of 2 Mbit/s
    When the configuration has 400000 bytes
    Then it is read within 3 seconds

  Scenario Outline: The project's own interface waits for <what> that arrives slowly
    Given a server behind a link of 2 Mbit/s that answers with 4 texts of 200000 characters
    When <what> is read from it
    Then all texts are known

    Examples:
      | what              |
      | a page of the log |
      | a box's report    |
