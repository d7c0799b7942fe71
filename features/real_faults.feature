Feature: Faults of real processes
  SIGKILL, SIGSTOP and a dead platform, on real daemons and stand-ins.

  Scenario: The owner is killed, and replaced
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    And the service "unlock" with 2 replicas in "zurich"
    And a batch job of long tasks is running
    When the owner is killed
    Then another process owns the shard, and the batch tasks ran on without a restart
    And calls at the other processes are answered again
    And no box saw a task twice or more work than it has

  Scenario: The owner is stopped past every term and goes on
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    And a batch job of long tasks is running
    When the owner is stopped by SIGSTOP until another owns the shard, then goes on
    Then a new job of 4 tasks finishes
    And no box saw a task twice or more work than it has

  Scenario: The platform is down
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    And the service "unlock" with 2 replicas in "zurich"
    And a batch job of long tasks is running
    When the platform goes down for longer than a lease
    Then calls at all processes are still answered
    And a submission is refused as not run, or its outcome is unknown
    And the batch tasks ran on without a restart
    When the platform comes back
    Then a new job of 4 tasks finishes

  Scenario: The platform loses the answers to appends that took effect
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    When the platform loses the answers to appends
    Then a new job of 4 tasks finishes
    And no box saw a task twice or more work than it has
