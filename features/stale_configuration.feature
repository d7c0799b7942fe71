Feature: No request is decided by a configuration that may be out of date
  A machine may stand still between the sending of a read and the handling of its answer, or
  while a request waits for the proof that its leader still leads. What it knows then is as
  old as the read, not as the answer.

  Scenario: The answer to a read that was open for 3 seconds too long is not fresh
    When a leader that stands still handles the answer to its read 3 seconds late
    Then its configuration is not fresh, until the next read is answered

  Scenario: A leader that takes over for 2 seconds reads the configuration again at once
    When a leader loads a configuration that was read 2 seconds ago, and follows it
    Then its configuration is not fresh, until the next read is answered
    And that read did not wait for a record

  Scenario: A configuration stays fresh while each answer of the store takes half a second
    When a leader follows the configuration of such a store for 6 seconds
    Then its configuration was fresh all the time

  Scenario Outline: A request that waits for the confirmation is decided by the newest configuration
    When a request <what> waits, and a configuration with its queue comes into force
    Then its answer is <status>

    Examples:
      | what                                  | status |
      | for a job's state                     | 410    |
      | under a longer prefix than was known  | 410    |
