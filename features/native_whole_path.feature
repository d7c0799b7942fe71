Feature: Jobs of steps on the platform, through real processes
  The real program as separate processes, the store and the boxes as stand-ins that speak
  the platform's formats over HTTP.

  Scenario: A job of two steps runs in order and completes; every node knows
    Given 3 nodes on the platform with 3 boxes
    When a job of 3 tasks, then 2 that depend on them, is handed in
    Then it is completed as every node tells
    And each task ran once, the second step after the first
    And the same id handed in again is the same job

  Scenario: Each node's figures show how long ago it heard the decider
    Given 2 nodes on the platform with 1 boxes
    When the decider stands still for 3 seconds and goes on
    Then it was heard over 0.5 seconds ago meanwhile, and each node hears a decider again

  Scenario: A cancelled job's tasks stop and never start again
    Given 2 nodes on the platform with 2 boxes
    When a job that runs for a minute is handed in and cancelled while it runs
    Then it is cancelled as every node tells
    And all its tasks have stopped

  Scenario: The decider is killed while a job runs
    Given 3 nodes on the platform with 3 boxes
    When a job runs and the decider is killed
    Then it is completed as every node tells
    And each task ran once, the second step after the first

  Scenario: Everything is killed right after an acceptance
    Given 2 nodes on the platform with 2 boxes
    When every node is killed right after a job was accepted, and started again
    Then it is completed as every node tells
    And no two runs of a task were done

  Scenario: The decider is stopped as planned
    Given 3 nodes on the platform with 2 boxes
    When the decider gets SIGTERM while jobs are handed in on open connections
    Then no request was cut and no answer was late or unclear
    And all jobs that were accepted complete

  Scenario: Answers to appends are lost
    Given 2 nodes on the platform with 2 boxes
    When the answers to the next 3 appends are lost and a job is handed in
    Then it is completed as every node tells
    And each task ran once, the second step after the first

  Scenario: What nobody can serve is refused clearly
    Given 1 nodes on the platform with 1 boxes
    Then malformed requests are answered 400, 404, 410 or 413, and nothing is kept

  Scenario: From a failed request's id to its cause
    Given 2 nodes on the platform with 1 boxes
    When the store goes away and a job is handed in
    Then it is refused with a time to come back
    And the logs tell the cause of the refusal from the request's path
    And the figures count the refusal and the lost store
    And explain makes one timeline of all machines' logs, with the lost store in it
