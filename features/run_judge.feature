Feature: A run is judged by what boxes and clients observed
  Each row describes the runs of one task and further facts, and the violations that the
  judge must find. Rows without a violation differ little from one with it, so that they
  show what each check tells apart.
  Times are in seconds. "done 2-3 @4" is a run on box b1 that started at 2 and ended as
  done at 3; its end was acknowledged at 4. "b2:" puts a run on another box; "late" is a
  run whose start command the box executed late; "runs 2" has not ended.

  Scenario Outline: <why>
    Given a task that ran "<runs>"
    And the further facts "<beside>"
    Then the judge finds "<found>"

    Examples: A start after an end that counts
      | why                                                       | runs                         | beside      | found           |
      | A start after an end acknowledged before it               | done 2-3 @4; b2: done 4.5-5  |             | AFTER_NOTED_END |
      | A start after an end acknowledged later                   | done 2-3 @9; b2: done 4-5    |             | AFTER_NOTED_END |
      | A start on the same box after an acknowledged end         | done 2-3 @9; done 4-5        |             | AFTER_NOTED_END |
      | A start after an end that was never acknowledged          | done 2-3; b2: done 4-5       |             |                 |
      | The lease expired between the end and its acknowledgement | done 2-3 @9; b2: done 4-5    | lapse b1 8  |                 |
      | The lease expired after the acknowledgement               | done 2-3 @4; b2: done 4.5-5  | lapse b1 8  | AFTER_NOTED_END |
      | The lease expired before the end                          | done 2-3 @4; b2: done 4.5-5  | lapse b1 1  | AFTER_NOTED_END |
      | The lease of another box expired                          | done 2-3 @9; b2: done 4-5    | lapse b2 8  | AFTER_NOTED_END |
      | A start after an end by a stop                            | stopped 2-3 @4; b2: done 4-5 |             |                 |
      | A start executed late, after an acknowledged end          | done 2-3 @4; b2: late 7-8    |             | AFTER_NOTED_END |
      | A long-running task                                       | done 2-3 @4; b2: done 6-7    | lasting     |                 |
      | A task with speculative copies                            | done 2-3 @4; b2: done 6-7    | speculative |                 |

    Examples: A start long after an acknowledged end or the job shown as completed
      | why                                             | runs                        | beside                      | found                          |
      | A start over a second after the acknowledgement | done 2-3 @4; b2: done 5.1-6 |                             | AFTER_NOTED_END LONG_AFTER_END |
      | A start over a second after the job was shown   | done 2-3; b2: done 5.1-6    | client completed 4          | LONG_AFTER_END                 |
      | A start within a second after the job was shown | done 2-3; b2: done 4.9-6    | client completed 4          |                                |
      | A start executed late, after the job was shown  | done 2-3; b2: late 6-7      | client completed 4          |                                |
      | A long-running task of a job shown as completed | done 2-3; b2: done 6-7      | lasting; client completed 4 |                                |

    Examples: Two runs at a time
      | why                                                  | runs                                       | beside      | found                             |
      | Two runs that overlap                                | done 2-4; b2: stopped 3-3.5                |             | OVERLAPPING_RUNS                  |
      | A third run overlaps the first, after a short second | done 2-9; b2: stopped 3-4; b3: stopped 5-6 |             | OVERLAPPING_RUNS OVERLAPPING_RUNS |
      | A run overlaps one that has not ended                | runs 2; b2: stopped 3-4                    |             | OVERLAPPING_RUNS                  |
      | A run that starts as the one before ends             | stopped 2-3; b2: done 3-4                  |             |                                   |
      | Two runs at a time of a long-running task            | runs 2; b2: stopped 3-4                    | lasting     | OVERLAPPING_RUNS                  |
      | Two runs at a time of a task with speculative copies | runs 2; b2: stopped 3-4                    | speculative |                                   |

    Examples: Epochs
      | why                                                 | runs     | beside                                   | found       |
      | A lower epoch after a higher one on a box           | done 2-3 | epoch b1 5 1; epoch b1 7 2; epoch b1 5 3 | LOWER_EPOCH |
      | A lower epoch on another box                        | done 2-3 | epoch b1 7 2; epoch b2 5 3               |             |
      | A start that only the box's fence refused           | done 2-3 | refused b1 taken 2                       | unfenced    |
      | A start refused for its epoch and as an old run too | done 2-3 | refused b1 old 2                         |             |

    Examples: Accepted work
      | why                                                 | runs     | beside                                                 | found       |
      | An accepted job is not known                        | done 2-3 | client accepted 1; client gone 5                       | UNKNOWN_JOB |
      | No process answers about an accepted job            | done 2-3 | client accepted 1; client unanswered 5                 | UNKNOWN_JOB |
      | A job that was never accepted is not known          | done 2-3 | client gone 5                                          |             |
      | A cancelled job is not known                        | done 2-3 | client accepted 1; client cancel sent 2; client gone 5 |             |
      | An ended job is not known within the retention time | done 2-3 | client accepted 1; client completed 4; client gone 120 | UNKNOWN_JOB |
      | An ended job is not known after the retention time  | done 2-3 | client accepted 1; client completed 4; client gone 125 |             |

    Examples: A leader after the last disturbance
      | why                                                  | runs     | beside                                       | found       |
      | The first answer comes late                          | done 2-3 | fault over 10; call 10.1 none; call 11 11.6  | NO_DECISION |
      | No answer comes                                      | done 2-3 | fault over 10; call 10.1 none                | NO_DECISION |
      | An answer to a call from before the end of the fault | done 2-3 | fault over 10; call 9.9 10.1; call 10.2 none | NO_DECISION |
      | An answer comes in time                              | done 2-3 | fault over 10; call 10.1 none; call 11 11.4  |             |
      | No call was made in that time                        | done 2-3 | fault over 10; call 12 12.1                  | incomplete  |

    Examples: A long-running task whose box left for good
      | why                                               | runs                        | beside                                                          | found        |
      | It runs again in time                             | crashed 2-3; b2: runs 9.6   | lasting; lost b1 3                                              |              |
      | It runs again late                                | crashed 2-3; b2: runs 9.8   | lasting; lost b1 3                                              | LATE_RESTART |
      | It runs again late, after it lapsed on a dark box | lapsed 2-7; b2: runs 9.8    | lasting; lost b1 3                                              | LATE_RESTART |
      | It never runs again                               | crashed 2-3                 | lasting; lost b1 3                                              | LATE_RESTART |
      | It is cancelled in time                           | crashed 2-3                 | lasting; lost b1 3; client cancel sent 9                        |              |
      | It is cancelled late                              | crashed 2-3                 | lasting; lost b1 3; client cancel sent 10                       | LATE_RESTART |
      | It was stopped before its box left                | stopped 2-2.5; b2: runs 9.8 | lasting; lost b1 3                                              |              |
      | Another box left                                  | crashed 2-3; b2: runs 9.8   | lasting; lost b2 3                                              |              |
      | A task that is not long-running                   | crashed 2-3; b2: runs 9.8   | lost b1 3                                                       |              |
      | A disorder, and it runs again in time for that    | crashed 2-3; b2: runs 17.6  | lasting; lost b1 3; disorder 4 6                                |              |
      | A disorder, and it runs again late                | crashed 2-3; b2: runs 17.8  | lasting; lost b1 3; disorder 4 6                                | LATE_RESTART |
      | Several disorders, and it runs again late         | crashed 2-3; b2: runs 17.8  | lasting; lost b1 3; disorder 4 6; disorder 9 11; disorder 14 16 | LATE_RESTART |
      | A disorder lasts beyond the longer bound          | crashed 2-3; b2: runs 18.9  | lasting; lost b1 3; disorder 4 6; disorder 17 19                |              |
      | A disorder was over when its box left             | crashed 2-3; b2: runs 9.8   | lasting; lost b1 3; disorder 1 2                                | LATE_RESTART |
      | A disorder was over when its box lost its entry   | crashed 2-5; b2: runs 11.8  | lasting; lost b1 5 3; disorder 1 2                              | LATE_RESTART |
      | A disorder while its box served without an entry  | crashed 2-5; b2: runs 11.8  | lasting; lost b1 5 3; disorder 3 4                              |              |
      | A disorder begins when it is late already         | crashed 2-3; b2: runs 9.8   | lasting; lost b1 3; disorder 9.75 11                            | LATE_RESTART |

    Examples: A job that is shown as failed
      | why                                           | runs                                  | beside                                | found                |
      | Its boxes crashed, none by a task of it       | crashed 2-3; b2: crashed 4-5          | client failed 6                       | FAILED_WITHOUT_CAUSE |
      | Its runs were stopped                         | stopped 2-3; b2: stopped 4-5          | client failed 6                       | FAILED_WITHOUT_CAUSE |
      | A task failed once less than the limit        | failed 2-3; failed 4-5                | client failed 6                       | FAILED_WITHOUT_CAUSE |
      | A task failed as often as the limit           | failed 2-3; failed 4-5; failed 5-5.5  | client failed 6                       |                      |
      | A task failed as often as a lower limit       | failed 2-3; failed 4-5                | client failed 6; attempts 2           |                      |
      | The last failure came after it was shown      | failed 2-3; failed 4-5; failed 5.5-7  | client failed 6                       | FAILED_WITHOUT_CAUSE |
      | Other ends between the failures               | failed 2-3; stopped 4-5; lapsed 5-5.5 | client failed 6                       | FAILED_WITHOUT_CAUSE |
      | A task of it crashed a box                    | crashed 2-3                           | client failed 6; culprit b1 3         |                      |
      | A task of it crashed a box after it was shown | crashed 2-3; b2: crashed 7-8          | client failed 6; culprit b2 8         | FAILED_WITHOUT_CAUSE |
      | A task of another job crashed its box         | crashed 2-3                           | client failed 6; stranger b1 3        | FAILED_WITHOUT_CAUSE |
      | A long-running job whose boxes crashed        | crashed 2-3; b2: runs 4               | lasting; client failed 6              | FAILED_WITHOUT_CAUSE |
      | A cancelled job                               | crashed 2-3                           | client cancel sent 4; client failed 6 | FAILED_WITHOUT_CAUSE |
      | A job that is shown as cancelled              | crashed 2-3                           | client cancelled 6                    |                      |

    Examples: A long-running task of which nothing runs after an end
      | why                                            | runs                                       | beside                                      | found                              |
      | It was stopped                                 | stopped 2-3                                | lasting; observed 9.8                       | NOT_RESTARTED                      |
      | Its box crashed                                | crashed 2-3                                | lasting; observed 9.8                       | NOT_RESTARTED                      |
      | It failed                                      | failed 2-3                                 | lasting; observed 9.8                       | NOT_RESTARTED                      |
      | It was stopped, and its job is shown as failed | stopped 2-3                                | lasting; observed 9.8; client failed 4      | FAILED_WITHOUT_CAUSE NOT_RESTARTED |
      | It is too early to tell                        | stopped 2-3                                | lasting; observed 9.6                       |                                    |
      | It runs again                                  | stopped 2-3; b2: runs 9                    | lasting; observed 20                        |                                    |
      | It ran again, and was stopped again            | stopped 2-3; stopped 9-10                  | lasting; observed 20                        | NOT_RESTARTED                      |
      | It is cancelled in time                        | stopped 2-3                                | lasting; observed 20; client cancel sent 9  |                                    |
      | It is cancelled late                           | stopped 2-3                                | lasting; observed 20; client cancel sent 10 | NOT_RESTARTED                      |
      | It is not long-running                         | stopped 2-3                                | observed 20                                 |                                    |
      | It crashes boxes                               | crashed 2-3                                | lasting; observed 20; culprit b1 3          |                                    |
      | Its job failed with cause                      | failed 2-2.1; failed 2.2-2.3; failed 2.5-3 | lasting; observed 20; client failed 4       |                                    |
      | A disorder                                     | stopped 2-3                                | lasting; observed 17.6; disorder 4 6        |                                    |
      | A disorder, and it is late for that            | stopped 2-3                                | lasting; observed 17.8; disorder 4 6        | NOT_RESTARTED                      |
      | A disorder was over before the end             | stopped 2-3                                | lasting; observed 9.8; disorder 1 2         | NOT_RESTARTED                      |

    Examples: A task that crashes boxes
      | why                           | runs        | beside                                                                                | found         |
      | It crashes as many as allowed | crashed 2-3 | culprit b1 3; culprit b2 4; culprit b3 5; culprit b4 6; culprit b5 7                  |               |
      | It crashes one more           | crashed 2-3 | culprit b1 3; culprit b2 4; culprit b3 5; culprit b4 6; culprit b5 7; culprit b6 8    | NOT_CONTAINED |
      | Tasks of two jobs crash them  | crashed 2-3 | culprit b1 3; culprit b2 4; culprit b3 5; stranger b4 6; stranger b5 7; stranger b6 8 |               |

  Scenario: The timeline of a task has all facts about it, in order of time
    Given a task that ran "done 2-3 @4; b2: done 4.5-5"
    And the further facts "client accepted 1; lapse b1 8; epoch b1 7 1.5; refused b2 taken 3.5; lapse b3 4; culprit b2 4.8"
    Then the timeline of the task reads
      """
      1.0 client: accepted
      1.5 b1: executes commands of epoch 7
      2.0 b1: run 1: command of epoch 7
      2.0 b1: run 1 started
      3.0 b1: run 1 ended, done
      3.5 b2: run 1 of epoch 5 refused, highest seen: 7; without fences: accepted
      4.0 b1: run 1: end acknowledged
      4.5 b2: run 2: command of epoch 7
      4.5 b2: run 2 started
      4.5 judge: VIOLATION started after an acknowledged end as done
      4.8 b2: crashed it
      5.0 b2: run 2 ended, done
      8.0 b1: lease expired
      """
    And the facts are the same after they were saved and loaded
