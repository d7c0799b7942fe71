Feature: Connections that hang without a reset, while new ones work

  Scenario: After an unanswered call no open connection is used again
    Given an endpoint to which 6 connections are open
    When they all hang
    Then the second call after that is answered over a new connection

  Scenario: An append whose connection hangs is answered over a new one
    Given a store to which 6 connections are open
    When they all hang
    Then a decision is written within 0.4 seconds

  Scenario: A peer whose connection hangs is reached again
    Given two processes whose messages pass through a proxy
    When the proxy stops forwarding on the connections it has
    Then messages arrive again within 2.2 seconds

  Scenario: A request that needs the store is refused as soon as the store is known to be unavailable
    Given a leader whose store has been unavailable for 1 seconds
    Then a query for the state of a job is refused within 0.3 seconds

  Scenario Outline: A refused client is told to retry soon, and later in a long outage
    Given a leader whose store has been unavailable for <away> seconds
    Then a refused client is told to retry after <after> seconds

    Examples:
      | away | after |
      | 0.6  | 2     |
      | 2.2  | 2     |
      | 4.5  | 3     |
      | 30   | 4     |

  Scenario Outline: After all processes were killed exactly one takes over
    Given <count> processes that all start again, and a store that answers in <store> ms
    When the former leader <returns>
    Then one process takes over, within a median of <most> seconds

    Examples:
      | count | store | returns         | most |
      | 8     | 4     | returns         | 1.0  |
      | 8     | 360   | returns         | 1.3  |
      | 97    | 4     | returns         | 1.0  |
      | 97    | 360   | returns         | 1.3  |
      | 8     | 4     | does not return | 3.0  |
      | 97    | 360   | does not return | 5.0  |

  Scenario: A leader whose machine was suspended relies on no earlier confirmation
    Given a leader that was confirmed a moment ago
    When its machine is suspended for 9 seconds, which the monotonic clock does not count
    Then it renews no lease, and asks the store before it answers

  Scenario: A connection that hung while opening is opened again soon after the path is back
    The operating system retries after ever longer pauses, of 4 s and more after the first
    7 s: a process refused all its clients for over 6 s after the links were good again,
    although it knew the leader ("leader_known").
    Given a process whose peer's machine drops what opens connections
    When it opens a connection there, and 7.5 seconds later the peer answers again
    Then the connection stands within 2 seconds
