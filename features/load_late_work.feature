Feature: More tasks wait than there is room for, and many of them are late
  The scheduler runs in virtual time, among boxes that carry out commands at once.

  Scenario: After an outage late work goes before work that is too late to be of use
    Given a full shard of 30 boxes where best-effort jobs were held up for 25 seconds
    When new jobs that need 0.7 of the room are submitted for 20 seconds
    Then at least 1.02 times as many jobs are of use as with too_late_last switched off
    And no fewer jobs are completed in time
    And every job that was held up is completed in the end

  Scenario: A burst of wide jobs completes more of them than first come, first served
    Given a shard of 30 boxes and a burst of 40 best-effort jobs, of 4 to 120 tasks each
    Then at least 1.2 times as many jobs are completed in time as with urgency switched off

  Scenario: Operators see how many tasks wait, by class of work and by lateness
    Given a full shard of 30 boxes where best-effort jobs were held up for 25 seconds
    Then the counts show waiting best-effort tasks, late ones and more that are too late

  Scenario: A job that is too late does not starve while jobs in time keep being submitted
    Given a shard of 30 boxes with a limit of 8 starts in a pass, and an old job of 20 tasks
    When jobs in time are submitted for 12 seconds, more than can be started
    Then the old job starts a task at least every 3 seconds

  Scenario: A step that fits nowhere does not block the steps behind it
    The step that has waited longest gets one start ahead of all others. If it keeps this turn
    while it has room nowhere, no step behind it ever gets one: a job of 23 tasks started 24.6 s
    after it was accepted, on a shard of 3,000 boxes with most of their room free.
    Given 20 boxes with room, and a limit of 8 starts in a pass while urgent jobs are submitted
    When a job that fits nowhere waits for 3 seconds, and 10 others behind it
    Then each of the others has started

  Scenario: Where starts are limited, work that has waited long starts within three seconds
    Given 20 boxes with room, and a limit of 16 starts in a pass while urgent jobs are submitted
    When 60 jobs wait for 3 seconds
    Then each of them has started
    And 0.7 of the starts went to urgent jobs
