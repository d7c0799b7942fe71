Feature: An operator is told why a job was failed, from the logs of all processes
  What a job was failed on may have been counted by several leaders, each of which logged its
  part. No line told of all of it, nor that no run of the job had ended failed.

  Scenario: A task that is taken to crash boxes, with the weight of each lost box
    Given the log of n1:
      """
      {"epoch":5,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":1,"box":"i-1@1","answered":true,"suspected":true,"suspicion":1,"seen_s":0.1,"silent_after_s":0.2,"event":"run_lost","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":1,"box":"i-1@1","answered":true,"window_s":0.15,"others_lost":0,"recent":0,"boxes":120,"alone":true,"weight":3.2,"evidence":3.2,"event":"loss_weighed","timestamp":"2026-01-01T10:00:03.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":2,"box":"i-2@1","why":"the box answers again","event":"loss_not_counted","timestamp":"2026-01-01T10:00:06.000000Z"}
      {"subject":"00000000000000ab.0.0.0","run":1,"box":"i-1@1","answered":false,"window_s":1.5,"others_lost":0,"boxes":120,"alone":false,"weight":0.4,"evidence":0.4,"event":"loss_weighed","timestamp":"2026-01-01T10:00:03.000000Z"}
      """
    And the log of n2:
      """
      {"epoch":6,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:08.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":3,"box":"i-3@1","answered":false,"window_s":1.2,"others_lost":2,"recent":2,"boxes":118,"alone":false,"weight":0.0,"evidence":3.2,"event":"loss_weighed","timestamp":"2026-01-01T10:00:11.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":4,"box":"i-4@1","answered":true,"window_s":0.1,"others_lost":0,"recent":3,"boxes":118,"alone":true,"weight":3.9,"evidence":7.1,"event":"loss_weighed","timestamp":"2026-01-01T10:00:15.000000Z"}
      {"subject":"00000000000000aa","by":"crashed_boxes","task":"00000000000000aa.0.0.1","suspicion":3,"box":"i-4@1","evidence":7.1,"losses":3,"queue":"q","epoch":6,"event":"job_failed","timestamp":"2026-01-01T10:00:15.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it ends with:
      """
      failed at 2026-01-01T10:00:15.000100Z by n2 (epoch 6)
      way: crashed_boxes
      why: not for failed runs: task 00000000000000aa.0.0.1 is taken to crash the boxes that start it, on 3 lost boxes, by chance 1 in 10^7.1
      evidence:
        2026-01-01T10:00:03.000000Z  n1 (epoch 5)  run 1 on i-1@1: its start was answered, and the box was lost within 0.15 s; 0 other boxes of 120 lost around that time; no other task can have caused it; by chance 1 in 1,585, with all before 1 in 1,585
        2026-01-01T10:00:06.000000Z  n1 (epoch 5)  run 2 on i-2@1: not counted: the box answers again
        2026-01-01T10:00:11.000000Z  n2 (epoch 6)  run 3 on i-3@1: its start got no answer, and the box was lost within 1.2 s; 2 other boxes of 118 lost around that time; other tasks, too, can have caused it; by chance likely, with all before 1 in 1,585
        2026-01-01T10:00:15.000000Z  n2 (epoch 6)  run 4 on i-4@1: its start was answered, and the box was lost within 0.1 s; 0 other boxes of 118 lost around that time; no other task can have caused it; by chance 1 in 7,943, with all before 1 in 10^7.1
      """
    And the answer in JSON has the same in the entry of the line that failed the job

  Scenario: The same from the logs of an older version, which weighs nothing
    Given the log of n1:
      """
      {"epoch":5,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":1,"box":"i-1","answered":false,"suspected":true,"suspicion":2,"state":"starting","seen_s":0.0,"silent_after_s":0.0,"event":"run_lost","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa.0.0.2","run":1,"box":"i-1","answered":true,"suspected":true,"suspicion":3,"state":"running","seen_s":0.1,"silent_after_s":0.1,"event":"run_lost","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":2,"box":"i-2","answered":true,"suspected":true,"suspicion":5,"state":"running","seen_s":0.4,"silent_after_s":1.3,"event":"run_lost","timestamp":"2026-01-01T10:00:04.000000Z"}
      """
    And the log of n2:
      """
      {"epoch":6,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:08.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":3,"box":"i-3","answered":true,"suspected":false,"suspicion":5,"state":"running","seen_s":9.4,"silent_after_s":9.5,"event":"run_lost","timestamp":"2026-01-01T10:00:20.000000Z"}
      {"subject":"00000000000000aa.0.0.1","run":4,"box":"i-4","answered":true,"suspected":true,"suspicion":8,"state":"running","seen_s":0.0,"silent_after_s":0.2,"event":"run_lost","timestamp":"2026-01-01T10:00:22.000000Z"}
      {"subject":"00000000000000aa","task":"00000000000000aa.0.0.1","suspicion":8,"box":"i-4","queue":"q","event":"job_failed","timestamp":"2026-01-01T10:00:22.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it ends with:
      """
      failed at 2026-01-01T10:00:22.000100Z by n2 (epoch 6)
      way: crashed_boxes
      why: not for failed runs: task 00000000000000aa.0.0.1 is taken to crash the boxes that start it, on suspicion of 8 points for lost boxes
      evidence:
        2026-01-01T10:00:01.000000Z  n1 (epoch 5)  run 1 on i-1: its start got no answer, and the box fell silent 0.0 s after the start, having answered up to 0.0 s after it; 2 points so far
        2026-01-01T10:00:04.000000Z  n1 (epoch 5)  run 2 on i-2: its start was answered, and the box fell silent 1.3 s after the start, having answered up to 0.4 s after it; 5 points so far
        2026-01-01T10:00:22.000000Z  n2 (epoch 6)  run 4 on i-4: its start was answered, and the box fell silent 0.2 s after the start, having answered up to 0.0 s after it; 8 points so far
      """
    And the answer in JSON has the same in the entry of the line that failed the job

  Scenario: Runs that ended failed, with the limit
    Given the log of n1:
      """
      {"epoch":5,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      {"subject":"00000000000000aa.0.0.0","run":1,"box":"i-1","failures":1,"max_attempts":2,"event":"run_failed","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa.0.0.0","run":3,"box":"i-2","failures":2,"max_attempts":2,"event":"run_failed","timestamp":"2026-01-01T10:00:02.000000Z"}
      {"subject":"00000000000000aa","by":"attempts","task":"00000000000000aa.0.0.0","failures":2,"box":"i-2","failed_runs":[1,3],"max_attempts":2,"max_attempts_accepted":3,"queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:02.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it ends with:
      """
      failed at 2026-01-01T10:00:02.000100Z by n1 (epoch 5)
      way: attempts
      why: 2 runs of task 00000000000000aa.0.0.0 ended failed; its queue allows 2, and 3 when the job was accepted
      evidence:
        2026-01-01T10:00:01.000000Z  n1 (epoch 5)  run 1 on i-1: it ended failed; 1 of 2 so far
        2026-01-01T10:00:02.000000Z  n1 (epoch 5)  run 3 on i-2: it ended failed; 2 of 2 so far
      """

  Scenario: Leaders that failed at a job
    Given the log of n1:
      """
      {"epoch":5,"jobs":["00000000000000aa"],"reason":"KeyError('x') in place, line 7","trace":"","event":"leading_failed","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"epoch":6,"jobs":["00000000000000ab"],"reason":"KeyError('y')","trace":"","event":"leading_failed","timestamp":"2026-01-01T10:00:02.000000Z"}
      {"epoch":8,"jobs":["00000000000000aa"],"reason":"KeyError('x') in place, line 7","trace":"","event":"leading_failed","timestamp":"2026-01-01T10:00:03.000000Z"}
      """
    And the log of n2:
      """
      {"epoch":4,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      {"event":"taking_over","timestamp":"2026-01-01T10:00:04.000000Z"}
      {"subject":"00000000000000aa","by":"leader_failures","queue":"q","state":"failed","failed_epochs":[5,8],"epoch":9,"event":"job_set_aside","timestamp":"2026-01-01T10:00:04.500000Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it ends with:
      """
      failed at 2026-01-01T10:00:04.500000Z by n2 (epoch 9)
      way: leader_failures
      why: not for failed runs: leaders failed by an unexpected error while they decided about the job, in the epochs 5, 8
      evidence:
        2026-01-01T10:00:01.000000Z  n1 (epoch 5)  the leader failed: KeyError('x') in place, line 7
        2026-01-01T10:00:03.000000Z  n1 (epoch 8)  the leader failed: KeyError('x') in place, line 7
      """

  Scenario: A record that the store refuses
    Given the log of n1:
      """
      {"epoch":5,"key":"t/00000000000000aa/0/0/0","size":300000,"reason":"413","event":"record_refused","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa","by":"refused_record","why":"the store refuses its records","queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:01.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it ends with:
      """
      failed at 2026-01-01T10:00:01.000100Z by n1 (epoch 5)
      way: refused_record
      why: not for failed runs: the store refuses a record of the job, so that a successor would not know what was decided about it
      evidence:
        2026-01-01T10:00:01.000000Z  n1 (epoch 5)  the store refuses the record t/00000000000000aa/0/0/0 of 300000 bytes: 413
      """

  Scenario Outline: The way follows from the fields of an older version's line
    Given the log of n1:
      """
      {"subject":"00000000000000aa",<fields>,"queue":"q","event":"<event>","timestamp":"2026-01-01T10:00:01.000000Z"}
      """
    Then explain failed names the way <way>, with <failed> failed runs

    Examples:
      | event         | fields                                              | way             | failed |
      | job_failed    | "task":"00000000000000aa.0.0.0","failures":3        | attempts        | 3      |
      | job_failed    | "task":"00000000000000aa.0.0.0","suspicion":8       | crashed_boxes   | 0      |
      | job_failed    | "why":"the store refuses its records"               | refused_record  | 0      |
      | job_set_aside | "state":"failed"                                    | leader_failures | 0      |
      | job_failed    | "by":"attempts","task":"x","failures":2             | attempts        | 2      |
      | job_failed    | "by":"another_way","task":"x","failures":2          | another_way     | 0      |

  Scenario: Evidence whose lines are missing is said to be missing
    Given the log of n1:
      """
      {"subject":"00000000000000aa.0.0.1","run":4,"box":"i-4@1","answered":true,"window_s":0.1,"others_lost":0,"boxes":118,"alone":true,"weight":3.9,"evidence":7.1,"lines_dropped":12,"event":"loss_weighed","timestamp":"2026-01-01T10:00:15.000000Z"}
      {"subject":"00000000000000aa","by":"crashed_boxes","task":"00000000000000aa.0.0.1","evidence":7.1,"losses":2,"queue":"q","event":"job_failed","timestamp":"2026-01-01T10:00:15.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it says:
      """
      but: not all of the evidence has a line in these logs: those of some machines are missing
      but: n1 left out 12 lines loss_weighed, of any job, over its rate limit
      """

  Scenario: A lost box that an older version's leader counted without a line is missing
    Given the log of n1:
      """
      {"subject":"00000000000000aa.0.0.1","run":1,"box":"i-1","answered":true,"suspected":true,"suspicion":3,"seen_s":0.0,"silent_after_s":0.1,"event":"run_lost","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"i-2","tasks_lost":1,"event":"box_never_listed","timestamp":"2026-01-01T10:00:05.000000Z"}
      {"subject":"00000000000000aa","task":"00000000000000aa.0.0.1","suspicion":6,"box":"i-2","queue":"q","event":"job_failed","timestamp":"2026-01-01T10:00:05.000100Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it says:
      """
      but: not all of the evidence has a line in these logs: those of some machines are missing, or an older version wrote none
      """

  Scenario: An epoch that no line tells is not guessed from an earlier leadership
    Given the log of n1:
      """
      {"epoch":4,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      {"event":"taking_over","timestamp":"2026-01-01T10:00:04.000000Z"}
      {"subject":"00000000000000aa","queue":"q","state":"failed","event":"job_set_aside","timestamp":"2026-01-01T10:00:04.500000Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it says:
      """
      failed at 2026-01-01T10:00:04.500000Z by n1
      way: leader_failures
      """

  Scenario: A job that was not failed has no reason for it, though others were
    Given the log of n1:
      """
      {"subject":"00000000000000ab","by":"refused_record","why":"the store refuses its records","queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:01.000000Z"}
      {"subject":"00000000000000aa","last":"00000000000000aa.0.0.0","queue":"q","event":"job_completed","timestamp":"2026-01-01T10:00:05.000000Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it is a timeline alone

  Scenario: A failure that a successor does not know of may never have been shown
    Given the log of n1:
      """
      {"subject":"00000000000000aa","by":"refused_record","why":"the store refuses its records","queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:01.000000Z"}
      """
    And the log of n2:
      """
      {"subject":"00000000000000aa","last":"00000000000000aa.0.0.0","queue":"q","event":"job_completed","timestamp":"2026-01-01T10:00:05.000000Z"}
      """
    When an operator calls explain 00000000000000aa
    Then it says:
      """
      but: job_completed by n2 at 2026-01-01T10:00:05.000000Z: that leader does not know of the failure, which may never have been shown
      """

  Scenario: All failed jobs at once, one row each, in the order of their times
    Given the log of n1:
      """
      {"subject":"00000000000000ab","by":"attempts","task":"00000000000000ab.0.0.0","failures":2,"failed_runs":[1,3],"max_attempts":2,"max_attempts_accepted":2,"queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:09.000000Z"}
      {"subject":"00000000000000aa","by":"crashed_boxes","task":"00000000000000aa.0.0.1","evidence":7.1,"losses":2,"queue":"q","epoch":5,"event":"job_failed","timestamp":"2026-01-01T10:00:05.000000Z"}
      """
    And the log of n2:
      """
      {"subject":"00000000000000ac","by":"leader_failures","queue":"q","state":"failed","failed_epochs":[5,8],"epoch":9,"event":"job_set_aside","timestamp":"2026-01-01T10:00:07.000000Z"}
      {"subject":"00000000000000aa","by":"crashed_boxes","task":"00000000000000aa.0.0.1","evidence":7.4,"losses":3,"queue":"q","epoch":6,"lines_dropped":3,"event":"job_failed","timestamp":"2026-01-01T10:00:08.000000Z"}
      {"subject":"00000000000000ad","last":"00000000000000ad.0.0.0","queue":"q","event":"job_completed","timestamp":"2026-01-01T10:00:08.500000Z"}
      """
    When an operator calls explain failed
    Then the table is:
      """
      JOB               WAY              TASK                    FAILED RUNS  EVIDENCE                            AT                           NODE  EPOCH
      00000000000000ac  leader_failures                          0            leaders failed, in the epochs 5, 8  2026-01-01T10:00:07.000000Z  n2    9
      00000000000000aa  crashed_boxes    00000000000000aa.0.0.1  0            3 lost boxes, by chance 1 in 10^7.4  2026-01-01T10:00:08.000000Z  n2    6
      00000000000000ab  attempts         00000000000000ab.0.0.0  2            failed runs 1, 3; its queue allows 2  2026-01-01T10:00:09.000000Z  n1    5
      """
    And it says:
      """
      00000000000000ac and 2 more: not all of the evidence has a line in these logs: those of some machines are missing
      00000000000000aa: n1 had failed it as well, at 2026-01-01T10:00:05.000000Z: 2 lost boxes, by chance 1 in 10^7.1; its successor did not know of that
      attempts: 1
      crashed_boxes: 1
      leader_failures: 1
      jobs failed: 3, without failed runs: 2
      n2 left out 3 lines job_failed over its rate limit: jobs may be missing here
      """

  Scenario: Logs in which no job was failed say so
    Given the log of n1:
      """
      {"epoch":5,"jobs":9,"event":"took_over","timestamp":"2026-01-01T10:00:00.000000Z"}
      """
    When an operator calls explain failed
    Then it says:
      """
      jobs failed: 0, without failed runs: 0
      """

  Scenario: Logs without lines are an error, and so are none
    Given the log of n1:
      """
      not a line
      """
    Then explain failed ends with code 4, and without logs with code 2

  Scenario: What leaders really log of each way is explained from their logs
    Given the logs of leaders that failed a job in each way
    When an operator calls explain failed
    Then each of these jobs has its way, and all its evidence
