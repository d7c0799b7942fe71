"""Network faults that can be injected into links, and the topology of the links. A
fault is checked against the topology before anything starts, so that one that names no
link is refused and not silently without effect."""

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

# Stands for every place that isn't on the other side of the fault.
ALL_OTHERS: t.Final = "*"


class LinkFaultError(ValueError):
    """A fault is invalid and can't be injected."""


class UnknownLink(LinkFaultError):
    """No link joins the source and the target of a fault."""


class UnknownHall(LinkFaultError):
    """No data hall has the given name."""


class UnknownFaultKind(LinkFaultError):
    """The kind of a fault doesn't exist."""


class UnusableAmount(LinkFaultError):
    """The amount of a fault is missing or invalid, or its kind takes none."""


class FaultKind(enum.StrEnum):
    """What happens to the bytes from a source to a target."""

    # Nothing is delivered, and attempts to connect get no answer. Bytes sent during the
    # cut arrive after it, as with packets that are retransmitted.
    CUT = "cut"
    # All bytes arrive ``amount`` seconds later.
    DELAY = "delay"
    # At most ``amount`` bytes a second arrive.
    SLOW = "slow"
    # Open connections are reset, and new ones as soon as they are open.
    RESET = "reset"
    # On connections that the source opened its requests arrive, but no answers. A
    # connection that lost an answer delivers none later either, also after healing.
    LOST_ANSWER = "lost_answer"
    # Connections that are open now deliver nothing for ``amount`` seconds; bytes on
    # newer connections overtake theirs.
    LATE = "late"


_KINDS_WITH_AMOUNT: t.Final = frozenset(
    {FaultKind.DELAY, FaultKind.SLOW, FaultKind.LATE}
)


class Fault(t.NamedTuple):
    """A fault of the links between a source and a target.

    :param source: name of a place or a data hall, or :data:`ALL_OTHERS`.
    :param target: as ``source``.
    :param both: whether the direction from target to source is faulty too.
    :param amount: in seconds or bytes per second, see :class:`FaultKind`.
    """

    kind: FaultKind
    source: str
    target: str
    both: bool = True
    amount: float = 0.0


class Direction(t.NamedTuple):
    """One direction of the link between two places."""

    source: str
    target: str


class PlaceKind(enum.StrEnum):
    """The type of a place."""

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
    """An endpoint of links.

    :param hall: its data hall; empty for the store and for clients.
    :param addresses: the addresses that it listens on, IP:PORT; the first one of a node
        is for its peers.
    """

    kind: PlaceKind
    hall: str
    addresses: tuple[str, ...]


class Topology:
    """The places of a cluster and the links between them.

    :param places: places by name.
    """

    def __init__(self, places: t.Mapping[str, Place]) -> None:
        self.places = dict(places)
        self._halls: dict[str, list[str]] = {}
        for name, place in places.items():
            if place.hall:
                self._halls.setdefault(place.hall, []).append(name)

    def hall(self, hall: str) -> tuple[str, ...]:
        """Return the names of the places in a data hall.

        :raises UnknownHall: if there is no such hall.
        """
        if hall not in self._halls:
            raise UnknownHall(f"no data hall {hall!r}; there are {sorted(self._halls)}")
        return tuple(self._halls[hall])

    def are_linked(self, one: str, other: str) -> bool:
        """Return whether a link joins two places."""
        kinds = frozenset({self.places[one].kind, self.places[other].kind})
        return one != other and kinds in _LINKED_KINDS

    def directions(self, fault: Fault) -> tuple[Direction, ...]:
        """Return the directions that a fault affects.

        :raises UnknownLink: if a name is unknown or no link joins the two sides.
        :raises UnusableAmount: if the amount doesn't fit the kind of fault.
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
            raise UnusableAmount(f"{fault.kind} takes no amount, got {fault.amount!r}")
        return
    if not math.isfinite(fault.amount) or fault.amount <= 0:
        raise UnusableAmount(
            f"{fault.kind} needs a finite amount above 0, got {fault.amount!r}"
        )


def decode_fault(raw: t.Mapping[str, t.Any]) -> Fault:
    """Decode a fault from its JSON form.

    :raises LinkFaultError: if a field is missing or invalid.
    """
    kinds = {kind.value: kind for kind in FaultKind}
    if raw.get("kind") not in kinds:
        raise UnknownFaultKind(
            f"no kind of fault {raw.get('kind')!r}; there are {sorted(kinds)}"
        )
    try:
        return Fault(
            kinds[raw["kind"]],
            str(raw["source"]),
            str(raw["target"]),
            bool(raw.get("both", True)),
            float(raw.get("amount", 0.0)),
        )
    except KeyError as error:
        raise UnknownLink(f"fault lacks the field {error}: {dict(raw)!r}") from error
    except (TypeError, ValueError) as error:
        raise UnusableAmount(f"amount {raw.get('amount')!r} is not a number") from error
