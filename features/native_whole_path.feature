Feature: Jobs of several steps, run end to end by real processes
  The program runs as separate processes. The store and the boxes are simulated and use
  the platform's formats over HTTP.

  Scenario: A job of two steps runs in order and completes at every node
    Given 3 nodes on the platform with 3 boxes
    When a job of 3 tasks, then 2 that depend on them, is submitted
    Then it is completed at every node
    And each task ran once, the second step after the first
    And the same id submitted again is the same job

  Scenario: Each node's metrics show how long ago it heard the leader
    Given 2 nodes on the platform with 1 boxes
    When the leader stalls for 3 seconds and resumes
    Then it was heard over 0.5 seconds ago meanwhile, and each node hears a leader again

  Scenario: A cancelled job's tasks stop and never start again
    Given 2 nodes on the platform with 2 boxes
    When a job that runs for a minute is submitted and cancelled while it runs
    Then it is cancelled at every node
    And all its tasks have stopped

  Scenario: The leader is killed while a job runs
    Given 3 nodes on the platform with 3 boxes
    When a job runs and the leader is killed
    Then it is completed at every node
    And each task ran once, the second step after the first

  Scenario: All nodes are killed right after a job was accepted
    Given 2 nodes on the platform with 2 boxes
    When every node is killed right after a job was accepted, and restarted
    Then it is completed at every node
    And no two runs of a task were done

  Scenario: The leader is stopped with SIGTERM
    Given 3 nodes on the platform with 2 boxes
    When the leader gets SIGTERM while jobs are submitted on open connections
    Then no request was cut off and no answer was late or of unknown outcome
    And all jobs that were accepted complete

  Scenario: SIGHUP while the leader is being stopped
    Given 3 nodes on the platform with 2 boxes
    When the leader gets SIGTERM, and SIGHUP and SIGTERM again, while jobs are submitted on open connections
    Then no request was cut off and no answer was late or of unknown outcome
    And the leader was stopped as planned, and all jobs that were accepted complete

  Scenario: A job that its client cancelled elsewhere while a node stood still never runs
    Given 3 nodes on the platform with 2 boxes
    When a job reaches a node that stands still for 4.5 seconds, and is cancelled at another meanwhile
    Then the cancel is answered 410 and the job 503, and it is unknown at every node
    And none of its tasks has started

  Scenario: Answers to appends are lost
    Given 2 nodes on the platform with 2 boxes
    When the answers to the next 3 appends are lost and a job is submitted
    Then it is completed at every node
    And each task ran once, the second step after the first

  Scenario: Malformed requests are refused
    Given 1 nodes on the platform with 1 boxes
    Then malformed requests are answered 400, 404, 410 or 413, and no job is stored

  Scenario: The cause of a failed request can be found from its path
    Given 2 nodes on the platform with 1 boxes
    When the store stops answering and a job is submitted
    Then it is refused with a retry delay
    And the logs show the cause of the refusal by the request's path
    And the metrics count the refusal and the lost store
    And explain prints one timeline of all nodes' logs, with the lost store in it
