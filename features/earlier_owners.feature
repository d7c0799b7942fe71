Feature: An owner that was cut off counts until it has provably ended, whoever owned the shard since

  Scenario Outline: A process that starts from a snapshot knows of the owners before the last one
    Given a hall of 3 processes and 3 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner is cut from the log and from its peers
    And a box with work can't be reached by the others
    And the others start again from a snapshot of <whose> version
    Then no task starts a second time within 20 seconds

    Examples:
      | whose    |
      | this     |
      | an older |

  Scenario: A box that has answered a later owner may still take renewals of the one before it
    Given a hall of 3 processes and 3 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner is cut from the log and from its peers
    And every box has answered the next owner
    And a box with work can't be reached by the others
    And its successor releases the shard in order
    Then no task starts a second time within 20 seconds

  Scenario: Loans that an owner before the last one may prolong are not lent again
    Given a hall of 4 processes and 3 boxes among fakes
    And a service of 1 replicas is running
    When the owner and another process are cut from the log and from the others
    And its successor releases the shard in order
    Then no endpoint is lent beyond its slots within 20 seconds

  Scenario Outline: Owners that have ended are not waited for
    Given a hall of 3 processes and 3 boxes among fakes
    And batch work of 2 tasks of 8 cores fills the boxes
    When the owner <ends>
    And a box with work crashes, and the next owner releases the shard in order
    Then the lost task starts elsewhere within 13 seconds

    Examples:
      | ends                             |
      | releases the shard in order      |
      | is killed and started again      |
      | is cut off, comes back, and owns |
