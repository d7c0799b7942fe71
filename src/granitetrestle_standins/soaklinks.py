"""Random faults of links for a soak: between one pair, between the decider and all of a
kind, of a whole data hall, one way or both. Each lasts for a drawn time."""

import random
import time
import typing as t

from .linkfaults import EVERYBODY
from .linkfaults import Fault
from .linkfaults import FaultKind
from .links import CLIENT
from .links import STORE
from .links import Links

__all__ = ["LinkFaults"]

# How long a fault lasts: from less than a decider's silence that is noticed (0.8 s) to
# several leases.
LAST_S: t.Final = (0.4, 1.0, 2.0, 4.0, 8.0, 12.0)
# What is held back arrives after a call's time-out, a take-over or a lease.
LATE_S: t.Final = (0.3, 0.8, 1.5, 3.0, 6.0)
DELAY_S: t.Final = (0.02, 0.1, 0.3, 0.7)
SLOW_BYTES_PER_S: t.Final = (1_000.0, 10_000.0, 100_000.0)
KINDS: t.Final = (
    (FaultKind.CUT, 6),
    (FaultKind.LATE, 4),
    (FaultKind.LOST_ANSWER, 3),
    (FaultKind.RESET, 2),
    (FaultKind.DELAY, 2),
    (FaultKind.SLOW, 1),
)


class _Lasting(t.NamedTuple):
    """A fault that is in force.

    :param until: seconds on the monotonic clock.
    """

    until: float
    fault: Fault


class LinkFaults:
    """Draws faults, and ends each when its time is over."""

    def __init__(
        self,
        draw: random.Random,
        links: Links,
        nodes: t.Sequence[str],
        boxes: t.Sequence[str],
        halls: t.Sequence[str],
    ) -> None:
        self._draw = draw
        self._links = links
        self._nodes = nodes
        self._boxes = boxes
        self._halls = halls
        self._lasting: list[_Lasting] = []

    def begin(self, leader: str | None) -> None:
        """Bring faults about.

        :param leader: who decides, as far as is known.
        """
        kinds, weights = zip(*KINDS, strict=True)
        (kind,) = self._draw.choices(kinds, weights)
        both = self._draw.random() < 0.5
        amount = self._amount(kind)
        until = time.monotonic() + self._draw.choice(LAST_S)
        for source, target in self._where(leader):
            fault = Fault(kind, source, target, both, amount)
            self._links.set(fault)
            if kind is not FaultKind.LATE:
                # What is held back arrives by itself.
                self._lasting.append(_Lasting(until, fault))

    def end(self, all_of_them: bool = False) -> None:
        """End faults whose time is over."""
        if all_of_them:
            self._lasting.clear()
            self._links.heal()
            return
        now = time.monotonic()
        over = [lasting for lasting in self._lasting if lasting.until <= now]
        if not over:
            return
        self._lasting = [lasting for lasting in self._lasting if lasting.until > now]
        for lasting in over:
            self._links.heal(lasting.fault.source, lasting.fault.target)
        # Others on the same links go on.
        for lasting in self._lasting:
            self._links.set(lasting.fault)

    def _amount(self, kind: FaultKind) -> float:
        if kind is FaultKind.LATE:
            return self._draw.choice(LATE_S)
        if kind is FaultKind.DELAY:
            return self._draw.choice(DELAY_S)
        if kind is FaultKind.SLOW:
            return self._draw.choice(SLOW_BYTES_PER_S)
        return 0.0

    def _where(self, leader: str | None) -> list[tuple[str, str]]:
        """Draw the links, each as a source and a target."""
        node = leader if self._draw.random() < 0.6 else None
        node = node or self._draw.choice(self._nodes)
        others = [other for other in self._nodes if other != node]
        some = [box for box in self._boxes if self._draw.random() < 0.5]
        places = (
            ([self._draw.choice(others)] if others else [], 3),
            ([self._draw.choice(self._boxes)], 3),
            ([STORE], 3),
            ([CLIENT], 1),
            # All others lose the decider, which still reaches the store and the boxes.
            (others, 3),
            (some, 3),
            ([STORE, *others], 2),
            ([STORE, *others, *self._boxes], 2),
        )
        (chosen,) = self._draw.choices([p for p, _ in places], [w for _, w in places])
        hall = self._draw.choice(self._halls)
        if not chosen or self._draw.random() < 0.2:
            pair = (hall, EVERYBODY)
            return [pair if self._draw.random() < 0.5 else (pair[1], pair[0])]
        outwards = self._draw.random() < 0.5
        return [(node, one) if outwards else (one, node) for one in chosen]
