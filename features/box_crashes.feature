Feature: Work that crashes the boxes that start it comes to an end

  Scenario: The log names each run that was lost with its box, and how young it was
    Given a shard of 3 boxes among models
    When a long job runs, a task that crashes its box starts beside it, and the crash is noticed
    Then a line for each run on that box tells its run, its state and its age
