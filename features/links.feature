Feature: Links between every two places can be disturbed
  Between two plain sockets, what each kind of fault does; then with real processes.

  Scenario: A link that is cut delivers nothing, and afterwards what was sent meanwhile
    Given a link from n1 to n2 with an open connection
    When the link is cut
    And n1 sends "a" on the open connection
    Then nothing arrives at n2 within 0.2 seconds
    And no new connection comes about within 0.2 seconds
    When the links are good again
    Then "a" arrives at n2 within 1 seconds
    And a new connection carries bytes both ways within 2.5 seconds

  Scenario: A link that is cut one way still delivers the other way
    Given a link from n1 to n2 with an open connection
    When the link is cut from n1 to n2 only
    And n1 sends "a" on the open connection
    And n2 sends "b" on the open connection
    Then "b" arrives at n1 within 1 seconds
    And nothing arrives at n2 within 0.2 seconds
    And no new connection comes about within 0.2 seconds

  Scenario: What a side sent before it closed arrives after the cut, and then the end
    Given a link from n1 to n2 with an open connection
    When the link is cut
    And n1 sends "a" on the open connection
    And n1 closes the open connection
    Then nothing arrives at n2 within 0.2 seconds
    When the links are good again
    Then "a" arrives at n2 within 1 seconds
    And n2 sees the end of the open connection

  Scenario: A link with a delay delivers that much later
    Given a link from n1 to n2 with an open connection
    When the link has the fault delay of 0.25 from n1 to n2 only
    And n2 sends "b" on the open connection
    And n1 sends "a" on the open connection
    Then "b" arrives at n1 within 0.2 seconds
    And "a" arrives at n2 after 0.25 to 1 seconds

  Scenario: A slow link delivers so many bytes a second
    Given a link from n1 to n2 with an open connection
    When the link has the fault slow of 20000 from n1 to n2 only
    And n1 sends 8000 bytes on the open connection
    Then all 8000 bytes arrive at n2 after 0.35 to 1.5 seconds

  Scenario: A link that is reset resets open connections and new ones
    Given a link from n1 to n2 with an open connection
    When the link has the fault reset
    Then n1 sees a reset of the open connection
    And a new connection is reset
    When the links are good again
    Then a new connection carries bytes both ways within 1 seconds

  Scenario: An answer is lost, and its connection stays silent
    Given a link from n1 to n2 with an open connection
    When the link has the fault lost_answer from n1 to n2 only
    And n1 sends "a" on the open connection
    Then "a" arrives at n2 within 1 seconds
    When n2 sends "b" on the open connection
    Then nothing arrives at n1 within 0.2 seconds
    When the links are good again
    And n2 sends "c" on the open connection
    Then nothing arrives at n1 within 0.2 seconds
    And a new connection carries bytes both ways within 1 seconds

  Scenario: What comes late is overtaken by what goes over a newer connection
    Given a link from n1 to n2 with an open connection
    When the link has the fault late of 0.4 from n1 to n2 only
    And n1 sends "a" on the open connection
    Then a new connection carries bytes both ways within 0.2 seconds
    And "a" arrives at n2 after 0.3 to 1 seconds

  Scenario: An answer comes late, after newer calls were answered
    Given a link from n1 to n2 with an open connection
    When the link has the fault late of 0.4 from n2 to n1 only
    And n1 sends "a" on the open connection
    Then "a" arrives at n2 within 0.2 seconds
    When n2 sends "b" on the open connection
    Then a new connection carries bytes both ways within 0.2 seconds
    And "b" arrives at n1 after 0.2 to 1 seconds

  Scenario: A data hall is cut off from all outside it, and not within
    Given places n1 and b1 in hall-1, n2 and b2 in hall-2, a store and a client
    Then a cut of hall-1 is about these ways
      | source | target |
      | n1     | b2     |
      | n1     | client |
      | n1     | n2     |
      | n1     | store  |
      | b1     | n2     |
    And a cut of hall-1 and hall-2 is about these ways
      | source | target |
      | n1     | b2     |
      | n1     | n2     |
      | b1     | n2     |

  Scenario Outline: A fault that can't be is refused by name before anything starts
    When a cluster is to start with the fault <fault>
    Then that is refused as <error>, naming <name>, and nothing was started

    Examples:
      | fault                                                | error            | name   |
      | {"kind":"cut","source":"n9","target":"n1"}           | UnknownLink      | n9     |
      | {"kind":"cut","source":"n1","target":"hall-9"}       | UnknownLink      | hall-9 |
      | {"kind":"cut","source":"b0","target":"b1"}           | UnknownLink      | b1     |
      | {"kind":"cut","source":"store","target":"client"}    | UnknownLink      | client |
      | {"kind":"cut","target":"n1"}                         | UnknownLink      | source |
      | {"kind":"flood","source":"n1","target":"n2"}         | UnknownFaultKind | flood  |
      | {"kind":"delay","source":"n1","target":"n2"}         | UnusableAmount   | 0.0    |
      | {"kind":"slow","source":"n1","target":"n2","amount":-1} | UnusableAmount | -1    |
      | {"kind":"cut","source":"n1","target":"n2","amount":2}  | UnusableAmount  | 2.0    |
      | {"kind":"late","source":"n1","target":"n2","amount":"x"} | UnusableAmount | x     |

  Scenario: Addresses are translated on their way, however the bytes are cut up
    Given a message of a process that names itself, the decider and a relay
    When it is sent to another process in pieces of 1, 7, 100 and 5000 bytes
    Then each address arrives as the reader's own, and all else as it was sent
    And so it does in the store's pages and records

  Scenario: Two runs beside each other have no address in common
    When 5 runs reserve addresses, each as if it were the first
    Then no two have an address in common

  Scenario: Real processes reach each other, the boxes and the store only through the proxy
    Given 3 processes and 4 boxes with links
    When a job of 2 steps is completed
    Then every open connection to a process, a box or the store is the proxy's

  Scenario: The decider is cut off from everybody for 2.5 seconds while a job runs
    Given 3 processes and 4 boxes with links
    When a job runs and the decider is cut off for 2.5 seconds
    Then another process decided meanwhile
    And the job is completed as every process tells
    And each task of the job was done once

  Scenario: A hall is cut off, and cutting off one that there is not is refused
    Given 3 processes and 4 boxes with links
    Then a cut of hall-9 is refused by its name, and a cut of n1 and n7 as well
    When hall-1 is cut off
    Then a call of a client to n1 is not answered, and one to n2 is

  Scenario: A proxy that dies is a fault of the rig
    Given 3 processes and 4 boxes with links
    When the proxy dies
    Then the run ends as a fault of the rig
    And so does the next fault that is asked for

  Scenario: A connection that the proxy itself can't carry is a fault of the rig
    Given a link from n1 to n2 with an open connection
    When the proxy fails over bytes that n1 sends
    Then it ends with that failure

  Scenario: Real processes and the links between them are disturbed from seed 7001
    When 4 real processes, 8 boxes, the store and all links are disturbed 30 times from seed 7001
    Then every promise that clients were given was kept
