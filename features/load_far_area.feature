Feature: A burst of starts to boxes of two areas, 20 ms apart, with a shared link between
  Half of the boxes answer after 0.3 ms, the others after 40 ms. A command on a new
  connection takes three round trips. Callers expect a first start within 2 s.

  Scenario: Boxes of both areas are full within two seconds
    Given 123 boxes in the leader's area and 123 in another, with 30 Mbit/s between
    When 2500 starts of 2400 bytes are placed as fast as they can be sent
    Then all starts were answered within 2 seconds
    And no start waited over 0.5 seconds for the link

  Scenario: A smaller link between the areas does not delay starts in the own one
    Given 123 boxes in the leader's area and 123 in another, with 5 Mbit/s between
    When 2500 starts of 2400 bytes are placed as fast as they can be sent
    Then all starts in the own area were answered within 1 second
    And no start waited over 0.5 seconds for the link

  Scenario: Stops of tasks far away wait for no more starts than the link takes soon
    Given 123 boxes in the leader's area and 123 in another, with 5 Mbit/s between
    When 2500 starts of 2400 bytes are placed as fast as they can be sent
    And 20 tasks are stopped far away 0.7 seconds later
    Then the stops were answered within 0.6 seconds

  Scenario: A data hall that is farther than others of its area is no slow link
    Given a command window that sent 300 commands, answered in 5 ms each
    When 200 commands to another data hall are answered in 95 ms each
    Then it still allows at least 32 commands in flight

  Scenario: Where there is one area, it has one window for all data halls
    Given paths to the data halls a1, a2 and a3 of one area
    Then they share a window, and the load of paths names none

  Scenario: Paths with equal claims share the commands in flight equally
    Given 100 queued starts to each of two areas, with 60 commands in flight in all
    Then 30 commands to each of them are in flight
    And a stop goes next, whichever path it is for

  Scenario: A pass places tasks on no path beyond what can be sent there soon
    Given a scheduler with 10 boxes in each of two areas, and 40 waiting tasks
    When a pass may start 15 tasks in the own area and 5 in the other
    Then it starts 15 tasks in the own area and 5 in the other
    And the plain search makes the same starts

  Scenario: A step that fits only where nothing can be sent waits
    Given a scheduler with 10 boxes in each of two areas, and 40 waiting tasks
    When a pass may start 15 tasks in the own area and 0 in the other
    Then it starts 15 tasks in the own area and 0 in the other
    And the next pass counts as cut short
