Feature: Promise 9: an accepted change is in force everywhere and never reverts
  A change takes effect by its position in the configuration stream alone.

  Scenario: Two operators race for a cell
    Given halls of 2 processes and 1 boxes among fakes
    When two operators change the same cell at the same moment
    Then one wins, and the other gets a typed conflict that shows the winner
    And the cell is in force at every process

  Scenario: A hall is cut off from the platform
    Given halls of 2 processes and 1 boxes among fakes
    When a cell is set at zurich while bern is cut off
    Then bern lacks the cell, and has it 2 seconds after it heals

  Scenario: Every process is replaced after old records have been dropped
    Given halls of 2 processes and 1 boxes among fakes
    When two operators change the same cell at the same moment
    And 10 other cells are set
    And a snapshot of the configuration was written
    And every process is replaced after the log dropped old records
    Then the cell is in force at every process

  Scenario: Any order of edits and faults
    Then the machine of table finds no broken promise
