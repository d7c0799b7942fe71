Feature: An odd entry costs that entry, on each process and on each successor
  Other writers share the lists that processes read: of boxes, of operators' records, of
  processes, of a shard's records, and messages. What ends one process, or one leadership,
  ends each successor that reads it: a box's address with a port of 5,000 digits left a
  system without a leader for good.

  Scenario: Every decoder gives values to calculate with, or an error of decoding
    Then of 150 odd texts each decoder decodes or rejects each

  Scenario: An odd entry in the list of boxes does not keep work from other boxes
    Then of 400 odd entries beside a sound box each leaves the box to a leader and its successor

  Scenario: An odd answer of a box does not keep work from other boxes
    Then of 400 odd answers to polls each leaves the other box to a leader and its successor

  Scenario: An odd record of operators leaves the configuration in force
    Then of 400 odd records beside a sound configuration each leaves a leader deciding

  Scenario: Successors serve by the last configuration while the operators' can't be read
    Given 3 nodes on the platform with 4 boxes
    When another writer leaves an odd record in the place of the configuration
    Then a job completes at each of 3 leaders, one after the other
    And a later configuration is in force, and none is kept any more

  Scenario: An odd record among those of processes leaves the others
    Then of 400 odd records of processes each leaves the sound one to be read

  Scenario: An odd record among those of a shard leaves the jobs of the others
    Then of 400 odd records among a shard's each leaves a sound job to the next two leaders

  Scenario: An odd message leaves the members that report soundly
    Then of 400 odd messages each is dropped, or leaves the reports of a process working

  Scenario: An odd answer about advice leaves work to other answers
    Then of 300 odd answers about advice each leaves the next answer usable

  Scenario: An odd answer of the store is an outcome, not an error
    Then of 400 odd answers of the store each has an outcome

  Scenario: A page of the store with a key that is no Unicode text is read, and the next one
    When a page of the store ends with a key of the bytes ff fe, and another follows
    Then the records of both are read

  Scenario: An error that a decoder should not raise costs the entry, with one log line
    When decoding a box's entry raises an error that nobody foresaw, three times
    Then the sound box is used, and the entry is logged once, with a trace

  Scenario: Real processes go on among odd entries and odd answers
    Given 3 nodes on the platform with 4 boxes
    When another writer leaves odd entries among those of the boxes
    Then a job completes at each of 2 leaders, one after the other
    And each odd entry is logged once by each of them

  Scenario: Real processes go on while a box answers nonsense
    Given 3 nodes on the platform with 4 boxes
    When a box answers polls with odd rows, one kind after the other, while jobs are submitted
    Then the leader is still the same, and every job completes
