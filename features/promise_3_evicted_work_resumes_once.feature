Feature: Promise 3: evicted work resumes exactly once
  Evict is: checkpoint, proof of the stop, the end on the log, then the next
  attempt from that checkpoint.

  Scenario: Urgent work has batch work checkpointed, and the owner dies meanwhile
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When urgent work of 4 cores is submitted
    And 0.45 seconds pass
    And the owner is killed for 15 seconds
    And 30 seconds pass
    And all faults end and everything settles
    Then each evicted task resumed once, from its checkpoint

  Scenario: Answers of boxes are lost, doubled and late while work is evicted
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the network loses, doubles and delays a third of what it carries
    And urgent work of 4 cores is submitted
    And 30 seconds pass
    And all faults end and everything settles
    Then each evicted task resumed once, from its checkpoint

  Scenario: An owner that was followed records ends late
    Given a hall of 3 processes and 2 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner is killed for 5 seconds
    And 8 seconds pass
    And ends of its epoch, and of older attempts, reach the log late
    Then work that ran goes on running through it
