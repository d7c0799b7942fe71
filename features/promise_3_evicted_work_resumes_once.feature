Feature: Promise 3: evicted work resumes exactly once
  An eviction has four steps: checkpoint, confirmed stop, end on the log, then the next
  attempt from that checkpoint. Guards against faults between them, which could lose
  the checkpoint or resume from it twice.

  Scenario: The owner dies while batch tasks are evicted for an urgent task
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When urgent work of 4 cores is submitted
    And 0.45 seconds pass
    And the owner is killed for 15 seconds
    And 30 seconds pass
    And all faults end and everything settles
    Then each evicted task resumed once, from its checkpoint

  Scenario: Answers of boxes are lost, duplicated and delayed during an eviction
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the network loses, doubles and delays a third of what it carries
    And urgent work of 4 cores is submitted
    And 30 seconds pass
    And all faults end and everything settles
    Then each evicted task resumed once, from its checkpoint

  Scenario: Ends recorded by a replaced owner reach the log late
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner is killed for 5 seconds
    And 8 seconds pass
    And ends of its epoch, and of older attempts, reach the log late
    Then work that ran goes on running through it
