"""How far behind this process's own event loop is. What takes long because the process
itself is busy must not be taken for a slow link, and less urgent work gives way to it."""

import math
import time
import typing as t

import anyio

__all__ = ["LoopLag"]

SAMPLE_INTERVAL_S: t.Final = 0.05
# The lag is forgotten by this share at each reading, so that one long pass counts for
# about a second.
LAG_DECAY_FACTOR: t.Final = 0.9


# A process that has not turned for so long has stood still: others take it for dead.
STALL_THRESHOLD_S: t.Final = 0.8


class LoopLag:
    """Measures by how much a short sleep is exceeded.

    :ivar lag_s: the longest of late, in seconds.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._sampled_at = clock()
        self._stalled_until = -math.inf
        self.lag_s = 0.0

    @property
    def stalled_until(self) -> float:
        """When this process last went on after it had stood still, on its clock; now, if
        that was just before, so that nothing has measured it yet."""
        now = self._clock()
        return (
            now if now - self._sampled_at > STALL_THRESHOLD_S else self._stalled_until
        )

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started_at = self._clock()
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self.record_sleep(self._clock() - started_at)

    def record_sleep(self, seconds: float) -> None:
        """Take up how long a sleep of ``SAMPLE_INTERVAL_S`` took."""
        self._sampled_at = self._clock()
        if seconds > STALL_THRESHOLD_S:
            self._stalled_until = self._sampled_at
        self.lag_s = max(seconds - SAMPLE_INTERVAL_S, self.lag_s * LAG_DECAY_FACTOR)
