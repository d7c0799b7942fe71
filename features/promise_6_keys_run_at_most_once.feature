Feature: Promise 6: a request that must not be repeated runs at most once

  Scenario: The same key arrives at every process of every hall
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    When the same key "key-1" is used at every process of every hall
    Then the work of "key-1" ran exactly once
    And one caller is answered, and all others end as unknown or not run

  Scenario: The process that decides on a key is replaced, and the caller retries
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the same key "key-2" is used at every process of every hall
    And the owner is killed for 1 seconds
    And 12 seconds pass
    And the key "key-2" is used again with its original time of issue
    Then the outcome is unknown, at once
    And the work of "key-2" ran exactly once

  Scenario: The process that decides on a key freezes past its lease and resumes
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the owner is frozen and the key "key-3" is used before and after
    Then the work of "key-3" ran at most once

  Scenario: The data hall that decides on a key is cut off
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    And every hall but zurich is cut off from it
    Then each key that a cut-off hall decides is refused as not run, at once

  Scenario: A caller whose clock runs an hour ahead retries after a take-over
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the key "key-4" is used with a clock 3600 seconds ahead
    And the owner is killed for 1 seconds
    And 12 seconds pass
    And the key "key-4" is used again with its original time of issue
    Then the work of "key-4" ran at most once
