Feature: Promise 5: when the system says a request was not run, it was not run

  Scenario: The network loses half of everything
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When half of what the network carries is lost
    And 40 callers call the service at each process of zurich
    Then every caller has one final outcome
    And none that was told not to have run has run, and some were told unknown

  Scenario: The boxes that serve lose all that they run
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    When 10 callers call the service at each process of zurich
    And the boxes that serve lose all that they run
    And 30 callers call the service at each process of bern
    Then every caller has one final outcome
    And none that was told not to have run has run, and some were told so

  Scenario: Connections break just after the work began
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When every connection breaks just after an endpoint began
    And 20 callers call the service at each process of zurich
    Then every caller has one final outcome
    And none that was told not to have run has run, and some were told unknown

  Scenario: Any order of requests and faults
    Then the machine of request finds no broken promise
