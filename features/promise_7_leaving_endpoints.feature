Feature: Promise 7: an endpoint that is leaving gets no new work after a few seconds

  Scenario: A box leaves while callers go on
    Given a hall of 3 processes and 3 boxes among fakes
    And a service of 2 replicas is running
    When callers go on for 2 seconds
    And a box with a replica is drained
    And callers go on for 20 seconds
    Then the box got no new work 6 seconds after the list showed it
    And the replica runs elsewhere
