Feature: Operators evacuate a data hall through the scheduler's own interface

  Scenario: No further task starts, running tasks continue, and a new owner applies the evacuation
    Given a hall of 3 processes and 3 boxes among fakes
    And a service of 2 replicas is running
    When the hall is evacuated, and a job of 2 tasks is submitted
    Then its tasks wait, and are explained by the evacuation
    And the replicas still run where they were
    When the owner is killed and 12 seconds pass
    Then its tasks wait, and are explained by the evacuation
    When the hall is restored
    Then its tasks run within 4 seconds

  Scenario: A snapshot contains the evacuation
    Given a hall of 3 processes and 3 boxes among fakes
    When the hall is evacuated, and a snapshot of its stream is taken
    Then the decoded snapshot shows the evacuation

  Scenario: Through the command line
    Given one data hall with three daemons and two boxes
    Then the command line evacuates the hall, lists it, and restores it
    And a hall that does not exist is refused as not found
