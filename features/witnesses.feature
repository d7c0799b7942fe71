Feature: Leases end a fixed time after a proof that their leader led, and boxes are witnesses of that

  A leader that the store does not confirm can't tell whether it has been replaced, and its
  successor can't tell whether it goes on. Boxes reject polls of earlier leaders, so a
  majority of a panel of them tells both.

  Scenario Outline: A lease ends a fixed time after the proof
    Given a box that answered its leader 1 s ago, with leases of 6 s
    When its lease is renewed on a proof that is <age> s old
    Then the lease ends in <left> s by the box's clock, and in <bound> s by the leader's
    And a renewal on the same proof that leaves 0.05 s later ends no later

    Examples:
      | age  | left | bound |
      | 0    | 6    | 6.48  |
      | 2.5  | 3.5  | 3.98  |
      | 5.9  | 0.1  | 0.58  |

  Scenario: A proof as old as a lease renews none
    Given a box that answered its leader 1 s ago, with leases of 6 s
    When its lease is renewed on a proof that is 6 s old
    Then the lease is not renewed

  Scenario Outline: The age of the newest proof
    A successor that reaches no majority of witnesses counts on 8 s and a lease.
    When the store confirmed a leader <store> s ago, and a majority of witnesses <witnesses>
    Then leases are renewed on a proof that is <age>

    Examples:
      | store | witnesses      | age      |
      | 0.1   | 1.5 s ago      | 0.1 s old |
      | 5     | 0.3 s ago      | 0.3 s old |
      | 5     | 7 s ago        | 5 s old  |
      | 5     | never          | 5 s old  |
      | 9     | 0.3 s ago      | 1 s old  |
      | 13    | 0.3 s ago      | 5 s old  |
      | 13    | 9 s ago        | 9 s old  |
      | 7.9   | do not exist   | 0 s old  |
      | 8.1   | do not exist   | missing  |

  Scenario Outline: A majority of the panel has accepted polls that were sent since the proof
    Given a panel of boxes <panel>
    When polls that were sent at these times are accepted: <polls>
    Then the proof is <proof>

    Examples:
      | panel     | polls                        | proof      |
      | a b c     | a 1, b 2, c 3                | from 2     |
      | a b c     | a 1, c 3                     | from 1     |
      | a b c     | c 3                          | from never |
      | a b c     | a 5, a 4, b 3                | from 3     |
      | a b c d e | a 1, b 2, c 3, d 4, e 5, x 9 | from 3     |

  Scenario Outline: A change of the panel that has no answer needs a majority of both panels
    Given a panel of boxes <before>
    When polls that were sent at these times are accepted: a 1, b 2, c 3, d 4, e 5
    And the panel is changed to boxes <after>, without an answer
    Then the proof is <meanwhile>
    When the change is known to be durable
    Then the proof is <then>

    Examples:
      | before | after | meanwhile | then         |
      | a b c  | c d e | from 2    | from 4       |
      | c d e  | a b c | from 2    | from 2       |
      | c d f  | a b c | from 2    | from 2       |
      | f g h  | c d e | from never | from 4      |
      | none   | a b c | from 2    | from 2       |
      | a b c  | none  | from 2    | not possible |

  Scenario: An answer to an earlier change does not release a later one
    Given a panel of boxes a b c
    When polls that were sent at these times are accepted: a 1, b 2, c 3, d 4, e 5
    And the panel is changed to boxes c d e, without an answer
    And an earlier change is known to be durable
    Then the proof is from 2

  Scenario Outline: Witnesses are spread over the data halls
    When witnesses are chosen among <boxes> boxes in <halls> halls
    Then there are <members> witnesses, at most <most> in one hall

    Examples:
      | boxes | halls | members | most |
      | 0     | 1     | 0       | 0    |
      | 1     | 1     | 0       | 0    |
      | 2     | 2     | 0       | 0    |
      | 3     | 1     | 3       | 3    |
      | 4     | 2     | 3       | 2    |
      | 6     | 3     | 5       | 2    |
      | 300   | 1     | 15      | 15   |
      | 300   | 3     | 15      | 5    |
      | 300   | 4     | 15      | 4    |

  Scenario Outline: No data hall has a majority of the witnesses, if there are more than two
    When witnesses are chosen among halls of <boxes> boxes
    Then there are <members> witnesses, at most <most> in one hall

    Examples:
      | boxes    | members | most |
      | 20, 3, 3 | 11      | 5    |
      | 12, 2, 1 | 5       | 2    |
      | 9, 1, 1  | 3       | 1    |
      | 4, 4, 1  | 9       | 4    |
      | 20, 1, 0 | 15      | 14   |
      | 10, 10   | 15      | 8    |
      | 5, 5, 5  | 15      | 5    |

  Scenario Outline: A successor relies on the panel that its predecessor's last words name
    Leases of 6 s, which a leader without the store renews for 8 s. A mark of an older version
    names no panel.
    Given 7 boxes, 5 of them on panel <stored> in the store, and a predecessor whose mark <mark>
    When <what> 1 s after the successor took over
    Then the inherited leases end in <wait> s, on the proof <proof>

    Examples:
      | stored | mark           | what                                           | wait  | proof     |
      | 7      | names panel 7  | nothing happens                                | 13.48 | none      |
      | 7      | names panel 7  | 2 witnesses answer                             | 13.48 | none      |
      | 7      | names panel 7  | 3 witnesses answer                             | 6.48  | witnesses |
      | 7      | names panel 7  | 2 witnesses answer, and one has ended          | 6.48  | witnesses |
      | 7      | names panel 7  | 2 witnesses answer, and a box that restarted   | 6.48  | witnesses |
      | 7      | names panel 7  | 2 witnesses answer, and 2 other boxes          | 13.48 | none      |
      | 7      | names panel 7  | 2 witnesses answer, and one rejects the poll   | 13.48 | none      |
      | 7      | names panel 7  | 2 witnesses answer, and one does not           | 13.48 | none      |
      | 7      | names panel 6  | 5 witnesses answer                             | 13.48 | none      |
      | 7      | names no panel | 5 witnesses answer                             | 13.48 | none      |
      | 7      | is not proved  | 5 witnesses answer                             | 17.6  | none      |
      | no     | names panel 7  | 5 witnesses answer                             | 13.48 | none      |
      | an unreadable | names panel 7 | 5 witnesses answer                      | 13.48 | none      |

  Scenario Outline: Proofs of a process's end and of witnesses go together in any order
    Given 7 boxes, 5 of them on panel 7 in the store, and a predecessor whose mark names panel 7
    When <first> 1 s after the successor took over
    And <second> 1 s later
    Then the inherited leases end in 5.48 s, on the proof <proof>

    Examples:
      | first                         | second                        | proof         |
      | the predecessor's process ends | 3 witnesses answer           | process ended |
      | 3 witnesses answer            | the predecessor's process ends | witnesses    |

  Scenario Outline: The panel bounds the leases of all earlier leaders if the mark says so
    Leases of leaders before the predecessor may run for 14 s from the take-over, on boxes that
    its mark names, and for 6 s on a box with a record.
    Given 7 boxes, 5 of them on panel 7 in the store, and a predecessor whose mark names panel 7 and <covers>
    When 3 witnesses answer 0.1 s after the successor took over
    Then leases of earlier leaders end within <named> s on a box that is named, and within <recorded> s on one with a record, <older> s with one of an older version

    Examples:
      | covers                     | named | recorded | older |
      | covers earlier leaders     | 6.48  | 5.9      | 6.48  |
      | covers no earlier leaders  | 13.9  | 5.9      | 10.5  |

  Scenario Outline: A mark says whether the panel bounds leases of earlier leaders
    Given 7 boxes, 5 of them on panel 7 in the store, and a predecessor whose mark names panel 7 and <covers>
    When <what> after the take-over
    Then the mark of the successor names panel <panel>, and <says>

    Examples:
      | covers                    | what                      | panel | says                      |
      | covers earlier leaders    | nothing happens for 0.1 s | 7     | covers earlier leaders    |
      | covers no earlier leaders | nothing happens for 0.1 s | 7     | covers no earlier leaders |
      | covers earlier leaders    | the panel is changed      | 8     | covers no earlier leaders |
      | covers no earlier leaders | nothing happens for 15 s  | 7     | covers earlier leaders    |

  Scenario: A leader with longer leases than its predecessor's says nothing of earlier ones
    The predecessor's mark covers leases of 10 s, and this leader's last 6 s.
    Given 7 boxes, 5 of them on panel 7 in the store, and a predecessor with leases of 10 s whose mark names panel 7 and covers earlier leaders
    When nothing happens for 0.1 s after the take-over
    Then the mark of the successor names panel 7, and covers no earlier leaders

  Scenario: The version of a new panel is higher than one that can't be read
    Given 7 boxes, 5 of them on panel an unreadable in the store, and a predecessor whose mark names panel 7
    When all boxes answer 0.1 s after the successor took over
    Then the panel that it writes has version 8, and 7 members

  Scenario: Older versions read what newer ones write
    They ignore what a mark says of witnesses, and count the panel's record among those that
    the digest is about.
    Given a leader whose mark names panel 1000000000 and covers earlier leaders, with a panel of 15 boxes
    Then a version that knows no witnesses reads the same digest and mark
    And the digest fits into the bytes that are kept for it

  Scenario: A mark of an older version names no panel
    Given a mark as versions without witnesses write it
    Then it is read as one that names no panel, and covers no earlier leaders

  Scenario: The polls of a leader count from when they are sent
    Given a poller of a witness whose answers take 0.4 s
    When a poll is answered
    Then the evidence is from when the poll was sent, by the clock that goes on in a suspension

  Scenario Outline: Polls that a box has not accepted are no evidence
    Given a poller of a witness that <answers>
    When a poll is answered
    Then there is no evidence

    Examples:
      | answers                       |
      | gives no answer               |
      | rejects the epoch             |
      | is unwell                     |
      | is another incarnation        |

  Scenario Outline: Polls of witnesses wait less while the store does not confirm the leader
    Given a leader that the store confirmed <age> s ago
    When <box> is polled
    Then the box may wait for <wait> ms

    Examples:
      | age | box           | wait |
      | 0.3 | a witness     | 1500 |
      | 0.7 | a witness     | 300  |
      | 0.7 | another box   | 1500 |

  Scenario: Idle witnesses are polled as often as busy boxes
    Given a budget of 100 connections
    When 20 long polls are under way
    Then an idle box is polled at intervals, and an idle witness by long polls
    When 40 long polls are under way
    Then an idle witness is polled each 0.8 s, as a busy box is

  Scenario: A successor polls the witnesses first
    Given 300 boxes, the last 5 of them witnesses, and a leader that needs 3 ms for each call
    When it polls them for 1 seconds
    Then each witness was among the first 45 boxes polled

  Scenario: A process that stands still after its claim grants leases by the time of the claim
    Another process may have superseded the claim at any time since it was sent.
    Given a store that takes 400 ms for an append, and 3 boxes
    When a process claims an epoch, and stands still for 0.5 s before it leads
    Then its first proof is at least 0.9 s old

  Scenario: The load that a leader logs and shows as metrics names its panel
    Given a store that takes 5 ms for an append, and 3 boxes
    When a process has led for 1.5 s
    Then its load names a panel of 3 witnesses, and a proof that is at most 3 s old

  Scenario Outline: A leader goes on renewing leases while the store is away, for a limited time
    With leases of 3 s, renewed for 2 s without the store. Without witnesses the last poll in
    these 2 s counts, and polls wait for up to 1.5 s.
    Given a store that takes 5 ms for an append, and <boxes> boxes
    When a process has led for 1 s, and the store is away for 5.5 s from then
    Then the last lease that it grants ends <least> to 5.1 s after the store was last there
    And polls of witnesses waited for 0.3 s at most from 1 s after that on

    Examples:
      | boxes | least |
      | 2     | 3.4   |
      | 4     | 4.3   |

  Scenario Outline: An append proves what was so when it was sent, not when it was answered
    Given a store that answers the <which> attempt of an append 2 s after it was sent
    When a leader appends
    Then its proof is from when that attempt was sent

    Examples:
      | which  |
      | first  |
      | second |

  Scenario: Polls and starts rest on the same proof
    Given a leader whose proof is 1.7 s old
    When it polls a box, and starts a task there
    Then both leases are anchored at that proof
