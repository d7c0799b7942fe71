Feature: A likely successor has a copy of the state, and reads only what came after it
  The longer the state, the longer a take-over reads, and nobody leads meanwhile: on links
  of 2 Mbit/s 3.4 seconds with 300 KB, and 7.1 seconds with 600 KB.

  Scenario: Only what was written since is read
    Given a store with 1203 records of ended jobs on pages of 50
    And a process with a copy of them
    When 40 records follow and one is deleted, and the process takes over
    Then it knows 1242 jobs by its copy, and no page was requested for that

  Scenario Outline: A copy that can't be continued is not used
    Given a store with 1203 records of ended jobs on pages of 50
    And a process with a copy of them
    And <what>
    When 40 records follow and one is deleted, and the process takes over
    Then it knows 1242 jobs by a read of all pages, and says "<event>"

    Examples:
      | what                                | event             |
      | the copy lacks a record             | reading_not_whole |
      | the copy has an earlier value       | reading_not_whole |
      | the store has dropped its history   | standby_failed    |
      | the store reads no records for long | standby_failed    |

  Scenario: A copy is not used if another process has taken over since
    Given a store with 120 records of ended jobs on pages of 50
    And a process with a copy of them
    When it claims an epoch, and another process claims a newer one
    Then the first doesn't lead, and no page was requested for that

  Scenario: A copy follows the store, also when its history is dropped
    Given a store with 120 records of ended jobs on pages of 50
    And a process with a copy of them that is one of the first successors
    When 40 records follow and one is deleted
    Then within 2 seconds the copy has 159 jobs
    When the store drops its history, and 10 records follow
    Then within 8 seconds the copy has 169 jobs

  Scenario: The state of a process that is no successor any more is freed
    Given a store with 120 records of ended jobs on pages of 50
    And a process with a copy of them that is one of the first successors
    When it is none of them for longer than copies are kept
    Then it has no copy

  Scenario: The first two successors of a leader keep copies, in different data halls
    Given a leader with 2 processes in each of 3 data halls
    Then exactly 2 of them keep a copy, in the other data halls
