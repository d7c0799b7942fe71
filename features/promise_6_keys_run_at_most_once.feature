Feature: Promise 6: a request that must not be repeated runs at most once

  Scenario: The same key arrives at every process of every hall
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    When the same key "key-1" is used at every process of every hall
    Then the work of "key-1" ran exactly once
    And one caller was answered and no other was told that it ran or will run

  Scenario: The key's decider is replaced and the caller tries again
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the same key "key-2" is used at every process of every hall
    And the owner is killed for 1 seconds
    And 12 seconds pass
    And the key "key-2" is tried again with the time at which it was made
    Then the answer is unknown, at once
    And the work of "key-2" ran exactly once

  Scenario: The key's decider freezes past its term and wakes up
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the owner is frozen and the key "key-3" is used before and after
    Then the work of "key-3" ran at most once

  Scenario: The key's hall is cut off
    Given halls of 2 processes and 1 boxes among fakes
    And a service of 1 replicas is running in zurich only
    And every hall but zurich is cut off from it
    Then every key of a hall that is cut off is refused as not run, at once

  Scenario: A caller whose clock runs an hour ahead tries again after a take-over
    Given a hall of 3 processes and 2 boxes among fakes
    And a service of 2 replicas is running
    When the key "key-4" is used with a clock 3600 seconds ahead
    And the owner is killed for 1 seconds
    And 12 seconds pass
    And the key "key-4" is tried again with the time at which it was made
    Then the work of "key-4" ran at most once
