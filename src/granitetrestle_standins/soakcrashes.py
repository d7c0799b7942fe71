"""Crashes of boxes in a soak of real processes: one or many at once, which start again soon,
most of them under the id that they had, and are in the list some time later. At the end of a
run all processes may lose power at the same moment, and all boxes with them."""

import random
import signal
import typing as t

from .nativecluster import NativeCluster

__all__ = ["SoakCrashes"]

# Of a hundred things that happen, beside so many boxes crash: one, or so large a part.
CRASH_PROBABILITY_PERCENT: t.Final = 12
CRASHED_SHARES: t.Final = (0.0, 0.0, 0.34)
# They start again, and then are listed anew, after so many seconds; this share of them
# under the id that they had.
DOWNTIMES_S: t.Final = (0.05, 0.3, 1.0, 3.0)
LISTING_DELAYS_S: t.Final = (0.0, 0.0, 0.5, 1.5)
KEEP_ID_PROBABILITY: t.Final = 0.75
# Shares of the runs at whose end all processes lose power, and of these in which all boxes
# do as well.
POWER_OFF_PROBABILITY: t.Final = 0.4
BOXES_POWER_OFF_PROBABILITY: t.Final = 0.5


class SoakCrashes:
    """Draws crashes, apart from what else a seed draws: that stays as it was.

    :ivar counts: how many boxes crashed, by under which id they started again; "power off"
        is 1 if all processes lost power at the end, 2 if all boxes did too.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"crashes {seed}")
        self.counts: dict[str, int] = {}

    def crash_boxes(self, cluster: NativeCluster) -> None:
        """Let boxes crash, or not."""
        rng = self._random
        if rng.randrange(100) >= CRASH_PROBABILITY_PERCENT:
            return
        count = max(1, round(rng.choice(CRASHED_SHARES) * cluster.boxes))
        for box in rng.sample(range(cluster.boxes), count):
            self._crash(cluster, box)

    def power_off(self, cluster: NativeCluster) -> bool:
        """Let everything but the store lose power and start again, or not.

        :returns: whether it did; all processes have started then.
        """
        if self._random.random() >= POWER_OFF_PROBABILITY:
            return False
        boxes = (
            range(cluster.boxes)
            if self._random.random() < BOXES_POWER_OFF_PROBABILITY
            else range(0)
        )
        for name in cluster.nodes():
            cluster.kill(name, signal.SIGCONT)
            cluster.kill(name)
        for box in boxes:
            self._crash(cluster, box)
        started = {name: _count_starts(cluster, name) for name in cluster.nodes()}
        for name in cluster.nodes():
            cluster.restart(name)
        cluster.wait(
            lambda: all(
                _count_starts(cluster, n) > count for n, count in started.items()
            ),
            "all processes have started again",
        )
        self.counts["power off"] = 1 + bool(boxes)
        return True

    def _crash(self, cluster: NativeCluster, box: int) -> None:
        down_s, listing_delay_s = (
            self._random.choice(DOWNTIMES_S),
            self._random.choice(LISTING_DELAYS_S),
        )
        keeps_id = self._random.random() < KEEP_ID_PROBABILITY
        cluster.box(
            box, f"/test/crash?s={down_s}&keep={int(keeps_id)}&list={listing_delay_s}"
        )
        name = "their id" if keeps_id else "another id"
        self.counts[name] = self.counts.get(name, 0) + 1


def _count_starts(cluster: NativeCluster, name: str) -> int:
    return sum(line["event"] == "started" for line in cluster.log(name))
