Feature: How the decider shares room between kinds of work

  Scenario: The line at a job's end says where its time went
    Given a job of two steps that waited, failed once and was slowed
    Then its line sums to the time it took: 1 s for room, 2 s failed, 3 s run, 1 s slowed

  Scenario: A mechanism that is not known is refused at the start
    Then switching off "pacing+moves" names two mechanisms
    And switching off "pacing+luck" is refused, naming luck and every known one
