Feature: A burst of wide jobs through a small link
  The leader's link carries some 160 commands a second. Calls time out after 0.4 s, and
  a call that timed out still takes its share of the link.

  Scenario: Commands queue at the leader instead of timing out on the link
    Given 40 boxes behind a link that carries 160 commands a second
    When 240 best-effort starts are sent at once, and 0.3 seconds later 6 short ones
    Then at most 3 in 100 calls timed out, and each start was carried out
    And the short ones were answered within 0.5 seconds

  Scenario: Without the window many calls time out
    Given 40 boxes behind a link that carries 160 commands a second
    When the same is sent with the command window switched off
    Then at least 30 in 100 calls timed out

  Scenario: A box that is gone does not slow down commands to others
    Given a command window that sent 300 commands, answered in 5 ms each
    When 200 commands go alternately to a box that answers and to one that is gone
    Then it still allows at least 32 commands in flight

  Scenario: Tasks whose start can't be sent soon stay in the order of priority
    Given a leader with 40 free boxes that may send 10 commands soon
    When a job of 60 best-effort tasks waits, and then one of 4 short tasks
    Then 10 of the first are started, and the short ones before any more of them

  Scenario: A queued start is not sent to a box that starts draining meanwhile
    Given a leader with 40 free boxes that may send 10 commands soon
    When a job's start waits for its turn while its box starts to drain
    Then it is withdrawn, and its task starts elsewhere at once

  Scenario: A busy leader does not take its own delay for the link's
    Given a command window that sent 300 commands, answered in 5 ms each
    When its own event loop lags by 0.15 seconds, and 200 answers take 0.3 seconds
    Then it still allows at least 32 commands in flight

  Scenario: A leader that can't keep up polls less often
    Given a poller of a box that answers each poll at once
    When it polls for 0.6 seconds, and then its event loop lags by 0.1 seconds
    Then it polls at most a third as often
