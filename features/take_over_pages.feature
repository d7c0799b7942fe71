Feature: A take-over reads all that the store holds, page by page
  The store tells the newest records in pages. A limit of 200 pages ended every take-over
  once the jobs filled more, and nobody decided any more: no job could end, so that the
  records stayed.

  Scenario: A decider is replaced while the jobs' records fill 250 pages
    Given 2 nodes on the platform with 1 boxes
    When records of ended jobs fill 250 pages and the decider is killed
    Then another one takes over with all of them within 10 seconds, and a job completes

  Scenario Outline: Records are all read, each once, whatever the size of the pages
    Given a store with 1203 records of ended jobs on pages of <size>
    When a decider takes over
    Then it knows all jobs, and asked for each page once

    Examples:
      | size |
      | 2    |
      | 50   |
      | 500  |

  Scenario Outline: A page that makes no progress ends the read with its reason
    Given a store with 20 records of ended jobs on pages of 2
    And a fourth page that <what>
    When a decider takes over
    Then that fails for "no progress", after 3 pages with 6 records
    And the store was asked 23 times for pages

    Examples:
      | what                        |
      | ends with the third's key   |
      | ends with the first's key   |
      | is empty, with more to come |

  Scenario: A page that fails is asked for again, and those before it are not
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 5 times, and its seventh 19 times
    When a decider takes over
    Then it knows all jobs, and asked for each page once but for those that failed

  Scenario: A store that stays away ends the read with its reason, and how far it came
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 1000 times
    When a decider takes over
    Then that fails for "503", after 3 pages with 6 records

  Scenario: What changes after the first page is read again, also where a page failed
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 3 times
    When all newest records are read, while a record is added with each page
    Then reading goes on from where the first page ended

  Scenario: A process that takes over much goes on saying that it is there
    One that says nothing for 0.8 s may be taken for dead, and the next takes over, which
    says nothing for as long: nobody would ever decide. The bound is half of that.
    Given a store with the records of 28000 running tasks on 1550 boxes
    When a decider takes over
    Then it knows 28000 running tasks and never computed for more than 0.4 seconds at once
    And collecting garbage took at most 0.1 seconds then

  Scenario: What a process that decides no more had taken up goes
    Given a store with the records of 1000 running tasks on 50 boxes
    When a decider takes over
    And it is deposed
    Then nothing of what it knew is left
