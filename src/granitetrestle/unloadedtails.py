"""How long the tail latency of an idle serving task is, as a share of its target: the
scale by which a tail tells how busy the task is. It differs from image to image and
from deployment to deployment, so it is learnt from the shortest tails seen."""

import typing as t

__all__ = ["UnloadedTails"]

# Share of busy time at the load that the shortest tails show.
MIN_BUSY_SHARE: t.Final = 0.25
# Before the first look; tails of a sixth and of a fifth of the target were seen.
INITIAL_LOWEST_TAIL: t.Final = 0.22
# The lowest tail is followed as this quantile of all tails, since figures are rough,
# by steps of this size (as a share of the target).
LOWEST_TAIL_QUANTILE: t.Final = 0.05
LOWEST_TAIL_STEP: t.Final = 0.004
# Whatever is learnt stays between these.
MIN_UNLOADED_TAIL: t.Final = 0.05
MAX_UNLOADED_TAIL: t.Final = 0.5


class UnloadedTails:
    """Follows the shortest tails of each image, so that what fills is paced right also
    where tails are longer than the prior says.

    :param learns: whether looks change what is believed.
    """

    def __init__(self, learns: bool = True) -> None:
        self._learns = learns
        self._lowest: dict[str, float] = {}

    def tail_share(self, image: str) -> float:
        """Return the tail of an idle task as a share of its target."""
        unloaded = self._lowest.get(image, INITIAL_LOWEST_TAIL) * (1.0 - MIN_BUSY_SHARE)
        return max(MIN_UNLOADED_TAIL, min(MAX_UNLOADED_TAIL, unloaded))

    def busy_share(self, image: str, level: float) -> float:
        """Return for which share of its time a serving task is busy.

        :param level: its tail latency as a share of its target.
        """
        unloaded = self.tail_share(image)
        return 0.0 if level <= unloaded else 1.0 - unloaded / level

    def observe(self, image: str, level: float) -> None:
        """Take up a tail; what disturbs only lengthens it."""
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
