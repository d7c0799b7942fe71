Feature: Long-running tasks run again in time though their leader is lost with their box
  A successor must not start a task elsewhere while its box may still run it, and can't ask
  a leader that is gone for how long it renewed leases. The durations are those of
  deployments: leases last 6 s, and a leader renews them for up to 8 s without the store.

  Background:
    Given a shard of 8 boxes in 3 data halls, with the durations of deployments

  Scenario Outline: A task runs again within 9 s though the leader is <way>
    When the box of a long-running task is lost, and its leader is <way>
    And a successor takes over 0.9 s later
    Then the task runs on another box within 9 s of the loss
    And it never runs on two boxes, also once the leader is back

    Examples:
      | way                                    |
      | killed for good                        |
      | frozen                                 |
      | cut off from the store                 |
      | cut off from the store and most boxes  |

  Scenario Outline: However leaders are lost with boxes, tasks run once and again in time, seed <seed>
    When leaders are lost with boxes from seed <seed>
    Then no promise was broken

    Examples:
      | seed |
      | 0    |
      | 30   |
      | 43   |
      | 82   |
      | 83   |
      | 61287 |
      | 61812 |
