"""Learns which images disturb which. The model: a serving task is busy for a share of
its time; an image that fills beside it stretches its work in proportion to the
processor time it takes, if the pair is one that disturbs. For each pair the
probability of that is revised with every look at a box where both run."""

import math
import typing as t

__all__ = [
    "FIGURE_LAG_S",
    "MEAN_BUSY",
    "STRETCH",
    "SUSPECT",
    "AtRest",
    "Interference",
    "busy_share",
]

# Tail latency of an idle serving task as a share of its target. Measured on quiet
# days of both deployments with nothing beside (2,127 looks: 5% at 0.22).
IDLE_TAIL: t.Final = 1.0 / 6.0
# Share of busy time when nothing disturbs: least, mean, most; and how fast it moves
# in a second. From the same looks.
LEAST_BUSY: t.Final = 0.2
MEAN_BUSY: t.Final = 0.5
MOST_BUSY: t.Final = 0.76
DRIFT_PER_S: t.Final = 0.15
# How much a disturbing image stretches work when it takes the whole box; measured
# on the same days without pacing (4.5 to 7 by pair).
STRETCH: t.Final = 6.0
# What is believed of a pair never seen.
PRIOR: t.Final = 0.45
# A pair more likely than this to disturb is slowed down when need be.
SUSPECT: t.Final = 0.3
# Scatter of a busy share computed from one rough figure.
SCATTER: t.Final = 0.07
# Looks half a second apart tell nearly the same: each counts for less than one.
WEIGHT: t.Final = 0.5
# Figures follow a change of what fills within about this time.
FIGURE_LAG_S: t.Final = 0.5
UNLIKELY: t.Final = 0.05
LEAST: t.Final = 0.02
MOST: t.Final = 0.98
# Less than this of a box can't be told from nothing.
LEAST_SHARE: t.Final = 0.015


class AtRest:
    """How busy a serving task would be with nothing beside, and since when we know."""

    __slots__ = ("at", "busy")

    def __init__(self, busy: float, at: float) -> None:
        self.busy = busy
        self.at = at


def busy_share(level: float) -> float:
    """Return for which share of its time a serving task is busy.

    :param level: its tail latency as a share of its target.
    """
    if level <= IDLE_TAIL:
        return 0.0
    return 1.0 - IDLE_TAIL / level


class Interference:
    """Probabilities by pair of images."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], float] = {}

    def probability(self, serving: str, filler: str) -> float:
        """Return how likely ``filler`` is to disturb ``serving``."""
        return self._pairs.get((serving, filler), PRIOR)

    def stretch(self, serving: str, beside: t.Mapping[str, float]) -> float:
        """Return by how much the work of ``serving`` is expected to be stretched.

        :param beside: image that fills -> share of the box's processors it takes.
        """
        return STRETCH * sum(
            share * self.probability(serving, filler)
            for filler, share in beside.items()
        )

    def saw(
        self,
        serving: str,
        busy: float,
        beside: t.Mapping[str, float],
        at_rest: AtRest,
        now: float,
    ) -> None:
        """Revise the pairs of a serving task that was seen ``busy``, and its load.

        Load drifts slowly, so a sudden change goes to the account of what fills.
        """
        total = self.stretch(serving, beside)
        moved = DRIFT_PER_S * min(2.0, now - at_rest.at)
        for filler, share in beside.items():
            if share < LEAST_SHARE:
                continue
            before = self.probability(serving, filler)
            others = 1.0 + total - STRETCH * share * before
            if_not = _likelihood(busy, others, at_rest.busy, moved)
            stretched = others + STRETCH * share
            if_disturbs = _likelihood(busy, stretched, at_rest.busy, moved)
            odds = before * if_disturbs
            after = odds / (odds + (1.0 - before) * if_not)
            revised = before + WEIGHT * (after - before)
            self._pairs[(serving, filler)] = min(MOST, max(LEAST, revised))
        implied = busy / (1.0 + self.stretch(serving, beside))
        drift = max(-moved, min(moved, implied - at_rest.busy))
        at_rest.busy = max(LEAST_BUSY, min(MOST_BUSY, at_rest.busy + drift))
        at_rest.at = now


def _likelihood(busy: float, stretched: float, at_rest: float, moved: float) -> float:
    """Return how well a stretch explains ``busy``, up to a constant factor."""
    expected = min(1.0, at_rest * stretched)
    slack = SCATTER + moved * stretched
    off = (busy - expected) / slack
    return max(UNLIKELY, math.exp(-0.5 * off * off))
