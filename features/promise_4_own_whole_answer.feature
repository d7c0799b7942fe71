Feature: Promise 4: each caller gets the whole answer to its own request
  A runner that misbehaves in a given way is called through the real HTTP adapter.

  Scenario Outline: A runner that <misbehaves>
    Given a runner that "<misbehaves>"
    When a request is sent to it
    Then the caller is told "<outcome>" and gets no other body

    Examples:
      | misbehaves                    | outcome      |
      | answers whole                 | reply        |
      | closes in the middle of body  | may have run |
      | sends fewer bytes than told   | may have run |
      | answers another request       | may have run |
      | never answers                 | may have run |
      | refuses before it began       | not run      |
      | does not listen               | not run      |
      | sends more than the limit     | may have run |

  Scenario: Concurrent callers, each with a different body
    Given one data hall with three daemons and two boxes
    And the account "velotrace" with its token
    And the service "unlock" with 2 replicas in "zurich"
    When 24 callers at once call "unlock" 10 times each at all processes
    Then each caller got the whole answer to its own request
