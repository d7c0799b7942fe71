Feature: The parts of the platform's path, each by itself

  Scenario: An append without an answer is repeated under its number
    Given a journal on a store that loses 2 answers
    When a decision is written
    Then the store holds it once, and its effect was let go once

  Scenario: A slow store is not kept busy with the same append again and again
    Given a journal on a store that takes 0.45 seconds for an append
    When a decision is written
    Then the store holds it once, and its effect was let go once
    And that took no longer than 0.55 seconds

  Scenario: No two appends have a number in common, and none is empty
    Given a journal on a store that loses 0 answers
    When the journal writes, confirms itself for a while, and then a decision is written
    Then the store holds it once, and its effect was let go once
    And each append had records, and a number of its own that followed the last

  Scenario: An append that was answered as another's repeat lets nothing go
    Given a journal on a store that loses 0 answers
    When somebody else has written under the journal's next number, and a decision is written
    Then the journal has ended, and its effect was never let go

  Scenario: Nothing is let go while the store is away, and a newer epoch ends it
    Given a journal on a store that loses 0 answers
    When the store is away, a decision is written, and a newer epoch comes
    Then the journal has ended, and its effect was never let go

  Scenario: A restarted process does not believe that it still decides
    Given a process that the store names as the last decider
    Then it takes over by itself instead of waiting for itself

  Scenario: A silent decider is replaced by the first of its successors
    Given two successors of a decider that fell silent
    Then the first is due at once and the second only after it had its chance

  Scenario: A successor that is taking over is left the time
    Given two successors of a decider that fell silent
    When the first of them says that it is taking over
    Then the second waits for it, but not for ever

  Scenario: A process that hears nobody is known to be cut off
    Given two successors of a decider that fell silent
    When the first of them hears nobody any more
    Then it counts as isolated

  Scenario: Two candidates never share an epoch
    Then the epochs that two addresses choose differ, and are above the last

  Scenario Outline: A refusal is passed on only if it is true
    Given a request that was sent <sent> and then refused
    Then the client is told <status>

    Examples:
      | sent                  | status |
      | once                  | 503    |
      | twice                 | 504    |
      | to two deciders       | 504    |

  Scenario: A request follows the decider to its successor
    Given a request whose decider dies without an answer
    When a successor is known
    Then the successor is asked and its answer is passed on

  Scenario: A request whose decider died is not held to its deadline
    Given a request whose decider dies without an answer
    When no successor comes
    Then the client is told 504 within 1.5 seconds, so that it can ask again

  Scenario: Without a decider a request is refused soon, with a time to come back
    Given a request when no decider is known
    Then it is refused within 1.2 seconds with a time to come back

  Scenario: Strengths of pairs are found from siblings
    Given six serving tasks of one step, three beside an image that disturbs
    Then the disturbing image is found, and the harmless one is not blamed
    And a successor that takes up what was written knows it too

  Scenario: Room for what disturbs goes to one at a time
    Given a box with serving tasks that bear little
    Then weak ones run at full pace, and one strong one gets what is left
    And a strong one is not sent there as if those that wait there were not

  Scenario: What fills stands still beside a task that stays over its target
    Given a serving task that is over its target beside an image held for harmless
    Then what fills is slowed to a stand within 2 seconds, and not before 1.5
    And it stays so over one figure below the target, and nothing more is sent there

  Scenario: Decoders take any bytes and answer with a job or a clear refusal
    Then any body gives a submission or invalid input, and any record a config or an error

  Scenario: A settings file names every problem at once
    Then a settings file with three problems names all three, and unknown keys are fine

  Scenario: The log is bounded and never blocks
    Given a log whose reader does not read
    Then ten thousand events are written in no time, and the drops are counted

  Scenario: A wave of orders to one box goes out a few at a time
    Given a box that counts the orders it is given at once
    When thirty stops are ordered together
    Then all thirty arrived, and never more than 4 at once

  Scenario: A new decider is not blamed for the store that its predecessor lost
    Given a process cut off with a decider that has lost the store
    When it hears from others of a newer decider
    Then it does not take over from that one at once

  Scenario: A process in the smaller part of a cut asks the store before it takes over
    Given a process that hears 3 of 9 others, and no decider
    Then it asks the store whether a decider is at work
    Given a process that hears 4 of 9 others, and no decider
    Then it takes over without asking

  Scenario: A cut that has just healed is no reason to take over
    Given a process that hears 3 of 9 others, and no decider
    Then it asks the store whether a decider is at work
    When all others are heard again, the decider last
    Then it still asks the store, for a while

  Scenario: A decider on a small machine hands over to a much larger one
    Given a decider of half a core that hears a ready process of two cores
    Then it hands over once it has decided calmly for a while, and not before

  Scenario: A request that meets a decider that has just handed over goes to the next
    Given a session that is over
    Then it refuses no request, but leaves it to its successor

  Scenario Outline: A process that ends answers what still waits, and truthfully
    Given a request that <state> when its process ends
    Then the client is told <status> at once

    Examples:
      | state                        | status |
      | was sent to no decider       | 503    |
      | was sent and is not answered | 504    |

  Scenario: A decider that stops right after the start asks somebody to go on
    Given a decider whose peers have not said yet that they are ready
    Then it still names one of them as its heir

  Scenario: A decider that stops before it has heard anybody asks somebody it knows of
    Given a decider that knows its peers from the store alone
    Then it names the first of them as its heir

  Scenario: A forwarded request that is not answered in its time leaves the decider at work
    Given a decider whose answers take 0.5 seconds
    When a request with 0.05 seconds left is forwarded to it, and then one with 2 seconds
    Then the second is answered, and nothing was said of the first

  Scenario: A process to which others forward requests as it starts goes to work
    After all had lost power, the one that had decided before ended as it started, since the
    others, who took it for the decider, had sent it clients' requests already. Its last lines:

      File "node.py", line 262, in _peer_loop
        self._tasks.start_soon(self._forwarded, sender, message)
      AttributeError: 'Node' object has no attribute '_tasks'
    When a process starts to which others forward requests already
    Then it is at work, and leaves it to the others whom they ask next
