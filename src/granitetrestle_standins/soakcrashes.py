"""Crashes of boxes in a soak of real processes: one or many at once, which start again soon,
most of them under the id that they had, and are in the list some time later."""

import random
import typing as t

from .nativecluster import NativeCluster

__all__ = ["SoakCrashes"]

# Of a hundred things that happen, beside so many boxes crash: one, or so large a part.
PERCENT: t.Final = 12
PARTS: t.Final = (0.0, 0.0, 0.34)
# They start again, and then are listed anew, after so many seconds; this share of them
# under the id that they had.
DOWN_S: t.Final = (0.05, 0.3, 1.0, 3.0)
LISTED_AFTER_S: t.Final = (0.0, 0.0, 0.5, 1.5)
KEEPS_ID: t.Final = 0.75


class SoakCrashes:
    """Draws crashes, apart from what else a seed draws: that stays as it was.

    :ivar counts: how many boxes crashed, by under which id they started again.
    """

    def __init__(self, seed: int) -> None:
        self._draw = random.Random(f"crashes {seed}")
        self.counts: dict[str, int] = {}

    def happen(self, cluster: NativeCluster) -> None:
        """Let boxes crash, or not."""
        draw = self._draw
        if draw.randrange(100) >= PERCENT:
            return
        count = max(1, round(draw.choice(PARTS) * cluster.boxes))
        for box in draw.sample(range(cluster.boxes), count):
            self._crash(cluster, box)

    def _crash(self, cluster: NativeCluster, box: int) -> None:
        down_s, listed_s = self._draw.choice(DOWN_S), self._draw.choice(LISTED_AFTER_S)
        keeps = self._draw.random() < KEEPS_ID
        cluster.box(box, f"/test/crash?s={down_s}&keep={int(keeps)}&list={listed_s}")
        name = "their id" if keeps else "another id"
        self.counts[name] = self.counts.get(name, 0) + 1
