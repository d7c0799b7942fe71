"""Times for which this process did not run, as while its machine stood still or was
suspended. Requests that are read right after one may have arrived at its beginning."""

import math
import time
import typing as t

from . import steadyclock
from .nodelog import NodeLog

__all__ = ["Standstills"]

MIN_STANDSTILL_S: t.Final = 0.8
# Shorter suspensions can't be told from the delay between reading the two clocks.
MIN_LOGGED_SUSPENSION_S: t.Final = 0.1
# How long after a standstill requests that had arrived before are still being read.
SETTLE_S: t.Final = 0.5


class Standstills:
    """Finds standstills by the time between two ticks, far shorter than one.

    :param clock: goes on while the machine is suspended.
    """

    def __init__(
        self, log: NodeLog, clock: t.Callable[[], float] = steadyclock.now
    ) -> None:
        self._log = log
        self._clock = clock
        # Beginning and end of the latest standstill.
        self._began_at = self._ended_at = -math.inf
        self.start()

    def start(self) -> None:
        """Begin to expect ticks."""
        self._ticked_at = self._clock()
        self._monotonic_at = time.monotonic()
        self._suspended_s = steadyclock.suspended_s()

    def tick(self) -> None:
        """Record that the process runs now."""
        suspended_s = steadyclock.suspended_s()
        slept_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if slept_s > MIN_LOGGED_SUSPENSION_S:
            self._log.event("was_suspended", seconds=round(slept_s, 2))
        monotonic = time.monotonic()
        if monotonic - self._monotonic_at > MIN_STANDSTILL_S:
            stood_s = monotonic - self._monotonic_at
            self._log.event("stood_still", seconds=round(stood_s, 2))
        self._monotonic_at = monotonic
        now = self._clock()
        if now - self._ticked_at > MIN_STANDSTILL_S:
            self._began_at, self._ended_at = self._ticked_at, now
        self._ticked_at = now

    def held_up_s(self) -> float:
        """Return for how long a request that is read now may have waited."""
        now = self._clock()
        if now - self._ticked_at > MIN_STANDSTILL_S:
            return now - self._ticked_at
        return now - self._began_at if now - self._ended_at < SETTLE_S else 0.0
