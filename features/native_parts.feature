Feature: Components of a process on the platform

  Scenario: An append without an answer is repeated under its sequence number
    Given a journal on a store that loses 2 answers
    When a decision is written
    Then the store holds it once, and its effect was released once

  Scenario: A slow store is not overloaded with repeats of the same append
    Given a journal on a store that takes 0.45 seconds for an append
    When a decision is written
    Then the store holds it once, and its effect was released once
    And that took no longer than 0.55 seconds

  Scenario: No two appends share a sequence number, and none is empty
    Given a journal on a store that loses 0 answers
    When the journal writes, confirms itself for a while, and then a decision is written
    Then the store holds it once, and its effect was released once
    And each append had records, and the sequence number after the last one

  Scenario: An append answered as a repeat of another writer's releases nothing
    Given a journal on a store that loses 0 answers
    When another writer has used the journal's next number, and a decision is written
    Then the journal has ended, and its effect was never released

  Scenario: No effect is released while the store is away, and a newer epoch ends the journal
    Given a journal on a store that loses 0 answers
    When the store is away, a decision is written, and a newer epoch starts
    Then the journal has ended, and its effect was never released

  Scenario: A restarted process does not take itself for the leader
    Given a process that the store names as the last leader
    Then it takes over without waiting for a report of that leader

  Scenario: A leader that was replaced leaves its successor time to take over
    It tried again at once, while its successor read the state, and replaced it in turn.
    Given a leader that hears from the store that another process has taken over
    Then it doesn't try to take over within 0.7 seconds
    And it does after 6 seconds if nobody reports as the leader

  Scenario: A silent leader is replaced by the first of its successors
    Given two successors of a leader that became silent
    Then the first is due at once and the second only after the first had time to take over

  Scenario: A successor that is taking over is given time
    Given two successors of a leader that became silent
    When the first of them reports that it is taking over
    Then the second waits for it, but not indefinitely

  Scenario: A process without any connection counts as isolated
    Given two successors of a leader that became silent
    When the first of them gets no more reports
    Then it counts as isolated

  Scenario: Two candidates never share an epoch
    Then the epochs that two addresses choose differ, and are above the last

  Scenario Outline: A refusal is passed on only if the request can't have taken effect
    Given a request that was sent <sent> and then refused
    Then the client is answered <status>

    Examples:
      | sent                  | status |
      | once                  | 503    |
      | twice                 | 504    |
      | to two leaders        | 504    |

  Scenario: A request is sent on to the leader's successor
    Given a request whose leader is lost without an answer
    When a successor is known
    Then the request goes to the successor, and its answer to the client

  Scenario: A request whose leader was lost is answered before its deadline
    Given a request whose leader is lost without an answer
    When no successor takes over
    Then the client is answered 504 within 1.5 seconds, so that it can retry

  Scenario: Without a leader a request is refused soon, with a time to retry after
    Given a request while no leader is known
    Then it is refused within 1.2 seconds with a time to retry after

  Scenario: The sensitivity of pairs is estimated from tasks of the same step
    Given six serving tasks of one step, three beside an image that slows them down
    Then only the pair with that image is found to be of high sensitivity
    And a successor that restores the stored rows classifies both pairs alike

  Scenario: Tolerable slowdown goes to one task of high sensitivity at a time
    Given a box whose serving tasks tolerate little slowdown
    Then pairs of low sensitivity run at full pace, one of high at what is left
    And no further one of high sensitivity may run there: the slowed ones count

  Scenario: Best-effort tasks are paused beside a task that stays over its target
    Given a serving task over its target beside an image estimated as harmless
    Then best-effort tasks are paused within 2 seconds, and not before 1.5
    And one measurement below the target changes nothing, and none may run there

  Scenario: Decoders accept any bytes and return a job or a defined error
    Then any body gives a submission or invalid input, and any record a config or an error

  Scenario: A settings file names every problem at once
    Then a settings file with four problems names all four, and unknown keys are ignored

  Scenario: The log is bounded and never blocks
    Given a log whose reader does not read
    Then ten thousand events are written without blocking, and the drops are counted

  Scenario: Many commands to one box are sent a few at a time
    Given a box that counts the commands it gets at once
    When thirty stop commands are sent together
    Then all thirty arrive, and never more than 4 at once

  Scenario: A new leader is not replaced because its predecessor lost the store
    Given a process cut off with a leader that has lost the store
    When another process reports a newer leader
    Then it does not take over from that one at once

  Scenario: A process in the minority partition asks the store before it takes over
    Given a process with reports of 3 of 9 others, and of no leader
    Then it asks the store whether a leader is active
    Given a process with reports of 4 of 9 others, and of no leader
    Then it takes over without asking

  Scenario: A partition that has just healed is no reason to take over
    Given a process with reports of 3 of 9 others, and of no leader
    Then it asks the store whether a leader is active
    When all others report again, the leader last
    Then it still asks the store for a while

  Scenario: A leader on a small machine hands over to a process on a much larger one
    Given a leader of half a core that gets reports of a ready process of two cores
    Then it hands over once it has led for a while without a change, and not before

  Scenario: A request to a leader that has just handed over goes to its successor
    Given a session that has ended
    Then it leaves a request to its successor instead of refusing it

  Scenario Outline: A process that ends answers the open requests correctly
    Given a request that <state> when its process ends
    Then the client is answered <status> at once

    Examples:
      | state                        | status |
      | was sent to no leader        | 503    |
      | was sent and is not answered | 504    |

  Scenario: A leader that stops right after the start names a successor
    Given a leader whose peers have not reported yet that they are ready
    Then it still names one of them as its successor

  Scenario: A leader that stops before any message of a peer names a successor
    Given a leader that knows its peers from the store alone
    Then it names the first of them as its successor

  Scenario: A forwarded request that exceeds its deadline does not end the leader
    Given a leader whose answers take 0.5 seconds
    When a request with 0.05 seconds left is forwarded to it, and then one with 2 seconds
    Then the second is answered, and no answer to the first is sent

  Scenario: A request that is forwarded again while it is answered is answered once
    Given a leader whose answers take 0.5 seconds
    When the same request is forwarded to it 3 times, and another one once
    Then each is decided about once, and answered once

  Scenario: A process to which others forward requests as it starts does start
    Guards against the former leader ending with an AttributeError as it starts after a
    power loss of all machines: the others still take it for the leader, and forward it
    clients' requests before it has its task group.
    When a process starts to which others forward requests already
    Then it is registered, and sends the others no answer
