Feature: Far more boxes than one decider's connections and processor bear
  The decider's own processor is the bound: each call to a box takes some of it, one after the
  other, and a call that is given up has taken it in vain.

  Scenario: First looks wait for each other, so that all boxes are reached
    Given 900 boxes, and a decider that needs 2 ms for each call
    When it looks at them for 5 seconds
    Then it has reached 890 boxes at least, and at most 1 look in 10 was given up

  Scenario: Without turns most looks are given up
    Given 900 boxes, and a decider that needs 2 ms for each call
    When it looks at them for 5 seconds, all at once
    Then at least 1 look in 3 was given up

  Scenario: Boxes that are gone do not keep others from being reached
    Given 300 boxes, of which 200 are gone, and a decider that needs 1 ms for each call
    When it looks at them for 4 seconds
    Then it has reached 100 boxes at least

  Scenario: Looks that wait hold a bounded part of the connections
    Given a budget of 1000 connections
    When 3000 boxes are looked at, of which 900 work
    Then 400 looks wait at most, and no idle box's once 100 do
    And idle boxes are looked at 60 times a second in all

  Scenario: A box that gets work is looked at again at once
    Given a keeper of an idle box for which there is no connection to wait on
    When a task is started there after 0.3 seconds
    Then the box is looked at within 0.1 seconds

  Scenario: A box that gets work while it is looked at is looked at again at once
    Given a keeper of an idle box for which there is no connection to wait on
    When a task is placed and started there in the middle of a look of 0.2 seconds
    Then the box is looked at within 0.25 seconds

  Scenario: Connections of calls are bounded, the longest idle is closed for another
    Given a caller that may have 5 connections open, and 9 boxes that listen
    When each box is called in turn
    Then all calls were answered, and 5 connections are open at most
    When all boxes are called at once, and answer late
    Then 5 were answered, the others not sent, and 5 connections are open at most

  Scenario: No descriptor for a peer's connection does not end the process
    Given a link to peers that may open 3 sockets
    When it connects to 6 peers
    Then it goes on with those it reached, and says once that others were not
