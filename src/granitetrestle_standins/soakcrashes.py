"""Random crashes of boxes in a soak of real processes: one or many boxes at once, which
restart soon, most of them under their old id, and are listed some time later. At the
end of a run all processes may lose power at once, and all boxes with them."""

import random
import signal
import typing as t

from .nativecluster import NativeCluster

__all__ = ["SoakCrashes"]

# Probability per operation of the soak that boxes crash as well, and the shares of all
# boxes that do (at least one box).
CRASH_PROBABILITY_PERCENT: t.Final = 12
CRASHED_SHARES: t.Final = (0.0, 0.0, 0.34)
# Time until a crashed box restarts, time from then until it is listed again, and the
# probability that the boxes keep their id.
DOWNTIMES_S: t.Final = (0.05, 0.3, 1.0, 3.0)
LISTING_DELAYS_S: t.Final = (0.0, 0.0, 0.5, 1.5)
KEEP_ID_PROBABILITY: t.Final = 0.75
# Probability that all processes lose power at the end of a run, and that all boxes then
# do too.
POWER_OFF_PROBABILITY: t.Final = 0.4
BOXES_POWER_OFF_PROBABILITY: t.Final = 0.5


class SoakCrashes:
    """Draws crashes from a random sequence of its own, so that they don't change what
    else is drawn from the same seed.

    :ivar counts: number of crashed boxes by the id that they restart with; "power off"
        is 1 if all processes lost power at the end, 2 if all boxes did too.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"crashes {seed}")
        self.counts: dict[str, int] = {}

    def crash_boxes(self, cluster: NativeCluster) -> None:
        """Crash some boxes, with a probability of ``CRASH_PROBABILITY_PERCENT``."""
        rng = self._random
        if rng.randrange(100) >= CRASH_PROBABILITY_PERCENT:
            return
        count = max(1, round(rng.choice(CRASHED_SHARES) * cluster.boxes))
        for box in rng.sample(range(cluster.boxes), count):
            self._crash(cluster, box)

    def power_off(self, cluster: NativeCluster) -> bool:
        """Perhaps cut and restore the power of all processes, or of all boxes as well.

        The store keeps its power.

        :returns: whether power was cut; then all processes have started again.
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
