Feature: A stand-in box answers as the platform's page says
  What runs are judged by rests on these boxes, so each rule of theirs is shown by itself.
  Times are in seconds; b is a box whose clock is 2% slow and began at 5000, whose longest
  lease is 4, with room for 8 tasks, and whose stops last up to 0.9.

  Scenario: At most 500 ends are listed, the lowest numbers first
    Given box b after 600 runs that ended
    Then a look lists the ends 1 to 500
    And a look that confirms 500 lists the ends 501 to 600

  Scenario Outline: A start is refused as <reason>, and its lease is <lease>
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 2 s
    When at 101.0 a start that is <reason> comes with a lease of 4 s
    Then it is refused as "<reason>"
    And t.0.0.0 <runs> at 103.5

    Examples:
      | reason | lease | runs     |
      | old    | taken | runs     |
      | room   | taken | runs     |
      | late   | none  | has ended |
      | fence  | none  | has ended |

  Scenario: A lease is cut to the longest, and never shortened
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 60 s
    When at 100.5 a look renews the lease for 1 s
    Then t.0.0.0 runs at 104.0
    And t.0.0.0 has ended at 104.2, as "lapsed"

  Scenario: A box's clock is slow, and began somewhere
    Given box b that was just born at 100.0
    Then its clock shows 5000000 ms at 100.0 and 5098000 ms at 200.0

  Scenario: A run that is stopped stays until its end is listed, and takes room
    Given box b that runs task t.0.0.0 run 2 since 100.0 with a lease of 4 s
    When at 100.5 that run is stopped
    Then it is still running right after, and has ended as "stopped" within 0.9 s
    And no run up to 2 of t.0.0.0 is taken any more

  Scenario Outline: An end that was noted <counts> after a lapse of the lease at <lapse>
    Nobody knows what a box did before its lease lapsed: its task may run again, whatever end
    is told and noted later.
    Given box b that runs task t.0.0.0 run 1 since 100.0 with a lease of <lease> s
    When at 101.0 it ends as done, and at 103.0 its end is noted
    Then its end <counts>

    Examples:
      | lease | lapse | counts        |
      | 4     | 104.1 | counts        |
      | 1.5   | 101.6 | doesn't count |

  Scenario Outline: A look that waits is checked <when>
    Given a served box that checks looks that wait <when>
    When a newer epoch looks while a look of an older one waits
    Then the older one is answered with <status>

    Examples:
      | when           | status |
      | all the while  | 409    |
      | as they arrive | 200    |

  Scenario: A late order is carried out after newer ones, and marked
    Given a served box that answers no call for a moment
    When a start comes in that moment
    Then it gets no answer, and is carried out later, marked as held up

  Scenario: Another life answers in the place of one that crashed
    Given a served box that runs a task
    When it crashes for a moment
    Then calls get no answer, then another life answers 421 and lists nothing
    And the facts tell of the run that crashed

  Scenario: A box that starts again under its id knows nothing of before
    Given a served box that runs a task
    When it crashes for a moment, and starts again under its id
    Then calls under that id reach the new life, which knows nothing of the one before
    And it is in the list only after a while, under its id

  Scenario Outline: What a number of known ends means to a box that has fewer: <what>
    Given box b that takes a number of known ends for "<what>"
    When it has ended 2 runs, is told that 9 are known, and ends 1 more
    Then its next look lists the ends <listed>

    Examples:
      | what            | listed  |
      | those it has    | 3       |
      | later ones too  | none    |
      | its own numbers | 1, 2, 3 |
