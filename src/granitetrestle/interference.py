"""Learns which images disturb which. The model: a serving task is busy for a share of
its time; an image that fills beside it stretches its work in proportion to the
processor time that it takes. The tasks of one step share their load, so the least
busy of them show what the others would be at rest, and the difference is measured
as stretch. For each pair of images its strength is fitted to that, look by look."""

import typing as t

__all__ = [
    "MEAN_BUSY",
    "SUSPECT",
    "Interference",
    "StepLoad",
    "busy_share",
]

# Tail latency of an idle serving task as a share of its target. Measured on quiet
# days of both deployments with nothing beside (4,389 looks): the least levels lie at 0.22,
# which is this at a load of a quarter.
IDLE_TAIL: t.Final = 1.0 / 6.0
# Share of busy time when nothing disturbs: least, mean, most; from the same looks.
LEAST_BUSY: t.Final = 0.2
MEAN_BUSY: t.Final = 0.5
MOST_BUSY: t.Final = 0.76
# How much a pair stretches work when the filler takes the whole box: what is believed
# of one never seen, and the most. Measured without pacing: 0 to 1, or 4 to 8.
PRIOR: t.Final = 2.0
STRONGEST: t.Final = 10.0
# From this strength on a pair is slowed down when need be.
SUSPECT: t.Final = 1.2
# Step of the fit, and the share of a box below which little is learnt. Giving strengths
# up more slowly than taking them was tried: docs/MEASUREMENTS.md.
RATE: t.Final = 0.25
FLOOR: t.Final = 0.003
# A task this busy may be busier than can be told from its tail.
SATURATED: t.Final = 0.9
# Sightings of one step that are compared with each other.
SIGHTING_S: t.Final = 1.2


def busy_share(level: float) -> float:
    """Return for which share of its time a serving task is busy.

    :param level: its tail latency as a share of its target.
    """
    if level <= IDLE_TAIL:
        return 0.0
    return 1.0 - IDLE_TAIL / level


class StepLoad:
    """The load that the tasks of one serving step share."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}

    def saw(self, task: str, busy: float, now: float) -> None:
        """Take up how busy one of the tasks was seen."""
        self._seen[task] = (busy, now)

    def compared(self, now: float) -> int:
        """Return how many tasks were seen of late."""
        return sum(now - at < SIGHTING_S for _, at in self._seen.values())

    def at_rest(self, now: float) -> float:
        """Return how busy a task is that nothing disturbs, between the bounds."""
        recent = sorted(b for b, at in self._seen.values() if now - at < SIGHTING_S)
        if not recent:
            return MEAN_BUSY
        # The least of several rough figures lies too low; the two least do not.
        least = recent[:2]
        return max(LEAST_BUSY, min(MOST_BUSY, sum(least) / len(least)))


class Interference:
    """Strengths by pair of images."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], float] = {}

    def strength(self, serving: str, filler: str) -> float:
        """Return by how much ``filler`` stretches ``serving`` with a whole box."""
        return self._pairs.get((serving, filler), PRIOR)

    def stretch(self, serving: str, beside: t.Mapping[str, float]) -> float:
        """Return by how much the work of ``serving`` is expected to be stretched.

        :param beside: image that fills -> share of the box's processors it takes.
        """
        return sum(
            share * self.strength(serving, filler) for filler, share in beside.items()
        )

    def saw(
        self, serving: str, busy: float, at_rest: float, beside: t.Mapping[str, float]
    ) -> None:
        """Fit the pairs to a serving task seen ``busy``."""
        if not beside:
            return
        error = busy / at_rest - 1.0 - self.stretch(serving, beside)
        if busy > SATURATED and error < 0.0:
            return
        # Where there is little load, a small error of it makes a large one here.
        error *= min(1.0, 2.0 * at_rest)
        norm = FLOOR + sum(share * share for share in beside.values())
        for filler, share in beside.items():
            before = self.strength(serving, filler)
            after = before + RATE * error * share / norm
            self._pairs[(serving, filler)] = max(0.0, min(STRONGEST, after))
