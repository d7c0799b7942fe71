"""What can be done to a link: kinds of faults, the places that links join, and the check
that a fault names links that exist, made before anything starts."""

import enum
import math
import typing as t

__all__ = [
    "ALL_OTHERS",
    "Fault",
    "FaultKind",
    "LinkFaultError",
    "Place",
    "PlaceKind",
    "Topology",
    "UnknownFaultKind",
    "UnknownHall",
    "UnknownLink",
    "UnusableAmount",
    "Direction",
    "decode_fault",
]

# In place of a name: all who are not on the other side.
ALL_OTHERS: t.Final = "*"


class LinkFaultError(ValueError):
    """A fault that can't be brought about as it was asked for."""


class UnknownLink(LinkFaultError):
    """No link joins the two that were named."""


class UnknownHall(LinkFaultError):
    """No data hall has the name."""


class UnknownFaultKind(LinkFaultError):
    """There is no such kind of fault."""


class UnusableAmount(LinkFaultError):
    """The amount is missing, or not of the kind of fault."""


class FaultKind(enum.StrEnum):
    """What happens to the bytes from a source to a target."""

    # Nothing is read or delivered; whoever connects gets no answer. What was sent
    # meanwhile arrives afterwards, as with packets that are sent again.
    CUT = "cut"
    # Everything arrives ``amount`` seconds later.
    DELAY = "delay"
    # At most ``amount`` bytes a second arrive.
    SLOW = "slow"
    # Open connections are reset, new ones as soon as they are open.
    RESET = "reset"
    # What the source asks over connections that it opened arrives; no answer does, and
    # a connection on which one was lost stays silent for good.
    LOST_ANSWER = "lost_answer"
    # Connections that are open now deliver after ``amount`` seconds; what goes over
    # newer ones overtakes it.
    LATE = "late"


_KINDS_WITH_AMOUNT: t.Final = frozenset(
    {FaultKind.DELAY, FaultKind.SLOW, FaultKind.LATE}
)


class Fault(t.NamedTuple):
    """One fault.

    :param source: a place, a data hall, or :data:`ALL_OTHERS`; ``target`` as well.
    :param both: whether the way back is faulty too.
    :param amount: seconds or bytes a second, see :class:`FaultKind`.
    """

    kind: FaultKind
    source: str
    target: str
    both: bool = True
    amount: float = 0.0


class Direction(t.NamedTuple):
    """One direction between two places."""

    source: str
    target: str


class PlaceKind(enum.StrEnum):
    """What stands at a place."""

    NODE = "node"
    BOX = "box"
    STORE = "store"
    CLIENT = "client"


_LINKED_KINDS: t.Final = frozenset(
    {
        frozenset({PlaceKind.NODE}),
        frozenset({PlaceKind.NODE, PlaceKind.BOX}),
        frozenset({PlaceKind.NODE, PlaceKind.STORE}),
        frozenset({PlaceKind.NODE, PlaceKind.CLIENT}),
    }
)


class Place(t.NamedTuple):
    """One end of links.

    :param hall: its data hall; empty for the store and for clients.
    :param addresses: where it listens, IP:PORT; for a node the first is its peers'.
    """

    kind: PlaceKind
    hall: str
    addresses: tuple[str, ...]


class Topology:
    """All places of a cluster.

    :param places: by name.
    """

    def __init__(self, places: t.Mapping[str, Place]) -> None:
        self.places = dict(places)
        self._halls: dict[str, list[str]] = {}
        for name, place in places.items():
            if place.hall:
                self._halls.setdefault(place.hall, []).append(name)

    def hall(self, hall: str) -> tuple[str, ...]:
        """Return the places of a data hall.

        :raises UnknownHall: naming it.
        """
        if hall not in self._halls:
            raise UnknownHall(f"no data hall {hall!r}; there are {sorted(self._halls)}")
        return tuple(self._halls[hall])

    def are_linked(self, one: str, other: str) -> bool:
        """Say whether a link joins two places."""
        kinds = frozenset({self.places[one].kind, self.places[other].kind})
        return one != other and kinds in _LINKED_KINDS

    def directions(self, fault: Fault) -> tuple[Direction, ...]:
        """Return the directions that a fault is about.

        :raises UnknownLink: naming what joins no link.
        :raises UnusableAmount: naming the amount.
        """
        _check_amount(fault)
        sources, targets = self._resolve(fault.source), self._resolve(fault.target)
        if fault.target == ALL_OTHERS:
            targets -= sources if fault.source != ALL_OTHERS else set()
        elif fault.source == ALL_OTHERS:
            sources -= targets
        directions = [
            Direction(source, target)
            for source in sorted(sources)
            for target in sorted(targets)
            if self.are_linked(source, target)
        ]
        if not directions:
            raise UnknownLink(f"no link joins {fault.source!r} and {fault.target!r}")
        if fault.both:
            directions += [Direction(target, source) for source, target in directions]
        return tuple(dict.fromkeys(directions))

    def _resolve(self, name: str) -> set[str]:
        if name == ALL_OTHERS:
            return set(self.places)
        if name in self._halls:
            return set(self._halls[name])
        if name not in self.places:
            raise UnknownLink(f"no place or data hall {name!r}")
        return {name}


def _check_amount(fault: Fault) -> None:
    if fault.kind not in _KINDS_WITH_AMOUNT:
        if fault.amount:
            raise UnusableAmount(f"{fault.kind} takes no amount: {fault.amount!r}")
        return
    if not math.isfinite(fault.amount) or fault.amount <= 0:
        raise UnusableAmount(f"{fault.kind} needs an amount: {fault.amount!r}")


def decode_fault(raw: t.Mapping[str, t.Any]) -> Fault:
    """Return a fault from its JSON form.

    :raises LinkFaultError: naming what is wrong with it.
    """
    kinds = {kind.value: kind for kind in FaultKind}
    if raw.get("kind") not in kinds:
        raise UnknownFaultKind(f"no kind of fault {raw.get('kind')!r}")
    try:
        return Fault(
            kinds[raw["kind"]],
            str(raw["source"]),
            str(raw["target"]),
            bool(raw.get("both", True)),
            float(raw.get("amount", 0.0)),
        )
    except KeyError as error:
        raise UnknownLink(f"a fault without {error}: {dict(raw)!r}") from error
    except (TypeError, ValueError) as error:
        raise UnusableAmount(f"{raw.get('amount')!r} is no number") from error
