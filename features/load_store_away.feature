Feature: Jobs that come while the store is away
  Nothing can be accepted; a client tries five times, each time as long after the last as it
  was told. 4,000 clients come at any moment of an outage.

  Scenario Outline: Refused clients are accepted sooner after the store's return
    Given clients that come during an outage of <outage> seconds
    When each is told when to come back as shipped, and as with steady_returns switched off
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

  Scenario: A decider that answers nothing is not sent what it won't answer
    Given a process whose decider takes requests and answers none
    When 40 clients come, one each 0.1 seconds, with 3 seconds each
    Then those of the first 1.3 seconds end in doubt at most, the others are refused at once
    And they are told to come back after 1, 2 or 3 seconds, and 2 a second are still tried
    When the decider answers again
    Then every client that comes is answered within 1 second

  Scenario: A few lost answers, or a new decider, refuse nobody
    Given a process whose decider takes requests and answers none
    When 2 clients come, one each 0.1 seconds, with 3 seconds each
    Then nobody was refused
    When another decider is known that answers
    Then every client that comes is answered within 1 second
