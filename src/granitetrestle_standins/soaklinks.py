"""Random link faults for a soak: between one pair of places, between the leader and all
places of a kind, or of a whole data hall; one way or both, each for a random time."""

import random
import time
import typing as t

from .linkfaults import ALL_OTHERS
from .linkfaults import Fault
from .linkfaults import FaultKind
from .links import CLIENT
from .links import STORE
from .links import Links

__all__ = ["HOLD_TIMES_S", "LinkFaults"]

# From less than the time after which a silent leader is noticed (0.8 s) to several
# lease durations.
FAULT_DURATIONS_S: t.Final = (0.4, 1.0, 2.0, 4.0, 8.0, 12.0)
# Held-back calls arrive after a call's timeout, a takeover or the expiry of a lease.
HOLD_TIMES_S: t.Final = (0.3, 0.8, 1.5, 3.0, 6.0)
DELAYS_S: t.Final = (0.02, 0.1, 0.3, 0.7)
RATES_BYTES_PER_S: t.Final = (1_000.0, 10_000.0, 100_000.0)
KIND_WEIGHTS: t.Final = (
    (FaultKind.CUT, 6),
    (FaultKind.LATE, 4),
    (FaultKind.LOST_ANSWER, 3),
    (FaultKind.RESET, 2),
    (FaultKind.DELAY, 2),
    (FaultKind.SLOW, 1),
)


class _ActiveFault(t.NamedTuple):
    """A fault that is in effect.

    :param until: when it ends, in seconds on the monotonic clock.
    """

    until: float
    fault: Fault


class LinkFaults:
    """Injects random faults and ends each after its duration."""

    def __init__(
        self,
        rng: random.Random,
        links: Links,
        nodes: t.Sequence[str],
        boxes: t.Sequence[str],
        halls: t.Sequence[str],
    ) -> None:
        self._random = rng
        self._links = links
        self._nodes = nodes
        self._boxes = boxes
        self._halls = halls
        self._active: list[_ActiveFault] = []

    def inject(self, leader: str | None) -> None:
        """Inject a random fault on one link or several.

        :param leader: the leader, if it is known.
        """
        kinds, weights = zip(*KIND_WEIGHTS, strict=True)
        (kind,) = self._random.choices(kinds, weights)
        both_ways = self._random.random() < 0.5
        amount = self._draw_amount(kind)
        until = time.monotonic() + self._random.choice(FAULT_DURATIONS_S)
        for source, target in self._draw_links(leader):
            self.add(Fault(kind, source, target, both_ways, amount), until)

    def add(self, fault: Fault, until: float) -> None:
        """Inject a fault that ends at a time on the monotonic clock."""
        self._links.set_fault(fault)
        if fault.kind is not FaultKind.LATE:
            # Held-back calls are delivered without an end of the fault.
            self._active.append(_ActiveFault(until, fault))

    def end_expired(self, everything: bool = False) -> None:
        """End faults whose duration is over, or all faults."""
        if everything:
            self._active.clear()
            self._links.heal()
            return
        now = time.monotonic()
        expired = [active for active in self._active if active.until <= now]
        if not expired:
            return
        self._active = [active for active in self._active if active.until > now]
        for active in expired:
            self._links.heal(active.fault.source, active.fault.target)
        # Healing a link also ends other faults on it that are still active.
        for active in self._active:
            self._links.set_fault(active.fault)

    def _draw_amount(self, kind: FaultKind) -> float:
        if kind is FaultKind.LATE:
            return self._random.choice(HOLD_TIMES_S)
        if kind is FaultKind.DELAY:
            return self._random.choice(DELAYS_S)
        if kind is FaultKind.SLOW:
            return self._random.choice(RATES_BYTES_PER_S)
        return 0.0

    def _draw_links(self, leader: str | None) -> list[tuple[str, str]]:
        """Draw the links to disturb, each as a source and a target."""
        node = leader if self._random.random() < 0.6 else None
        node = node or self._random.choice(self._nodes)
        others = [other for other in self._nodes if other != node]
        some = [box for box in self._boxes if self._random.random() < 0.5]
        target_weights = (
            ([self._random.choice(others)] if others else [], 3),
            ([self._random.choice(self._boxes)], 3),
            ([STORE], 3),
            ([CLIENT], 1),
            # The other nodes lose the leader, which still reaches the store and boxes.
            (others, 3),
            (some, 3),
            ([STORE, *others], 2),
            ([STORE, *others, *self._boxes], 2),
        )
        (chosen,) = self._random.choices(
            [p for p, _ in target_weights], [w for _, w in target_weights]
        )
        hall = self._random.choice(self._halls)
        if not chosen or self._random.random() < 0.2:
            pair = (hall, ALL_OTHERS)
            return [pair if self._random.random() < 0.5 else (pair[1], pair[0])]
        outbound = self._random.random() < 0.5
        return [(node, one) if outbound else (one, node) for one in chosen]
