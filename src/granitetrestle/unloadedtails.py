"""Unloaded tail latency of serving images, as a share of the target.

It is the scale by which a tail latency is converted to the share of time that a task is
busy. It differs between images and between deployments, so it is estimated from the
lowest tail latencies measured."""

import typing as t

__all__ = ["UnloadedTails"]

# Share of time that a task is busy when its tail latency is at its lowest.
LOWEST_TAIL_BUSY_SHARE: t.Final = 0.25
# Until the first poll. Unloaded tails of a sixth and of a fifth of the target occur.
INITIAL_LOWEST_TAIL: t.Final = 0.22
# The lowest tail is tracked as this quantile of all tails, since measurements are
# imprecise, by steps of this size (as a share of the target).
LOWEST_TAIL_QUANTILE: t.Final = 0.05
LOWEST_TAIL_STEP: t.Final = 0.004
# Bounds of the estimate.
MIN_UNLOADED_TAIL: t.Final = 0.05
MAX_UNLOADED_TAIL: t.Final = 0.5


class UnloadedTails:
    """Estimates the unloaded tail latency of each image, so that best-effort tasks get
    the right pace also where it is higher than the initial value.

    :param learns: whether polls update the estimates.
    """

    def __init__(self, learns: bool = True) -> None:
        self._learns = learns
        self._lowest: dict[str, float] = {}

    def tail_share(self, image: str) -> float:
        """Return the unloaded tail latency as a share of the target."""
        unloaded = self._lowest.get(image, INITIAL_LOWEST_TAIL) * (
            1.0 - LOWEST_TAIL_BUSY_SHARE
        )
        return max(MIN_UNLOADED_TAIL, min(MAX_UNLOADED_TAIL, unloaded))

    def busy_share(self, image: str, level: float) -> float:
        """Return the share of its time that a serving task is busy.

        :param level: its tail latency as a share of its target.
        """
        unloaded = self.tail_share(image)
        return 0.0 if level <= unloaded else 1.0 - unloaded / level

    def observe(self, image: str, level: float) -> None:
        """Update the estimate by a tail latency; interference only raises that."""
        if not self._learns:
            return
        lowest = self._lowest.get(image, INITIAL_LOWEST_TAIL)
        below = level < lowest
        lowest += (
            -LOWEST_TAIL_STEP * (1.0 - LOWEST_TAIL_QUANTILE)
            if below
            else LOWEST_TAIL_STEP * LOWEST_TAIL_QUANTILE
        )
        self._lowest[image] = lowest
