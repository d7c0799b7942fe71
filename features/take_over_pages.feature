Feature: A take-over reads all that the store holds, page by page
  The store returns the newest records in pages. With a limit of 200 pages every take-over
  failed once the jobs filled more. Without a leader no job could end, so the records stayed.

  Scenario: A leader is replaced while the records of jobs fill 250 pages
    Given 2 nodes on the platform with 1 boxes
    When records of ended jobs fill 250 pages and the leader is killed
    Then another process takes over with all of them within 10 seconds, and a job completes

  Scenario Outline: All records are read, each once, for any size of the pages
    Given a store with 1203 records of ended jobs on pages of <size>
    When a process takes over
    Then it knows all jobs, and requested each page once

    Examples:
      | size |
      | 2    |
      | 50   |
      | 500  |

  Scenario Outline: A page that makes no progress ends the read with its reason
    Given a store with 20 records of ended jobs on pages of 2
    And a fourth page that <what>
    When a process takes over
    Then that fails for "no progress", after 3 pages with 6 records
    And 23 pages were requested from the store

    Examples:
      | what                        |
      | ends with the third's key   |
      | ends with the first's key   |
      | is empty, with more to come |

  Scenario: A page that fails is requested again, and those before it are not
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 5 times, and its seventh 19 times
    When a process takes over
    Then it knows all jobs, and requested each page once except for those that failed

  Scenario: A store that stays unavailable ends the read with its reason and the progress so far
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 1000 times
    When a process takes over
    Then that fails for "503", after 3 pages with 6 records

  Scenario: Changes after the first page are read again, also if a page failed
    Given a store with 20 records of ended jobs on pages of 2
    And its fourth page fails 3 times
    When all newest records are read, while a record is added with each page
    Then changes are read from the end offset of the first page

  Scenario: A process that takes over many tasks continues to send reports
    A process that sends no report for 0.8 s may be taken for dead. The next one takes over,
    is silent for as long, and is replaced in turn: there would never be a leader. The limit
    is half of that time.
    Given a store with the records of 28000 running tasks on 1550 boxes
    When a process takes over
    Then it knows 28000 running tasks and never blocked its event loop for more than 0.4 seconds
    And the garbage collection afterwards took at most 0.1 seconds

  Scenario: The state of a deposed leader is freed
    Given a store with the records of 1000 running tasks on 50 boxes
    When a process takes over
    And it is deposed
    Then none of its state is left
