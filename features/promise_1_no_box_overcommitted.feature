Feature: Promise 1: no box is ever given more than it has
  Guards against assignments and loans beyond the capacity of a box. The fake boxes
  assert it at each start, the owners' resource accounts at each placement, and the
  ledgers of lent slots at each sweep.

  Scenario: The owner dies while starts on full boxes are in flight
    Given a hall of 3 processes and 2 boxes among fakes
    When a job of 6 tasks of 4 cores is submitted
    And 0.15 seconds pass
    And the owner is killed for 20 seconds
    And all faults end and everything settles
    Then the job finished, each task in one place at a time

  Scenario: A process with lent slots is frozen until its loan has expired
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When callers keep every process busy while each freezes in turn
    Then no endpoint served more requests at a time than it has slots

  Scenario: Random sequences of work and faults
    Then the machine of work finds no broken promise
