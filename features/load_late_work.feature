Feature: More waits than there is room for, and much of it is late
  The real decider in virtual time, boxes that obey at once.

  Scenario: After an outage what is late goes before what is too late to be of use
    Given a full shard of 30 boxes where jobs that fill were held up for 25 seconds
    When new ones come that need 0.7 of the room, for 20 seconds
    Then at least 1.02 times as many are of use as with too_late_last switched off
    And no fewer are completed in time
    And every job that was held up is completed in the end

  Scenario: A burst of wide jobs completes more of them than first come, first served
    Given a shard of 30 boxes and a burst of 40 jobs that fill, of 4 to 120 tasks each
    Then at least 1.2 times as many are completed in time as with urgency switched off

  Scenario: Operators see what waits, by class of work and by how late it is
    Given a full shard of 30 boxes where jobs that fill were held up for 25 seconds
    Then the figures show tasks that fill waiting, late ones and more that are too late

  Scenario: What is too late is not starved while more in time keeps coming
    Given a shard of 30 boxes that may send 8 orders in a pass, and a job of 20 tasks from long ago
    When jobs in time come for 12 seconds, more than can be ordered
    Then the old job never had nothing started for longer than 3 seconds

  Scenario: A step that fits nowhere keeps no other from its turn
    The step that had waited longest got one start ahead of all others, and if it had room
    nowhere, nothing that waited behind it ever had a turn: a job of 23 tasks began 24.6 s after it
    had been accepted, on a shard of 3,000 boxes with most of their room free.
    Given 20 boxes with room, and 8 orders in each pass for more urgent work
    When a job that fits nowhere waits for 3 seconds, and 10 others after it
    Then each of the others has begun

  Scenario: Where orders are short, what has waited long begins within three seconds
    Given 20 boxes with room, and 16 orders in each pass for more urgent work
    When 60 jobs wait for 3 seconds
    Then each of them has begun
    And 0.7 of the orders went to what is more urgent
