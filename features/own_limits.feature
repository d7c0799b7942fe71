Feature: No limit of ours ends a service for good
  A number of tries, of bytes or of entries that is ours and not the platform's holds until
  the service outgrows it, and then nothing but a new version helps.

  Scenario: A successor finds the newest epoch, however far it lies above the one it knows
    Given 2 nodes on the platform with 1 boxes
    When somebody raises the jobs' epoch by 12 steps, without a word to anybody
    Then a process decides again within 15 seconds, and a job completes

  Scenario: Batches keep to what the store takes in one call
    Given a store that takes at most 100000 bytes in a call
    When 40 records of 9000 bytes are written at once
    Then all of them are in the store within 2 seconds

  Scenario Outline: A job whose record <what> the store takes is <verdict>
    A refused append is repeated for ever, by each decider that the job is handed to.
    When a job is handed in whose record has <bytes> bytes, where 5000 are taken
    Then it is answered <status>

    Examples:
      | what          | bytes | verdict  | status |
      | is as long as | 5000  | accepted | 200    |
      | exceeds what  | 5001  | refused  | 400    |

  Scenario: A box that lists much is read all the same
    When a box answers a look with 3 megabytes of checkpoints
    Then all its tasks are seen

  Scenario: Advice is asked about all boxes in the end, not for ever about the roomiest
    Given 60 boxes alike, of which advice names only the last as good for a step
    When a job of that step waits for 10 seconds
    Then it has started there, and no box was asked about twice

  Scenario: A step for which no box is good is asked about anew
    Given 60 boxes alike, of which advice names none as good for a step
    When a job of that step waits for 10 seconds
    Then some boxes were asked about twice
