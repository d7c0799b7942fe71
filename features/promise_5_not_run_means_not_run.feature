Feature: Promise 5: when the system says a request was not run, it was not run

  Scenario: The network loses half of all messages
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the network loses half of all messages
    And 40 callers call the service at each process of zurich
    Then every caller has one final outcome
    And no request that is answered as not run has run, and some are unknown

  Scenario: The serving boxes lose all their tasks
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    When 10 callers call the service at each process of zurich
    And the serving boxes lose all their tasks
    And 30 callers call the service at each process of bern
    Then every caller has one final outcome
    And no request that is answered as not run has run, and some are answered so

  Scenario: Connections break just after the work has begun
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When every connection breaks just after an endpoint begins the work
    And 20 callers call the service at each process of zurich
    Then every caller has one final outcome
    And no request that is answered as not run has run, and some are unknown

  Scenario: Any order of requests and faults
    Then the machine of request finds no broken promise
