Feature: Invalid records and requests crash neither the process that reads them nor its successor
  Each leader reads the records in the store, and a client that gets no answer submits its
  job again to another process, so that input which crashes one process crashes the next.
  A box's entry with a malformed address raised "invalid literal for int() with base 10:
  'x'" in the leader and in each successor; a job with a number above 64 bits raised
  "can't serialize ints" when it was written to the store.

  Scenario Outline: A box's entry <what> is not used
    When the list of boxes holds a valid entry and one <what>
    Then only the valid one is used, and the other is logged once, with its key

    Examples:
      | what                                   |
      | that is not Unicode text               |
      | that is truncated                      |
      | that is not a JSON object              |
      | without an address                     |
      | with a malformed address               |
      | with a port out of range               |
      | with a host name as address            |
      | in an unknown state                    |
      | with negative capacity                 |
      | with capacity above the limit          |
      | with labels that are not strings       |
      | of an unknown service                  |

  Scenario: A box without processor time, and a job that names none, end no leader
    Given a box whose entry names no processor time, beside one with 16 cores
    When a best-effort job and a serving one name no processor time
    Then both start, and the processor time of both boxes is accounted for

  Scenario Outline: An answer to a poll with a figure that is <figure> is malformed
    When a box answers a poll with a task whose figure is <figure>
    Then it counts as no answer, and the reason says that it is malformed

    Examples:
      | figure  |
      | "much"  |
      | null    |
      | [1, 2]  |

  Scenario: An entry that became invalid is no longer used in its earlier form
    When the list of boxes holds two valid entries, and one is overwritten with bytes that are not Unicode text
    Then only the valid one is used, and the other is logged once, with its key
    And once it is valid again it is used again

  Scenario: Invalid entries of processes are skipped
    When the entries of processes hold a valid one, and invalid ones by another writer
    Then the valid one is read, and the keys of the others are reported

  Scenario: A record whose key is not Unicode text does not make the next ones unreadable
    When the store answers with a record whose key is not Unicode text, before a valid one
    Then the valid one is read

  Scenario: A job is rejected, or can be written to the store and read again
    Then of 400 random jobs each is rejected as malformed, or a successor continues with it

  Scenario: Real processes keep running with invalid entries and jobs
    Given 2 nodes on the platform with 2 boxes
    When another writer fills the list of boxes, and a client submits numbers that are too large
    Then the leader is still the same, and a job completes
