Feature: No limit of the software itself ends a service for good
  A limit of attempts, bytes or entries that the software sets, not the platform, holds
  until the service outgrows it; then only a new version would help.

  Scenario: A successor finds the newest epoch, however far above the one it knows
    Given 2 nodes on the platform with 1 boxes
    When the jobs' epoch is raised by 12 steps, unknown to all processes
    Then a process leads again within 15 seconds, and a job completes

  Scenario: Batches keep to the size that the store takes in one call
    Given a store that takes at most 100000 bytes in a call
    When 40 records of 9000 bytes are written at once
    Then all of them are in the store within 2 seconds

  Scenario: A record that the store refuses for good holds nothing else up
    Given a store that refuses a call with a record of more than 1000 bytes for good
    When 40 records are written at once, 2 of which have 1500 bytes
    Then the other 38 are in the store, the effects are released, and 2 are reported
    And a successor's read of the store is proved to be complete

  Scenario: A leader whose store refuses whatever is written steps down
    Given a store that refuses a call with a record of more than 0 bytes for good
    When 40 records are written at once, 2 of which have 1500 bytes
    Then nothing is in the store or reported, and the journal has ended

  Scenario Outline: An append that <what> is <verdict>
    When the platform's store is called with an append that <what>
    Then the append is <verdict>

    Examples:
      | what                      | verdict          |
      | is answered 400           | refused for good |
      | is answered 413           | refused for good |
      | is answered 429           | repeated later   |
      | is answered 503           | repeated later   |
      | is answered 507           | repeated later   |
      | has a key of 255 bytes    | done             |
      | has a key of 256 bytes    | refused for good |

  Scenario Outline: A job whose record is <what> is <verdict>
    The record holds when the job is accepted, which takes up to eight bytes more the later it
    is. A record that the store refuses must not be accepted at any time.
    When a job is submitted whose record has up to <bytes> bytes, where 5000 are allowed
    Then it is answered <status>

    Examples:
      | what         | bytes | verdict  | status |
      | at the limit | 5000  | accepted | 200    |
      | above it     | 5001  | refused  | 400    |

  Scenario: A large answer to a poll is read completely
    When a box answers a poll with 3 megabytes of checkpoints
    Then all its tasks are listed

  Scenario: Advice is requested about all boxes in turn, not only about the roomiest
    Given 60 equal boxes, of which advice names only the last as suitable for a step
    When a job of that step waits for 10 seconds
    Then it has started there, and no box was asked about twice

  Scenario: Advice on a step without a suitable box is requested again
    Given 60 equal boxes, of which advice names none as suitable for a step
    When a job of that step waits for 10 seconds
    Then some boxes were asked about twice
