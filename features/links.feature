Feature: Faults can be injected into the link between any two places
  First the effect of each kind of fault between plain sockets, then real processes.

  Scenario: A cut link delivers nothing, and after the cut what was sent during it
    Given a link from n1 to n2 with an open connection
    When the link is cut
    And n1 sends "a" on the open connection
    Then nothing arrives at n2 within 0.2 seconds
    And no new connection is established within 0.2 seconds
    When the links are healed
    Then "a" arrives at n2 within 1 seconds
    And a new connection carries bytes in both directions within 2.5 seconds

  Scenario: A link that is cut in one direction still delivers in the other
    Given a link from n1 to n2 with an open connection
    When the link is cut from n1 to n2 only
    And n1 sends "a" on the open connection
    And n2 sends "b" on the open connection
    Then "b" arrives at n1 within 1 seconds
    And nothing arrives at n2 within 0.2 seconds
    And no new connection is established within 0.2 seconds

  Scenario: Bytes sent before a close arrive after the cut, and then the end
    Given a link from n1 to n2 with an open connection
    When the link is cut
    And n1 sends "a" on the open connection
    And n1 closes the open connection
    Then nothing arrives at n2 within 0.2 seconds
    When the links are healed
    Then "a" arrives at n2 within 1 seconds
    And n2 sees the end of the open connection

  Scenario: A link with a delay delivers later by the delay
    Given a link from n1 to n2 with an open connection
    When the link has the fault delay of 0.25 from n1 to n2 only
    And n2 sends "b" on the open connection
    And n1 sends "a" on the open connection
    Then "b" arrives at n1 within 0.2 seconds
    And "a" arrives at n2 after 0.25 to 1 seconds

  Scenario: A slow link delivers at most its amount of bytes per second
    Given a link from n1 to n2 with an open connection
    When the link has the fault slow of 20000 from n1 to n2 only
    And n1 sends 8000 bytes on the open connection
    Then all 8000 bytes arrive at n2 after 0.35 to 1.5 seconds

  Scenario: A link that is reset resets open connections and new ones
    Given a link from n1 to n2 with an open connection
    When the link has the fault reset
    Then n1 sees a reset of the open connection
    And a new connection is reset
    When the links are healed
    Then a new connection carries bytes in both directions within 1 seconds

  Scenario: A connection that lost an answer delivers no later answer either
    Given a link from n1 to n2 with an open connection
    When the link has the fault lost_answer from n1 to n2 only
    And n1 sends "a" on the open connection
    Then "a" arrives at n2 within 1 seconds
    When n2 sends "b" on the open connection
    Then nothing arrives at n1 within 0.2 seconds
    When the links are healed
    And n2 sends "c" on the open connection
    Then nothing arrives at n1 within 0.2 seconds
    And a new connection carries bytes in both directions within 1 seconds

  Scenario: Late bytes are overtaken by those on a newer connection
    Given a link from n1 to n2 with an open connection
    When the link has the fault late of 0.4 from n1 to n2 only
    And n1 sends "a" on the open connection
    Then a new connection carries bytes in both directions within 0.2 seconds
    And "a" arrives at n2 after 0.3 to 1 seconds

  Scenario: A late answer arrives after those to newer calls
    Given a link from n1 to n2 with an open connection
    When the link has the fault late of 0.4 from n2 to n1 only
    And n1 sends "a" on the open connection
    Then "a" arrives at n2 within 0.2 seconds
    When n2 sends "b" on the open connection
    Then a new connection carries bytes in both directions within 0.2 seconds
    And "b" arrives at n1 after 0.2 to 1 seconds

  Scenario: A cut of a data hall affects links to the outside, not those within
    Given places n1 and b1 in hall-1, n2 and b2 in hall-2, a store and a client
    Then a cut of hall-1 affects these directions
      | source | target |
      | n1     | b2     |
      | n1     | client |
      | n1     | n2     |
      | n1     | store  |
      | b1     | n2     |
    And a cut of hall-1 and hall-2 affects these directions
      | source | target |
      | n1     | b2     |
      | n1     | n2     |
      | b1     | n2     |

  Scenario Outline: An invalid fault is refused with its error before anything starts
    When a cluster is started with the fault <fault>
    Then the fault is refused as <error>, naming <name>, and nothing was started

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

  Scenario: Addresses are translated in transit, in whatever pieces the bytes arrive
    Given a message of a process that names itself, the leader and a relay
    When it is sent to another process in pieces of 1, 7, 100 and 5000 bytes
    Then each address arrives translated for the receiver, and all else unchanged
    And the same holds for the store's pages and records

  Scenario: Concurrent runs have no address in common
    When 5 runs reserve addresses, each from the same first candidate
    Then no two have an address in common

  Scenario: Real processes reach each other, the boxes and the store only through the proxy
    Given 3 processes and 4 boxes with links
    When a job of 2 steps is completed
    Then every open connection to a process, a box or the store is the proxy's

  Scenario: The leader is isolated for 2.5 seconds while a job runs
    Given 3 processes and 4 boxes with links
    When a job runs and the leader is cut off for 2.5 seconds
    Then another process was the leader meanwhile
    And the job is completed at every process
    And each task of the job was done once

  Scenario: A data hall is cut off, and a cut of an unknown one is refused
    Given 3 processes and 4 boxes with links
    Then a cut of hall-9 is refused with its name, and a cut of n1 and n7 as well
    When hall-1 is cut off
    Then a call of a client to n1 is not answered, and one to n2 is

  Scenario: The end of the proxy is a fault of the rig
    Given 3 processes and 4 boxes with links
    When the proxy dies
    Then the run ends as a fault of the rig
    And so does the injection of a fault

  Scenario: An error of the proxy on a connection is a fault of the rig
    Given a link from n1 to n2 with an open connection
    When the proxy fails over bytes that n1 sends
    Then the proxy ends with that error

  Scenario: Random faults of processes and links from seed 7001 break no promise
    When 4 real processes, 8 boxes, the store and all links are disturbed 30 times from seed 7001
    Then every promise that clients were given was kept
