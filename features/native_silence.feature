Feature: Connections that fall silent without a reset, while new ones work

  Scenario: A call that was not answered ends the trust in all open connections
    Given an endpoint to which 6 connections are open
    When they all fall silent
    Then the second call from then on is answered over a new connection

  Scenario: An append whose connection fell silent is settled over a new one
    Given a store to which 6 connections are open
    When they all fall silent
    Then a decision is written within 0.4 seconds

  Scenario: A peer whose connection fell silent is reached again
    Given two processes whose messages pass through a relay
    When the relay falls silent on the connections it has
    Then messages arrive again within 2.2 seconds

  Scenario: A request that needs the store is refused as soon as that is known to be away
    Given a decider whose store has been away for 1 seconds
    Then a question for a job's state is refused within 0.3 seconds

  Scenario Outline: A client that is refused comes back soon, later after a long outage
    Given a decider whose store has been away for <away> seconds
    Then a client that is refused comes back after <after> seconds

    Examples:
      | away | after |
      | 0.6  | 2     |
      | 2.2  | 2     |
      | 4.5  | 3     |
      | 30   | 4     |

  Scenario Outline: After all processes were killed one of them takes over
    Given <count> processes that all start again, and a store that answers in <store> ms
    When the former decider <returns>
    Then one process takes over, in <most> seconds at the median

    Examples:
      | count | store | returns         | most |
      | 8     | 4     | returns         | 1.0  |
      | 8     | 360   | returns         | 1.3  |
      | 97    | 4     | returns         | 1.0  |
      | 97    | 360   | returns         | 1.3  |
      | 8     | 4     | does not return | 3.0  |
      | 97    | 360   | does not return | 5.0  |

  Scenario: A decider whose machine was suspended believes nothing from before
    Given a decider that was confirmed a moment ago
    When its machine is suspended for 9 seconds, which the steady clock leaves out
    Then it renews no lease, and asks the store before it answers

  Scenario: A connection that hung while it opened is opened anew soon after the path is back
    The system tries to open it after ever longer pauses, of 4 s and more after the first 7 s:
    a process refused all its clients for over 6 s after the links were good again, though it
    knew the decider ("leader_known" at 53:18.4, "no decider is known" until past 53:24.9).
    Given a process whose peer's machine drops what opens connections
    When it opens a connection there, and 7.5 seconds later the peer answers again
    Then the connection stands within 2 seconds
