"""Learns which images disturb which. For each pair of a serving image and an image
that fills, it keeps the probability that the second pushes the tail latency of the
first over its target, and revises it with every look at a box where both run."""

import typing as t

from .workflows import Step

__all__ = ["Interference", "Sighting"]

# What is believed of a pair never seen: about half of the pairs disturb.
PRIOR: t.Final = 0.4
# How often a serving task is over its target in one look, with and without a
# disturbing neighbour. Load swings, so the first is far from 1; measured on quiet
# days with nothing paced (0.3 to 0.5, and up to 0.03).
OVER_IF_DISTURBED: t.Final = 0.35
OVER_IF_NOT: t.Final = 0.03
# Looks half a second apart tell nearly the same: each counts for less than one.
WEIGHT: t.Final = 0.6
LEAST: t.Final = 0.02
MOST: t.Final = 0.98


class Sighting(t.NamedTuple):
    """One serving task in one look.

    :param over: whether it was over its target.
    :param beside: images that filled beside it for all of the figure's time.
    """

    image: str
    over: bool
    beside: frozenset[str]


class Interference:
    """Probabilities by pair of images."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], float] = {}

    def probability(self, serving: str, filler: str) -> float:
        """Return how likely ``filler`` pushes ``serving`` over its target."""
        return self._pairs.get((serving, filler), PRIOR)

    def risk(self, serving: t.Iterable[Step], filler: Step) -> float:
        """Return how many of the serving tasks ``filler`` would disturb, expected."""
        return sum(self.probability(step.image, filler.image) for step in serving)

    def saw(self, sighting: Sighting) -> None:
        """Revise the pairs of a sighting; any of those beside may be the cause."""
        quiet = 1.0
        for filler in sighting.beside:
            quiet *= 1.0 - self.probability(sighting.image, filler)
        given, otherwise = OVER_IF_DISTURBED, OVER_IF_NOT
        if not sighting.over:
            given, otherwise = 1.0 - given, 1.0 - otherwise
        likelihood = (1.0 - quiet) * given + quiet * otherwise
        for filler in sighting.beside:
            before = self.probability(sighting.image, filler)
            after = before * given / likelihood
            revised = before + WEIGHT * (after - before)
            pair = (sighting.image, filler)
            self._pairs[pair] = min(MOST, max(LEAST, revised))
