Feature: Promise 2: a task runs in one place at a time
  Guards against a task started again while an older attempt still runs. A box rejects
  a start that arrives after the time in it, and a new owner waits until every start
  and lease of older epochs is reported or expired.

  Scenario: The owner freezes beyond its term just before it sends a start
    Given a hall of 3 processes and 3 boxes among fakes
    When a job of 1 tasks of 4 cores is submitted
    And the owner freezes for 12 seconds as a start is about to leave
    Then another process owns the shard within 6 seconds
    When all faults end and everything settles
    Then the job finished, each task in one place at a time

  Scenario: The owner is cut off and its successor can't reach a box
    Given a hall of 3 processes and 3 boxes among fakes
    And batch work of 3 tasks of 8 cores fills the boxes
    When the owner is cut from the log and from its peers
    And box 2 can't be reached by the successor
    And 20 seconds pass
    Then work that ran goes on running through it
    When all faults end and everything settles
    Then the job finished, each task in one place at a time

  Scenario: The owner is cut off while tasks wait, but still reaches its boxes
    Given a hall of 3 processes and 2 boxes among fakes
    When a job of 8 tasks of 8 cores is submitted
    And 1 seconds pass
    And the owner is cut from the log and from its peers
    And 40 seconds pass
    And all faults end and everything settles
    Then the job finished, each task in one place at a time

  Scenario: The platform is down for longer than all terms and leases
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the platform is down for 25 seconds
    Then work that ran goes on running through it
    And the shard kept its owner and epoch
