Feature: Operators evacuate a data hall on the product's own interface

  Scenario: Nothing further starts, what runs goes on, and a new owner knows
    Given a hall of 3 processes and 3 boxes among fakes
    And a service of 2 replicas is running
    When the hall is evacuated, and a job of 2 tasks is handed in
    Then its tasks wait, and are explained by the evacuation
    And the replicas still run where they were
    When the owner is killed and 12 seconds pass
    Then its tasks wait, and are explained by the evacuation
    When the hall is given back
    Then its tasks run within 4 seconds

  Scenario: A process that starts from a snapshot knows the evacuation
    Given a hall of 3 processes and 3 boxes among fakes
    When the hall is evacuated, and a snapshot of its stream is taken
    Then what is read from the snapshot says so

  Scenario: Through the command line
    Given one data hall with three daemons and two boxes
    Then the command line evacuates the hall, lists it, and gives it back
    And a hall that does not exist is refused as not found
