"""Witnesses: boxes from which a leader learns that no successor leads. From their answers
a successor learns that no earlier leader can renew leases on their word any more.

A leader that the store does not confirm can't tell whether the store is away or whether
it has been replaced. So it also asks a panel of boxes: each rejects polls of an epoch
older than the newest one that it has seen. While a majority of the panel accepts a
leader's polls, no successor has reached a majority. Once a majority has answered a
successor, no poll that an earlier leader sends can be accepted by a majority.

Both must mean the same panel, so it is a record in the store. While an append with a
changed one has no answer, the store may hold either, and a leader needs a majority of
both."""

import collections
import itertools
import math
import typing as t

import msgspec

from .boxes import BoxView
from .decisions import ConfirmPanel
from .fieldtypes import Integer
from .interfaces import Record

__all__ = ["PANEL_KEY", "Panel", "Witnesses", "choose_members"]

PANEL_KEY: t.Final = "w/panel"
# A majority remains if one of three even data halls is lost, and two more boxes. Each member
# costs some 15 bytes in a record that is written when one is lost.
MAX_MEMBERS: t.Final = 15
# With fewer, the loss of one box leaves no majority.
MIN_MEMBERS: t.Final = 3


class Panel(msgspec.Struct, frozen=True, array_like=True):
    """A panel of witnesses.

    :param version: higher than that of every earlier panel in the store; 0 if there was
        none.
    :param members: incarnations of boxes; empty if there is no panel.
    """

    version: Integer = 0
    members: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        """How many members are a majority."""
        return len(self.members) // 2 + 1


_encode = msgspec.msgpack.Encoder().encode
_panels = msgspec.msgpack.Decoder(Panel)


class Witnesses:
    """The panel of a shard, and which of its members have accepted this leader's polls.

    Times are in seconds on a clock that goes on while the machine is suspended.
    """

    def __init__(self) -> None:
        # The panel that the store is known to hold, and one that it may hold already.
        self._panel = Panel()
        self._next: Panel | None = None
        self._record: Record | None = None
        self._inherited = Panel()
        # Members of the inherited panel that accept no poll of earlier leaders any more.
        self._excluding: set[str] = set()
        # Incarnation -> when the newest poll that it accepted was sent.
        self._accepted_at: dict[str, float] = {}
        # Newest version that an earlier leader may have written.
        self._newest_version = 0

    @property
    def panel(self) -> Panel:
        """The newest panel that is written, or about to be."""
        return self._panel if self._next is None else self._next

    @property
    def inherited(self) -> Panel:
        """The panel that earlier leaders left."""
        return self._inherited

    @property
    def waiting(self) -> bool:
        """Whether a record must be written."""
        return self._record is not None

    @property
    def changing(self) -> bool:
        """Whether the store may hold either of two panels."""
        return self._next is not None

    def load(self, now: float) -> dict[str, float]:
        """Return the panel's version and size, and how old its newest proof is."""
        panel = self.panel
        load = {
            "witness_panel": float(panel.version),
            "witnesses": float(len(panel.members)),
        }
        proved_at = self.proved_at
        if proved_at is not None and math.isfinite(proved_at):
            load["witnesses_age_s"] = round(now - proved_at, 3)
        return load

    def is_member(self, incarnation: str) -> bool:
        """Return whether a box is a witness."""
        return incarnation in self._panel.members or (
            self._next is not None and incarnation in self._next.members
        )

    def restore(self, value: bytes | None) -> None:
        """Restore the panel from a predecessor's record.

        :raises msgspec.DecodeError: if it can't be read.
        """
        if value is not None:
            self._panel = self._inherited = _panels.decode(value)
            self.skip_version(self._panel.version)

    def skip_version(self, version: int) -> None:
        """Use no version up to this one for a panel of this leader: an earlier leader may
        mean another panel by it, whose record can't be read."""
        self._newest_version = max(self._newest_version, version)

    def change(self, members: t.Sequence[str]) -> ConfirmPanel:
        """Replace the panel; returns the effect that makes the new one count alone once
        it is durable."""
        self._newest_version += 1
        panel = self._next = Panel(self._newest_version, tuple(members))
        self._record = Record(PANEL_KEY, _encode(panel))
        return ConfirmPanel(panel.version)

    def pop_records(self) -> list[Record]:
        """Return the record that changed since the last call, if one did."""
        records = [] if self._record is None else [self._record]
        self._record = None
        return records

    def confirm(self, confirmed: ConfirmPanel) -> None:
        """Follow only the newest panel, since the store holds it."""
        if self._next is not None and self._next.version == confirmed.version:
            self._panel, self._next = self._next, None

    def record_accepted(self, incarnation: str, sent_at: float) -> None:
        """Record that a box has accepted a poll that was sent at ``sent_at``."""
        earlier = self._accepted_at.get(incarnation, -math.inf)
        self._accepted_at[incarnation] = max(earlier, sent_at)
        self._record_excluding(incarnation)

    def record_ended(self, incarnation: str) -> None:
        """Record that an incarnation has ended for certain, and accepts nothing."""
        self._record_excluding(incarnation)

    def _record_excluding(self, incarnation: str) -> None:
        if incarnation in self._inherited.members:
            self._excluding.add(incarnation)

    def forget(self, incarnation: str) -> None:
        """Forget the polls of a box that is no longer polled."""
        self._accepted_at.pop(incarnation, None)

    @property
    def proved_at(self) -> float | None:
        """Time up to which no successor had reached a majority of the panel, or ``None``
        if there is no panel; minus infinity if this leader has not reached one."""
        panels = [self._panel] if self._next is None else [self._panel, self._next]
        times = [self._majority_accepted_at(panel) for panel in panels if panel.members]
        return min(times, default=None)

    def _majority_accepted_at(self, panel: Panel) -> float:
        times = [self._accepted_at.get(member, -math.inf) for member in panel.members]
        return sorted(times, reverse=True)[panel.majority - 1]

    @property
    def earlier_leaders_excluded(self) -> bool:
        """Whether no poll that an earlier leader sends from now on can be accepted by a
        majority of the panel that it left."""
        panel = self._inherited
        return bool(panel.members) and len(self._excluding) >= panel.majority


def choose_members(boxes: t.Iterable[BoxView], kept: t.Collection[str]) -> list[str]:
    """Choose an odd number of boxes, spread evenly over the data halls. If there are more
    than two, no hall has a majority of them.

    :param boxes: the boxes that may be members.
    :param kept: members that remain if possible. Next come boxes that run tasks, as
        these are polled more often.
    :returns: their incarnations; none if there are too few boxes.
    """
    halls: dict[str, list[BoxView]] = {}
    for box in boxes:
        halls.setdefault(box.entry.hall, []).append(box)
    for of_hall in halls.values():
        of_hall.sort(
            key=lambda box: (
                box.incarnation not in kept,
                not box.tasks,
                box.incarnation,
            )
        )
    in_turn = itertools.chain.from_iterable(
        itertools.zip_longest(*(halls[hall] for hall in sorted(halls)))
    )
    chosen = [box for box in in_turn if box is not None][:MAX_MEMBERS]
    by_hall = collections.Counter(box.entry.hall for box in chosen)
    largest = max(by_hall, key=by_hall.__getitem__, default="")
    others = len(chosen) - by_hall[largest]
    if len(halls) > 2 and by_hall[largest] >= others > 1:
        # The others are a majority of an odd number that has one less in this hall.
        surplus = [box for box in chosen if box.entry.hall == largest][others - 1 :]
        chosen = [box for box in chosen if box not in surplus]
    if len(chosen) % 2 == 0:
        # Of an even number, one less can be lost than of the odd one below.
        del chosen[-1:]
    members = [box.incarnation for box in chosen]
    return members if len(members) >= MIN_MEMBERS else []
