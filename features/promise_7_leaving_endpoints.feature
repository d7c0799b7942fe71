Feature: Promise 7: an endpoint that is leaving gets no new work after a few seconds

  Scenario: A box leaves while callers go on
    Given a hall of 3 processes and 3 boxes among fakes
    And a service of 2 replicas is running
    When callers go on for 2 seconds
    And a box with a replica is drained
    And callers go on for 20 seconds
    Then the box got no new work 6 seconds after the list showed it
    And the replica runs elsewhere

  Scenario: A drain is given back, and a late copy of the drain comes again
    Given a hall of 3 processes and 3 boxes among fakes
    When box 1 is drained and given back
    And the append of the drain takes effect once more
    Then box 1 takes work
