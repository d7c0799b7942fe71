Feature: An evacuated data hall gets nothing further until it is taken back
  Operators write the order to the store. What runs in the hall goes on, what must run again
  goes elsewhere, and every decider knows the order before its first start.

  Scenario: Nothing starts in an evacuated hall, and what runs there goes on
    Given a shard of 2 halls with 2 boxes each
    And long tasks run in both halls
    When hall h1 is evacuated
    Then tasks of new jobs start in h2 alone
    And the long tasks in h1 still run
    When a task in h1 fails and must run again
    Then it runs again in h2

  Scenario: A hall that is taken back is used again
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And hall h1 is taken back
    Then tasks of new jobs start in both halls

  Scenario: A successor knows the order before its first start
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And jobs wait while the decider is killed and replaced
    Then tasks of new jobs start in h2 alone

  Scenario: A hall whose record is gone when the history is read anew is in use again
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And it is taken back while the decider hears nothing and the history is dropped
    Then tasks of new jobs start in both halls

  Scenario: Two halls one after the other, and the same one again at once
    Given a shard of 3 halls with 2 boxes each
    When hall h1 is evacuated
    And hall h2 is evacuated
    And hall h1 is taken back
    And hall h1 is evacuated
    Then tasks of new jobs start in h3 alone

  Scenario: A box that appears in an evacuated hall gets nothing
    Given a shard of 2 halls with 1 boxes each
    When hall h1 is evacuated
    And a box appears in h1
    Then tasks of new jobs start in h2 alone

  Scenario: Who can't hear operators for long starts nothing
    Given a shard of 2 halls with 2 boxes each
    When the decider hears nothing of operators for 2.4 seconds
    Then tasks of new jobs start in both halls
    When the decider hears nothing of operators for 0.3 seconds more
    Then tasks of new jobs start nowhere, and the log says why
    When the decider hears of operators again
    Then what waited starts

  Scenario: Starts that wait for their turn are withdrawn at once
    Given an order window that lets nothing go
    When starts wait for boxes a and b, and a is closed
    Then the starts for a have their turn now, stops and those for b wait on

  Scenario: A gang of which one member was withdrawn starts again whole, elsewhere
    Given a shard of 2 halls with 2 boxes each
    When a gang is placed over both halls and h1 is evacuated before its orders leave
    Then all its members run in h2, and none was left alone there

  Scenario: Advice that names only closed boxes is asked for again
    Given a shard of 2 halls with 1 boxes each
    When advice named a box of h1 alone, and h1 is evacuated
    Then the boxes of h2 are asked about

  Scenario: Slowed tasks are not moved into an evacuated hall
    Given a slowed task in h2 and idle boxes in h1 and h2
    Then it would move to a box
    When h1 is evacuated there
    Then it would move to the box in h2

  Scenario: Boxes that are slow from their start come last
    Given a shard of 2 halls with 1 boxes each
    When the box in h1 says that it is cold
    Then a small task starts in h2, and one that has no room there in h1

  Scenario Outline: An order that can't be read changes nothing and is named
    Then the operator's record <key> with <value> is refused, naming its key

    Examples:
      | key           | value |
      | evacuate/h1   | [1    |
      | evacuate/     | {}    |
      | config        | {"a   |

  Scenario: Through real processes, a kill and a hall taken back
    Given 3 nodes on the platform with 4 boxes
    When the operator evacuates hall-1
    Then a job's tasks start in hall-2 alone within a second
    And every log line of it names the hall, its boxes and tasks
    When the process that decides is killed
    Then a job's tasks start in hall-2 alone within a second
    When the operator writes an order that can't be read
    Then the decider's log names its key and its figures count one hall and one order
    When the operator takes hall-1 back
    Then a job's tasks start in both halls
