Feature: No record and no request takes down the process that reads it, or its successor
  What lies in the store is read by whoever decides next, and a client that got no answer
  hands its job in again elsewhere: what ends one process then ends one after the other.
  A box's entry with an address that is none raised "invalid literal for int() with base
  10: 'x'" in the decider, in each successor again; a job with a number above 64 bits
  raised "can't serialize ints" as it was written.

  Scenario Outline: A box's entry <what> names no box to use
    When the list of boxes holds a sound entry and one <what>
    Then only the sound one is used, and the other is said once, with its key

    Examples:
      | what                                   |
      | of bytes that are no text              |
      | that is cut short                      |
      | that is no table                       |
      | without an address                     |
      | with an address that is none           |
      | with a port that is none               |
      | with a name for an address             |
      | in a state that nobody knows           |
      | with room below nothing                |
      | with room beyond all bounds            |
      | with labels that are no text           |
      | of a service that nobody knows         |

  Scenario: An entry that can't be read any more is not used as it was before
    When the list of boxes holds two sound entries, and one is overwritten with bytes that are no text
    Then only the sound one is used, and the other is said once, with its key
    And once it can be read again it is used again

  Scenario: Entries of processes that can't be read are passed over
    When the entries of processes hold a sound one, and others by another writer
    Then the sound one is known, and the others are named

  Scenario: A record with a key that is no text does not end the reading
    When the store answers with a record whose key is no text, before a sound one
    Then the sound one is read

  Scenario: Whatever a client hands in is refused, or can be written and read again
    Then of 400 random jobs each is refused as malformed, or a successor goes on with it

  Scenario: Foreign entries and jobs leave real processes at work
    Given 2 nodes on the platform with 2 boxes
    When another writer fills the list of boxes, and a client hands in numbers without end
    Then the same decider goes on, and a job completes
