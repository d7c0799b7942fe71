"""Pace of the calls to the advice service.

The service handles one call of a process at a time, in turn, and also handles a call that
its caller has given up. A second open call therefore brings no answer sooner: it takes a
place in the line, and if it is given up before its turn, the service works for nobody. So
one call is open at a time, it is given as long as the service needs for it, and whatever
waits is asked about when the service is free."""

import typing as t

from .interfaces import Advice
from .interfaces import AdviceUnavailable

__all__ = ["AdvicePace"]

# A call may take this many times what it is expected to, plus the slack, which covers the
# network and the delays of a busy process.
TIMEOUT_FACTOR: t.Final = 3.0
TIMEOUT_SLACK_S: t.Final = 1.0
# A call that is given up is followed by one with twice the time, up to this: the service
# handles the former first.
MAX_TIMEOUT_S: t.Final = 30.0
# Pauses after consecutive failed calls; a service that refuses calls needs time.
FIRST_RETRY_S: t.Final = 0.25
MAX_RETRY_S: t.Final = 2.0
# Weight of the newest answer in what is learnt from answers.
LEARNING_RATE: t.Final = 0.5
MAX_SLOWNESS: t.Final = 20.0
# Shorter durations say little about the service: the network takes as long.
MIN_EXPECTED_S: t.Final = 0.05


class AdvicePace:
    """Decides when the service is called next, and how long the call may take.

    :ivar slowness: how many times longer than expected answers take, 1 or more.
    :ivar answered: number of calls that were answered.
    :ivar failed: number of calls that were not.
    """

    def __init__(self) -> None:
        self._sent_at: float | None = None
        self._expected_s = MIN_EXPECTED_S
        self._not_before = -1e9
        self._failures = 0
        self._timeouts = 0
        self.slowness = 1.0
        self.answered = 0
        self.failed = 0

    @property
    def is_open(self) -> bool:
        """Whether a call is open."""
        return self._sent_at is not None

    def may_call(self, now: float) -> bool:
        """Return whether the next call may be made."""
        return self._sent_at is None and now >= self._not_before

    def begin(self, expected_s: float, now: float) -> float:
        """Record that a call is made; return its timeout in seconds.

        :param expected_s: how long the service says that it takes.
        """
        self._sent_at = now
        self._expected_s = max(MIN_EXPECTED_S, expected_s)
        timeout_s = TIMEOUT_FACTOR * self._expected_s * self.slowness + TIMEOUT_SLACK_S
        return float(min(MAX_TIMEOUT_S, timeout_s * 2.0**self._timeouts))

    def end(self, outcome: Advice | AdviceUnavailable, now: float) -> float:
        """Record the outcome of the open call; return how long it took, in seconds."""
        took_s = 0.0 if self._sent_at is None else now - self._sent_at
        self._sent_at = None
        if isinstance(outcome, Advice):
            self.answered += 1
            self._failures = self._timeouts = 0
            measured = max(1.0, took_s / self._expected_s)
            self.slowness += LEARNING_RATE * (measured - self.slowness)
            self.slowness = min(MAX_SLOWNESS, self.slowness)
            return took_s
        self.failed += 1
        self._not_before = now + min(MAX_RETRY_S, FIRST_RETRY_S * 2.0**self._failures)
        # Beyond these counts the limits above hold anyway.
        self._failures = min(10, self._failures + 1)
        if outcome.timed_out:
            self._timeouts = min(10, self._timeouts + 1)
        return took_s
