"""Lag of this process's event loop. A delay that the process itself causes must not be
taken for a slow link, and less urgent work is delayed while the loop lags."""

import math
import time
import typing as t

import anyio

__all__ = ["LoopLag"]

SAMPLE_INTERVAL_S: t.Final = 0.05
# The lag decays to this share at each sample, so one long pass counts for about 1 s.
LAG_DECAY_FACTOR: t.Final = 0.9
# A process whose loop stood still for longer is taken for dead by others.
STALL_THRESHOLD_S: t.Final = 0.8


class LoopLag:
    """Measures by how much a short sleep overruns.

    :ivar lag_s: longest recent overrun, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._sampled_at = clock()
        self._stalled_until = -math.inf
        self.lag_s = 0.0

    @property
    def stalled_until(self) -> float:
        """When the last stall of this process ended, on its clock: now, if the loop has
        stalled since the last sample."""
        now = self._clock()
        return (
            now if now - self._sampled_at > STALL_THRESHOLD_S else self._stalled_until
        )

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            started_at = self._clock()
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self.record_sleep(self._clock() - started_at)

    def record_sleep(self, seconds: float) -> None:
        """Record how long a sleep of ``SAMPLE_INTERVAL_S`` took."""
        self._sampled_at = self._clock()
        if seconds > STALL_THRESHOLD_S:
            self._stalled_until = self._sampled_at
        self.lag_s = max(seconds - SAMPLE_INTERVAL_S, self.lag_s * LAG_DECAY_FACTOR)
