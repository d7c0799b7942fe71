Feature: An evacuated data hall gets no starts until it is restored
  Operators write a directive to the store. Tasks that run in the hall continue, tasks that must
  run again start elsewhere, and every leader reads the directive before its first start.

  Scenario: Nothing starts in an evacuated hall, and tasks that run there go on
    Given a shard of 2 halls with 2 boxes each
    And long tasks run in both halls
    When hall h1 is evacuated
    Then tasks of new jobs start in h2 alone
    And the long tasks in h1 still run
    When a task in h1 fails and must run again
    Then it runs again in h2

  Scenario: A restored hall is used again
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And hall h1 is restored
    Then tasks of new jobs start in both halls

  Scenario: A successor knows the directive before its first start
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And jobs wait while the leader is killed and replaced
    Then tasks of new jobs start in h2 alone

  Scenario: A hall whose record was deleted is used again after all records are read again
    Given a shard of 2 halls with 2 boxes each
    When hall h1 is evacuated
    And it is restored while the leader reads nothing and the history is dropped
    Then tasks of new jobs start in both halls

  Scenario: Two halls are evacuated in turn, and one again right after it was restored
    Given a shard of 3 halls with 2 boxes each
    When hall h1 is evacuated
    And hall h2 is evacuated
    And hall h1 is restored
    And hall h1 is evacuated
    Then tasks of new jobs start in h3 alone

  Scenario: A box that appears in an evacuated hall gets no starts
    Given a shard of 2 halls with 1 boxes each
    When hall h1 is evacuated
    And a box appears in h1
    Then tasks of new jobs start in h2 alone

  Scenario: A leader that can't read directives for long starts nothing
    Given a shard of 2 halls with 2 boxes each
    When the leader reads no directives for 2.4 seconds
    Then tasks of new jobs start in both halls
    When the leader reads no directives for 0.3 seconds more
    Then tasks of new jobs start nowhere, and the log says why
    When the leader reads directives again
    Then the waiting tasks start

  Scenario: Starts that are queued in the command window are withdrawn at once
    Given a command window that lets nothing pass
    When starts wait for boxes a and b, and a is closed
    Then the starts for a get their turn now, stops and those for b keep waiting

  Scenario: A gang of which one member was withdrawn starts again whole, elsewhere
    Given a shard of 2 halls with 2 boxes each
    When a gang is placed in both halls and h1 is evacuated before its starts are sent
    Then all its members run in h2, under one run number

  Scenario: Advice that names only closed boxes is asked for again
    Given a shard of 2 halls with 1 boxes each
    When advice names only a box of h1, and h1 is evacuated
    Then advice is asked for the boxes of h2

  Scenario: Slowed tasks are not moved into an evacuated hall
    Given a slowed task in h2 and idle boxes in h1 and h2
    Then it would move to a box
    When h1 is evacuated there
    Then it would move to the box in h2

  Scenario: Cold boxes, which are slow after their start, are used last
    Given a shard of 2 halls with 1 boxes each
    When the box in h1 reports that it is cold
    Then a small task starts in h2, and one that has no room there in h1

  Scenario Outline: A malformed record of an operator is refused
    Then the operator's record <key> with <value> is refused, naming its key

    Examples:
      | key           | value |
      | evacuate/h1   | [1    |
      | evacuate/     | {}    |
      | config        | {"a   |

  Scenario: Real processes apply an evacuation through a kill, and a restore
    Given 3 nodes on the platform with 4 boxes
    When the operator evacuates hall-1
    Then a job's tasks start in hall-2 alone within a second
    And every log line of the evacuation names the hall and its number of boxes
    When the leading process is killed
    Then a job's tasks start in hall-2 alone within a second
    When the operator writes a malformed directive
    Then the leader's log names its key, its metrics count one hall and one directive
    When the operator restores hall-1
    Then a job's tasks start in both halls
