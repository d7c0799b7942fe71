Feature: Promise 7: an endpoint that is leaving gets no new work after a few seconds

  Scenario: A box leaves while callers keep calling
    Given a hall of 3 processes and 3 boxes among fakes
    And a service of 2 replicas is running
    When callers keep calling for 2 seconds
    And a box with a replica is drained
    And callers keep calling for 20 seconds
    Then the box gets no new work from 6 seconds after it is listed as leaving
    And the replica runs elsewhere

  Scenario: A drain is ended, and a late copy of its append takes effect
    Given a hall of 3 processes and 3 boxes among fakes
    When box 1 is drained and given back
    And the append of the drain takes effect once more
    Then box 1 takes work
