Feature: Jobs that are submitted while the store is unavailable
  No job can be accepted meanwhile. A client makes up to five attempts, each after the delay
  in the last answer. 4,000 clients arrive at times spread evenly over an outage.

  Scenario Outline: Refused clients are accepted sooner after the store recovers
    Given clients that arrive during an outage of <outage> seconds
    When each is told when to retry, as shipped and with steady_returns switched off
    Then as shipped at least <share> in 100 are accepted, and no fewer
    And they have waited at most <wait> seconds at the mean, and no longer than the others

    Examples:
      | outage | share | wait |
      | 3      | 100   | 2.8  |
      | 4.2    | 100   | 3.5  |
      | 5      | 100   | 4.4  |
      | 5.6    | 100   | 4.9  |
      | 7      | 100   | 5.2  |
      | 10     | 100   | 7.0  |

  Scenario: A leader that answers no requests is sent only a few
    Given a process whose leader receives requests and answers none
    When 40 clients arrive, one each 0.1 seconds, with 3 seconds each
    Then only those of the first 1.3 seconds get an unknown outcome, the others are refused at once
    And they are told to retry after 1, 2 or 3 seconds, and 2 a second are still forwarded
    When the leader answers again
    Then every client that arrives is answered within 1 second

  Scenario: No client is refused after a few lost answers, or once a new leader is known
    Given a process whose leader receives requests and answers none
    When 2 clients arrive, one each 0.1 seconds, with 3 seconds each
    Then nobody was refused
    When another leader is known that answers
    Then every client that arrives is answered within 1 second
