Feature: A stand-in box follows the platform's specification
  Other tests judge runs by what these boxes report, so each of their rules is tested alone.
  Times are in seconds. The clock of box b is 2% slow and starts at 5000; its longest lease is
  4, it has room for 8 tasks, and a stop takes up to 0.9.

  Scenario: At most 500 ends are listed, the lowest numbers first
    Given box b after 600 runs that ended
    Then a poll lists the ends 1 to 500
    And a poll that acknowledges 500 lists the ends 501 to 600

  Scenario Outline: A start is rejected as <reason>, and the lease that it carries is <lease>
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 2 s
    When at 101.0 a start that is <reason> comes with a lease of 4 s
    Then it is rejected as "<reason>"
    And t.0.0.0 <runs> at 103.5

    Examples:
      | reason | lease   | runs      |
      | old    | applied | runs      |
      | room   | applied | runs      |
      | late   | ignored | has ended |
      | fence  | ignored | has ended |

  Scenario: A lease is limited to the longest one, and never shortened
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 60 s
    When at 100.5 a poll renews the lease for 1 s
    Then t.0.0.0 runs at 104.0
    And t.0.0.0 has ended at 104.2, as "lapsed"

  Scenario: A box's clock is slow, and starts at an arbitrary value
    Given box b that has just started at 100.0
    Then its clock shows 5000000 ms at 100.0 and 5098000 ms at 200.0

  Scenario: A run that is being stopped takes room until its end is listed
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 4 s
    When at 100.5 that run is stopped
    Then it is still running right after, and has ended as "stopped" within 0.9 s
    And no run up to 2 of t.0.0.0 is accepted any more

  Scenario Outline: An acknowledged end <counts> if the lease lapsed at <lapse>
    Once its lease has lapsed, a task may be started again elsewhere, whatever end the box
    reports later.
    Given box b that runs task t.0.0.0 run 1 since 100.0 with a lease of <lease> s
    When at 101.0 it ends as done, and at 103.0 its end is acknowledged
    Then its end <counts>

    Examples:
      | lease | lapse | counts        |
      | 4     | 104.1 | counts        |
      | 1.5   | 101.6 | doesn't count |

  Scenario Outline: The epoch of a long poll is checked <when>
    Given a served box that checks the epoch of long polls <when>
    When a newer epoch polls while a long poll of an older one waits
    Then the older one is answered with <status>

    Examples:
      | when       | status |
      | throughout | 409    |
      | on arrival | 200    |

  Scenario: A delayed command is carried out after newer calls, and marked
    Given a served box that answers no call for a moment
    When a start comes in that moment
    Then it gets no answer, and is carried out later, marked as delayed

  Scenario: Another incarnation answers in place of one that crashed
    Given a served box that runs a task
    When it crashes for a moment
    Then calls get no answer, then another incarnation answers 421 and lists nothing
    And the facts contain the run that crashed

  Scenario: A box that restarts under its id has no state of its earlier incarnation
    Given a served box that runs a task
    When it crashes for a moment, and restarts under its id
    Then calls under that id reach the new incarnation, which has no state of the earlier one
    And it is listed only after a while, under its id

  Scenario Outline: A box is acknowledged more ends than it has: <what>
    Given box b that applies an acknowledged number to "<what>"
    When it has ended 2 runs, is polled with 9 acknowledged, and ends 1 more
    Then its next poll lists the ends <listed>

    Examples:
      | what            | listed  |
      | those it has    | 3       |
      | later ones too  | none    |
      | its own numbers | 1, 2, 3 |
