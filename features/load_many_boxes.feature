Feature: Far more boxes than one leader's connections and processor can serve
  The leader's processor is the bottleneck: calls to boxes take it one after the other,
  and a call that times out has taken it for nothing.

  Scenario: Contact polls share a window, so that all boxes are reached
    Given 900 boxes, and a leader that needs 2 ms for each call
    When it polls them for 5 seconds
    Then it has reached 890 boxes at least, and at most 1 poll in 10 timed out

  Scenario: Without the window many polls time out
    Given 900 boxes, and a leader that needs 2 ms for each call
    When it polls them for 5 seconds, all at once
    Then at least 1 poll in 3 timed out

  Scenario: Boxes that are gone do not keep others from being reached
    Given 300 boxes, of which 200 are gone, and a leader that needs 1 ms for each call
    When it polls them for 4 seconds
    Then it has reached 100 boxes at least

  Scenario: Long polls hold a bounded share of the connections
    Given a budget of 1000 connections
    When 3000 boxes are polled, of which 900 are busy
    Then at most 400 long polls are under way, and no idle box gets one once 100 are
    And idle boxes are polled at most 60 times a second in total

  Scenario: An idle box that gets a task is polled again at once
    Given a poller of an idle box without a connection for long polls
    When a task is started there after 0.3 seconds
    Then the box is polled within 0.1 seconds

  Scenario: A box that gets a task during a poll is polled again at once
    Given a poller of an idle box without a connection for long polls
    When a task is placed and started there in the middle of a poll of 0.2 seconds
    Then the box is polled within 0.25 seconds

  Scenario: Connections are bounded, and the longest idle one is closed for another
    Given a caller that may have 5 connections open, and 9 boxes that listen
    When each box is called in turn
    Then all calls were answered, and 5 connections are open at most
    When all boxes are called at once, and answer late
    Then 5 were answered, the others not sent, and 5 connections are open at most

  Scenario: Lack of a descriptor for a peer's connection does not end the process
    Given a link to peers that may open 3 sockets
    When it connects to 6 peers
    Then it keeps those it reached, and reports once that others were not
