Feature: A panel of witnesses is kept while boxes and leaders come and go

  Scenario Outline: A long-running task of a lost box runs again soon, however its leader is lost
    With leases of 3 s; the successor takes over 0.9 s after the loss. The last leader renews
    for as long as it may, and comes back in the end.
    Given a shard of 6 boxes among models
    When a long-running task's box is lost, and at once the leader <is lost>
    Then it runs on another box within 4.7 seconds of when its box became silent
    And once the lost leader is back no task runs on two boxes

    Examples:
      | is lost                                             |
      | is killed                                           |
      | is frozen                                           |
      | is suspended                                        |
      | is cut off from everything                          |
      | is cut off from everything but a minority of the witnesses |

  Scenario: A task runs again soon though two leaders are lost before the first is known to be excluded
    The second leader has written its first append and reached no box.
    Given a shard of 6 boxes among models
    When a long-running task's box is lost, and at once the leader is killed
    And its successor reaches no box, and is killed 0.3 s later
    Then it runs on another box within 5.7 seconds of when its box became silent

  Scenario Outline: A renewal that is carried out late grants no more than it did when it was planned
    A leader stands still between the plan of a poll and its sending; the box is one that its
    successor does not reach.
    Given a shard of 6 boxes among models
    When a leader plans to renew the lease of a long-running task, and sends it <late> s after the successor reached all other boxes
    Then the task runs elsewhere, and never ran on two boxes

    Examples:
      | late |
      | 0.5  |
      | 2.5  |
      | 3.5  |
      | 10   |

  Scenario Outline: A shard with few boxes has no witnesses, and survives outages of the store as before
    Given a shard of <boxes> boxes among models, whose leases last 6 s
    When a long-running task runs, and the store is away for 13 seconds
    Then the task has run without a break
    And there is no panel of witnesses, and no record of one

    Examples:
      | boxes |
      | 1     |
      | 2     |

  Scenario: The panel's record is written only as the panel changes
    Given a shard of 6 boxes among models
    When jobs run for 60 s and nothing is lost
    Then the panel has 5 members, and its record was written once, with at most 80 bytes

  Scenario: A witness that is lost is replaced, and the others stay
    Given a shard of 6 boxes among models
    When a witness is cut off for 4 s
    Then the panel has 5 members, and its record was written twice
    And 4 of its members are the ones that it had before

  Scenario: A witness that is silent for a second is not replaced
    Given a shard of 6 boxes among models
    When a witness is cut off for 1 s
    Then the panel has 5 members, and its record was written once

  Scenario: Boxes that are lost together are replaced by one change
    Given a shard of 12 boxes among models
    When 4 witnesses are cut off for 1000 s at once
    Then the panel has 7 members, and its record was written twice

  Scenario: A successor does not change the panel as its members answer one after the other
    Given a shard of 12 boxes among models
    When the leader hands over, and its successor reaches the last members 0.6 s after the others
    Then the panel has 11 members, and its record was written once

  Scenario Outline: A successor that reaches no majority of the witnesses leaves the panel for 3 s
    Given a shard of 12 boxes among models
    When 6 witnesses are lost for good and the leader is killed, and <after> s after the take-over
    Then the panel has <members> members, and its record was written <times>

    Examples:
      | after | members | times |
      | 2.9   | 11      | once  |
      | 3.5   | 5       | twice |

  Scenario: With a majority of the witnesses lost for good, a successor waits for as long as a lost leader may renew
    Given a shard of 12 boxes among models
    When a long-running task runs, its box and 6 other witnesses are lost for good, and the leader is killed
    Then it runs on another box within 6.5 seconds of when its box became silent

  Scenario: The next leader can rely on the panel that a successor renewed
    Given a shard of 12 boxes among models
    When a long-running task runs, 6 witnesses are lost for good, and the leader is killed
    And 20 s later the task's box is lost, and at once the leader is killed
    Then it runs on another box within 4.7 seconds of when its box became silent

  Scenario: Without enough boxes for a panel there is none, and the store may be away as before
    Given a shard of 3 boxes among models, whose leases last 6 s
    When 2 boxes are lost for good and leave the list
    And a long-running task runs, and the store is away for 13 seconds
    Then the task has run without a break
    And there is no panel of witnesses, and the record says so

  Scenario: A release of all boxes one by one costs a record a second at most
    Given a shard of 9 boxes among models
    When each of the boxes is replaced, one each 0.7 s
    Then the panel has 9 members, and its record was written at most 9 times
    And evidence is kept of no box that is gone, also if its last answer comes late

  Scenario: Entries that lapse in an outage of the store do not change the panel again and again
    Given a shard of 9 boxes among models
    When the store is away for 6 s, and all entries are gone for 1.5 s once it is back
    Then the panel has 9 members, and its record was written once

  Scenario Outline: A data hall that is cut off and comes back is on the panel again
    Given a shard of <boxes> boxes in 3 halls among models
    When a hall is cut off for 4 s, and 6 s pass
    Then the panel has 15 members, at most 5 of them in one hall
    And its record was written at most 3 times

    Examples:
      | boxes |
      | 18    |
      | 60    |

  Scenario: A leader whose panel changes in the middle of an outage is not followed by two leaders
    The store keeps the change of which the leader has no answer, or does not; the successor
    sees one or the other.
    Given a shard of 6 boxes among models
    When the panel is changed by an append that the store does or does not keep, while a successor takes over
    Then no task ever ran on two boxes at any of these times
