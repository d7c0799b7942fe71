Feature: Promise 1: no box is ever given more than it has
  The fake boxes assert it on every start, the owners' books on every placement,
  and the lenders' ledgers on every sweep.

  Scenario: The owner dies with starts under way on full boxes
    Given a hall of 3 processes and 2 boxes among fakes
    When a job of 6 tasks of 4 cores is submitted
    And 0.15 seconds pass
    And the owner is killed for 20 seconds
    And all faults end and everything settles
    Then the job finished, each task in one place at a time

  Scenario: A process with lent slots freezes past its loan and comes back
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When callers keep every process busy while each freezes in turn
    Then no endpoint served more requests at a time than it has slots

  Scenario: Any order of work and faults
    Then the machine of work finds no broken promise
