Feature: What boxes tell a leader that the store does not confirm, and its successor
  A majority of a panel of boxes, the witnesses, proves to a leader that no successor led
  when it sent them polls, and to a successor that no earlier leader learns that any more.

  Scenario Outline: <count> of <size> witnesses prove <what>
    Given a panel of <size> witnesses
    When <count> of them accept polls that were sent 1 s apart
    Then that proves <what>

    Examples:
      | size | count | what                                    |
      | 3    | 1     | nothing                                 |
      | 3    | 2     | that the leader led at the first of them |
      | 5    | 2     | nothing                                 |
      | 5    | 3     | that the leader led at the first of them |
      | 15   | 7     | nothing                                 |
      | 15   | 8     | that the leader led at the first of them |
      | 15   | 10    | that the leader led at the third of them |

  Scenario: Until a new panel is durable, a leader needs a majority of the old one too
    Given a panel of 3 witnesses
    When it is replaced by 3 other boxes, which alone accept the leader's polls
    Then that proves nothing until the new panel is durable

  Scenario: A box that has restarted is no witness
    Given a panel of 3 witnesses
    When all of them restart under their ids, and accept the leader's polls
    Then that proves nothing

  Scenario: A poll proves that its leader led when it was sent, not when it was answered
    Given a box that answers a poll after 0.3 s
    When a leader polls it once
    Then the box counts as a witness of the time before that poll

  Scenario: A poll that a box rejects proves nothing
    Given a box that rejects polls of this leader
    When a leader polls it once
    Then the box counts as no witness

  Scenario: A claim proves that its process led when it was sent, not when it was answered
    Given a store that answers an append after 0.3 s
    When a process claims an epoch there
    Then it counts as confirmed when the claim was sent, and grants no lease before its first append

  Scenario Outline: A successor relies on a panel only if its predecessor <did>
    Given a successor whose predecessor followed panel <panel>, while the store holds panel 2
    When a majority of the store's panel has answered the successor
    Then the successor waits for <wait>

    Examples:
      | did                 | panel | wait            |
      | followed it         | 2     | one lease       |
      | followed another    | 1     | 8 s and a lease |
      | followed a later one | 3    | 8 s and a lease |
      | followed none       | 0     | 8 s and a lease |

  Scenario Outline: Leases of leaders before the predecessor, which followed <what>
    Given a successor whose predecessor followed panel <panel>, which <covers> leases of up to <lease> s of leaders before it, for 12 s more
    When a majority of the store's panel has answered the successor
    Then the successor waits for <wait>
    And its own mark says that panel 2 <own> earlier leases

    Examples:
      | what                           | panel | covers         | lease | wait      | own            |
      | the panel that limits them     | 2     | covers         | 6     | one lease | covers         |
      | a panel that does not          | 2     | does not cover | 6     | 12 s      | does not cover |
      | an earlier panel               | 1     | covers         | 6     | 8 s and a lease | does not cover |
      | it with longer leases          | 2     | covers         | 10    | a longer lease | does not cover |

  Scenario: Any panel covers leases that have ended
    Given a successor whose predecessor followed panel 1, which does not cover leases of up to 6 s of leaders before it, for 12 s more
    When all of these have ended
    Then its own mark says that panel 2 covers earlier leases

  Scenario: A leader that keeps a majority of the witnesses is waited for 8 s and a lease
    Given a shard of 8 boxes in 3 data halls, with the durations of deployments
    When the box of a long-running task is lost, and its leader is cut off from the store, with a majority of the witnesses
    And a successor takes over 0.9 s later
    Then the task runs on another box within 16.6 s of the loss
    And it never runs on two boxes, also once the leader is back
