Feature: The advice service's time goes to steps that wait
  The service handles one call of a process at a time, in turn, and also handles calls that
  were given up. A process that asks again before it was answered, or hangs up before its
  turn, gets no answer once enough steps wait, for as long as they wait.

  Scenario: A burst of submissions that the service can't answer in time delays work, no more
    Given a queue with advice on 24 boxes, of which a call may name all
    When 1 job a second comes for 24 seconds, and 2.6 times as many from second 8 to 12
    Then each job has started within 6 seconds
    And no call was given up or refused

  Scenario Outline: A service that takes <times> times what it states still answers
    Given a queue with advice on 24 boxes, of which a call may name all
    And the service takes <times> times as long as it states
    When 12 jobs come at once, and 100 seconds pass
    Then each job is completed
    And at most <given_up> calls were given up, and none refused

    Examples:
      | times | given_up |
      | 2     | 0        |
      | 5     | 1        |
      | 20    | 3        |

  Scenario: A service that was silent is asked again soon after its return
    Given a queue with advice on 24 boxes, of which a call may name all
    And the service is silent
    When 12 jobs come at once, and 20 seconds pass
    And the service works again, and 12 seconds pass
    Then each job is completed
    And at most 6 calls were given up, and none refused

  Scenario: A service that refuses calls, as many wait, is asked seldom and then answers
    Given a queue with advice on 24 boxes, of which a call may name all
    And an earlier process of the same machine has left as many calls as may wait
    When 3 jobs come at once, and 30 seconds pass
    Then each job is completed
    And at most 20 calls were refused

  Scenario: A step is not asked about once its job is cancelled
    Given a queue with advice on 24 boxes, of which a call may name all
    When 20 jobs come at once, all but the last are cancelled, and 2 seconds pass
    Then the last job is completed, and at most 1 of the others was asked about

  Scenario: A gang that needs more boxes than one call names starts
    Given a queue with advice on 120 boxes, which take one task each
    When a gang of 120 tasks comes, and 10 seconds pass
    Then each job is completed

  Scenario: A gang starts although two thirds of the boxes are rejected
    Given a queue with advice on 60 boxes, of which each third may run a step
    When a gang of 18 tasks comes, and 10 seconds pass
    Then each job is completed

  Scenario: A queue with many waiting steps does not keep those of another waiting
    Given two queues with advice on 24 boxes
    When 60 jobs of the first come at once, and then one of the second
    Then the job of the second has started within 2 seconds

  Scenario: A queue whose steps come without end does not keep those of another waiting
    Given two queues with advice on 24 boxes
    When 10 jobs of the first come a second without end, and one of the second after 5 seconds
    Then the job of the second has started within 3 seconds

  Scenario: The step that waits longest gets its turn, however many more urgent ones come
    Given a queue with advice on 24 boxes, of which a call may name all
    When a job waits whose objective is far, and urgent ones come without end for 20 seconds
    Then the job has started within 3 seconds

  Scenario: Boxes that are full are not asked about while others have room
    Given a queue with advice on 24 boxes, of which 20 are full
    When 1 jobs come at once, and 1 seconds pass
    Then each job is completed
    And only boxes with room were asked about

  Scenario: A start that is rejected for its ticket asks again
    Given a queue with advice on 4 boxes, which take one task each
    And the tickets of the first answer are not accepted
    When a job of 12 tasks comes, and 8 seconds pass
    Then each job is completed
    And at most 4 starts were rejected

  Scenario: A change of the leader in a burst costs its open call alone
    Given a queue with advice on 24 boxes, of which a call may name all
    When 20 jobs come at once, and the leader changes 3 times in 6 seconds
    And the shard goes on for 20 seconds
    Then each job is completed

  Scenario: In random shards the service is called once at a time, and all work ends
    Then in 30 random shards with advice one call is open at a time, and all jobs end

  Scenario: Real processes answer a burst whose calls the advice service can't handle in time
    Given 3 nodes on the platform with 4 boxes, and advice that takes 100 and 20 ms a box
    When 20 jobs are submitted at once, and the leader is killed after 2 seconds
    Then every job completes, and no machine had two calls for advice open

  Scenario: Real processes go on after the advice service was silent, and while it is slow
    Given 3 nodes on the platform with 4 boxes, and advice that takes 20 and 5 ms a box
    When 6 jobs are submitted while the service is silent for 5 seconds and then 8 times as slow
    Then every job completes, and no machine had more than three calls for advice open
