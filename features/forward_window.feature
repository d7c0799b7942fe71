Feature: What clients send doesn't crowd out the leader's own calls
  All processes forward to one leader. While it read the state over a link of 2 Mbit/s they
  sent it every request of a burst, again and again, though it could answer none; then the
  store's answers came behind these, the leader counted as without the store and was
  replaced, and so was its successor.

  Scenario: A request is not sent to a leader that takes over, and is refused in time
    Given a process that forwards to a leader that takes over
    When a client sends a request with 3 seconds left
    Then it is refused with a time to retry within 1.0 seconds, and was never sent

  Scenario: A request that waits is sent once the leader serves
    Given a process that forwards to a leader that takes over
    When a client sends a request with 3 seconds left, and the leader serves after 0.6 seconds
    Then it is answered within 0.8 seconds, and was sent once

  Scenario: A request that an earlier leader may have accepted waits for the next one
    Given a process that forwards to a leader that answers nothing
    When a client sends a request with 3 seconds left
    And after 0.3 seconds another process takes over, which serves after 1.8 seconds
    Then it is answered within 2.0 seconds, by the second leader

  Scenario Outline: No more requests are under way than the link carries soon
    Given <processes> processes that forward to a leader, over links of <mbps> Mbit/s
    When each sends 20 requests of 4000 bytes, which are answered after 0.02 seconds
    Then at most <most> requests of a process were under way at a time, and all are answered

    Examples:
      | processes | mbps | most |
      | 15        | 2    | 1    |
      | 35        | 10   | 2    |
      | 9         | 1000 | 20   |

  Scenario: What does not get its turn in time is refused, and was never sent
    Given 15 processes that forward to a leader, over links of 2 Mbit/s
    When each sends 20 requests of 4000 bytes, which are answered after 0.2 seconds
    Then those that were not sent are refused with a time to retry within 1.2 seconds
    And those that were sent are answered

  Scenario: The processes know from reports whether the leader serves
    Given a relay and another process that know a leader
    When the leader of a newer epoch reports that it takes over
    Then both know that it serves nobody yet
    When it reports that it leads
    Then both know that it serves

  Scenario: A report of an older build doesn't say whether the leader takes over
    Given a report in the form of an older build, and one of this build
    Then the first is read, and its leader counts as one that serves
    And an older build reads the second without the new field
