Feature: Promise 8: a planned stop cuts no request in flight

  Scenario: SIGTERM to an owner under load, with long requests in flight
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    And the service "unlock" with 2 replicas in "zurich"
    And a batch job of long tasks is running
    When the owner gets SIGTERM while 2 requests of 1.5 seconds are in flight
    Then every one of them is answered whole
    And the stopped process exits with code 0
    And another process owns the shard, and the batch tasks ran on without a restart
