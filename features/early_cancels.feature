Feature: A submission that comes after its cancel never runs
  A machine that stands still, or a link that is cut, holds a submission while its client
  account gives up and cancels elsewhere, where the job is not known yet.

  Scenario: A job that was cancelled before it came is refused by a successor as well
    Given a leader that was asked to cancel a job that it doesn't know
    When a successor takes over from what was written, and the job comes
    Then both have answered that there is no such job, and the successor refuses it
    And no successor knows it, and nothing is started

  Scenario: A cancel is forgotten after a minute
    Given a leader that was asked to cancel a job that it doesn't know
    When 62 seconds pass, and the job comes
    Then it is accepted, and no record of the cancel is left

  Scenario: Cancels of any number of jobs take a limited space
    Given a leader that was asked to cancel a job that it doesn't know
    When it is asked to cancel 10100 more
    Then the records of 10000 are left, the newest among them

  Scenario Outline: A request read <after> seconds after a standstill of 4.5 seconds
    When a request is read <after> seconds after a standstill of 4.5 seconds
    Then it may have waited for up to <waited> seconds

    Examples:
      | after | waited |
      | 0     | 4.5    |
      | 0.1   | 4.6    |
      | 0.4   | 4.9    |
      | 0.6   | 0      |
