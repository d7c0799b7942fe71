Feature: The whole path through real processes
  A request, a job and a cell of the table each travel from end to end.

  Scenario: A request comes back whole and a job runs once
    Given three data halls with three daemons and two boxes each
    And the account "velotrace" with its token
    And the service "unlock" with 2 replicas in "zurich"
    When "velotrace" calls "unlock" at "zurich-2" with 40 different bodies
    Then each caller got the whole answer to its own request
    When "velotrace" calls "unlock" at "bern-1" with 10 different bodies
    Then each caller got the whole answer to its own request
    When "velotrace" submits a batch job of 3 tasks at "basel-2"
    Then the job finishes and each of its tasks ran once
    When an operator sets "velotrace" "weight" to 3 at "bern-3"
    Then the cell is in force in all 9 daemons
    And no answer took 40 ms, so no socket waits for delayed acknowledgements
    And every daemon of every hall can explain the service's placement
