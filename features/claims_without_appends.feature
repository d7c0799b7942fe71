Feature: A process that claims an epoch and writes nothing does not prolong waits for leases
  It grants no lease before its first append but on the word of the witnesses, and its claim
  says so. A successor reads the claims that follow the newest mark, and passes over those.

  Background:
    Given a shard of 8 boxes in 3 data halls, with the durations of deployments

  Scenario Outline: A task runs again within 9 s though <what>
    When the box of a long-running task is lost, and its leader is killed for good
    And a successor takes over 0.9 s later
    And <event>
    Then the task runs on another box within 9 s of the loss
    And it never runs on two boxes, also once the leader is back

    Examples:
      | what                                          | event                                                 |
      | the successor is killed before it has written | it is killed at once, and another one takes over      |
      | two processes take over at once               | another one takes over at once                        |

  Scenario Outline: A claim is no reason to wait for less if <what>
    Given a topic with the mark of epoch 1, then <records>, then the claim of epoch 9
    Then the mark of epoch 1 is <verdict>

    Examples:
      | what                                          | records                                 | verdict  |
      | nothing else follows the mark                 | no record                               | proved   |
      | its process grants no lease before it appends | the claim of epoch 5                    | proved   |
      | several of them follow each other             | the claims of epochs 5 and 6            | proved   |
      | its process is of an older version            | the claim of epoch 5 by an older version | not proved |
      | one of them is of an older version            | the claims of epochs 5 and 6, 5 by an older version | not proved |
      | its process has written something else        | the claim of epoch 5 and a record       | not proved |
      | it can't be read                              | the claim of epoch 5, which is not read | not proved |
      | a process of a newer epoch is known           | the claim of epoch 5, and 7 is known to have led | not proved |

  Scenario: A leader renews no lease before its first append without a majority of witnesses
    When a long-running task runs, and a new leader that can't write reaches its box alone
    Then the task's lease is not renewed

  Scenario Outline: No work is lost if the store is away for <seconds> s from the claim on
    When a long-running task runs, and the store is away for <seconds> s after a take-over
    Then the task has run without a break

    Examples:
      | seconds |
      | 6       |
      | 12      |

  Scenario: What a leader said of itself does not count for a process that led after it
    Given a topic with the mark of epoch 1, then the claim of epoch 5, then the claim of epoch 9
    When the process of epoch 9 takes over
    Then it waits for 8 s and a lease, whatever is proved of the process of epoch 1
