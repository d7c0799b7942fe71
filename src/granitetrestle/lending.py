"""Slots of endpoints, lent by the shard's owner to the entry processes with a
term, so that what all of them together may use never passes what an endpoint
has. The owner counts a loan until its term ends or the borrower says that it
holds less; the borrower counts the term from before it asked."""

import dataclasses
import typing as t

from .errors import InvariantViolated
from .messages import EndpointInfo
from .messages import Loan
from .messages import LoansGranted
from .messages import LoansHeld

__all__ = ["Lendable", "Lender", "LendingParameters"]


class LendingParameters(t.NamedTuple):
    """Durations in seconds.

    :param loan_s: how long a loan holds after the borrower asked.
    :param ask_s: time between two askings of a borrower.
    :param ask_blind_s: the same while the log can't be read, when the answers
        also carry the promises that keep an owner in office.
    """

    loan_duration_s: float = 8.0
    report_interval_s: float = 2.0
    stale_log_report_interval_s: float = 0.5


class Lendable(t.NamedTuple):
    """An endpoint with its slots.

    :param ours: started under the current epoch, so no older loan exists.
    """

    info: EndpointInfo
    slots: int
    of_current_epoch: bool


class _Grant(t.NamedTuple):
    serial: int
    until: float
    loans: dict[str, int]


@dataclasses.dataclass(slots=True)
class _BorrowerState:
    """A borrower's last word and the grants it may not have seen yet."""

    number: int = 0
    serial: int = 0
    reported_at: float = -1e18
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    held_until: float = -1e18
    pending: list[_Grant] = dataclasses.field(default_factory=list)
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, int] = dataclasses.field(default_factory=dict)

    def max_in_use(self, endpoint: str, now: float) -> int:
        """Return the most that the borrower may be using."""
        held = self.held.get(endpoint, 0) if self.held_until > now else 0
        sent = [g.loans.get(endpoint, 0) for g in self.pending if g.until > now]
        return max([held, *sent])


class Lender:
    """The owner's ledger of one shard.

    :param nodes: every process of the hall; when all of them have reported, no
        loan of an older epoch is unknown any more.
    :param locked_until: monotonic time until which loans of an older epoch that
        nobody has reported may still be in use.
    """

    def __init__(
        self,
        shard: int,
        epoch: int,
        nodes: t.Collection[str],
        older_loans_end_at: float,
        parameters: LendingParameters,
    ) -> None:
        self._shard = shard
        self._epoch = epoch
        self._unreported_nodes = set(nodes)
        self._older_loans_end_at = older_loans_end_at
        self._parameters = parameters
        self._lendable: dict[str, Lendable] = {}
        self._borrowers: dict[tuple[str, str], _BorrowerState] = {}

    @property
    def lendable(self) -> t.Mapping[str, Lendable]:
        """Endpoint name -> what may be lent of it."""
        return self._lendable

    def set_lendable(self, lendable: dict[str, Lendable]) -> None:
        """Replace the endpoints that may be lent."""
        self._lendable = lendable

    def shorten_older_loans(self, now: float) -> None:
        """Shorten the lock: nobody renews older loans any more."""
        self._older_loans_end_at = min(
            self._older_loans_end_at, now + self._parameters.loan_duration_s
        )

    def outstanding(self, endpoint: str, now: float) -> int:
        """Return the slots of ``endpoint`` that borrowers may be using."""
        return sum(b.max_in_use(endpoint, now) for b in self._borrowers.values())

    def grant_loans(
        self,
        node: str,
        incarnation: str,
        message: LoansHeld,
        now: float,
        within_lease: bool = True,
        complete: bool = True,
    ) -> LoansGranted | None:
        """Take a borrower's report and return what it may use from now on.

        :param in_office: within the owner's term; past it loans are prolonged
            but none is moved, since a successor may be prolonging them too.
        :param complete: every box of the shard has shown its endpoints.
        :returns: ``None`` for a message of another epoch, or a late or doubled
            one.
        """
        borrower = self._borrowers.setdefault((node, incarnation), _BorrowerState())
        if message.epoch != self._epoch or message.number <= borrower.number:
            return None
        self._record_report(borrower, message, now)
        self._unreported_nodes.discard(node)
        if not self._unreported_nodes:
            self._older_loans_end_at = min(self._older_loans_end_at, now)
        grant = self._grant(borrower, within_lease, now)
        borrower.pending.append(grant)
        loans = tuple(
            Loan(name, info.service, info.address, slots)
            for name, slots in grant.loans.items()
            if (info := self._lendable[name].info)
        )
        return LoansGranted(
            self._shard,
            self._epoch,
            grant.serial,
            message.number,
            self._parameters.loan_duration_s,
            complete,
            loans,
        )

    def _record_report(
        self, borrower: _BorrowerState, message: LoansHeld, now: float
    ) -> None:
        held = {
            name: slots
            for name, reported in message.loans.items()
            if (slots := self._accepted_slots(borrower, name, reported, now))
        }
        borrower.held = held
        borrower.held_until = now + self._parameters.loan_duration_s
        borrower.number = message.number
        borrower.reported_at = now
        borrower.demand = message.demand
        borrower.pending = [
            grant
            for grant in borrower.pending
            if grant.serial > message.applied and grant.until > now
        ]

    def _accepted_slots(
        self, borrower: _BorrowerState, name: str, reported: int, now: float
    ) -> int:
        """Return how much of a report counts; it may be late or from a lapsed loan.

        A report can only lower what this epoch lent. Only the first one of a
        borrower can tell of loans of an older epoch, and only while those can
        still hold.
        """
        entry = self._lendable.get(name)
        older = entry is None or not entry.of_current_epoch
        if borrower.number == 0 and older and now < self._older_loans_end_at:
            return reported
        return min(reported, borrower.max_in_use(name, now))

    @property
    def epoch(self) -> int:
        """The epoch under which this ledger lends."""
        return self._epoch

    def grant_sent_at(self, node: str, incarnation: str, serial: int) -> float | None:
        """Return when the grant that a borrower echoes was sent, if known."""
        borrower = self._borrowers.get((node, incarnation))
        return borrower.sent_at.get(serial) if borrower is not None else None

    def _grant(
        self, borrower: _BorrowerState, within_lease: bool, now: float
    ) -> _Grant:
        active = self._active_borrowers(now)
        borrower.serial += 1
        borrower.sent_at[borrower.serial] = now
        borrower.sent_at.pop(borrower.serial - 16, None)
        loans: dict[str, int] = {}
        for name, entry in self._lendable.items():
            slots = min(
                self._available_slots(name, entry, borrower, within_lease, now),
                _fair_share(name, entry, borrower, active),
            )
            if slots > 0:
                loans[name] = slots
        return _Grant(borrower.serial, now + self._parameters.loan_duration_s, loans)

    def _active_borrowers(self, now: float) -> list[_BorrowerState]:
        cutoff = now - self._parameters.loan_duration_s
        return [
            borrower
            for _, borrower in sorted(self._borrowers.items())
            if borrower.reported_at > cutoff
        ]

    def _available_slots(
        self,
        name: str,
        entry: Lendable,
        borrower: _BorrowerState,
        within_lease: bool,
        now: float,
    ) -> int:
        own = borrower.max_in_use(name, now)
        if not within_lease or (
            not entry.of_current_epoch and now < self._older_loans_end_at
        ):
            return own
        return entry.slots - (self.outstanding(name, now) - own)

    def check(self, now: float) -> None:
        """Assert that no endpoint is lent beyond its slots.

        :raises InvariantViolated: naming the endpoint (promise 1).
        """
        for name, entry in self._lendable.items():
            if not entry.of_current_epoch and now < self._older_loans_end_at:
                # Late reports of an older epoch's loans may overlap.
                continue
            used = self.outstanding(name, now)
            if used > entry.slots:
                text = f"{used} of {entry.slots} slots of {name} are lent"
                raise InvariantViolated(text)

    def remove_silent_borrowers(self, now: float) -> None:
        """Drop borrowers whose every loan has lapsed."""
        limit = now - 2 * self._parameters.loan_duration_s
        for key, borrower in list(self._borrowers.items()):
            if borrower.reported_at < limit:
                del self._borrowers[key]


def _fair_share(
    name: str, entry: Lendable, borrower: _BorrowerState, active: list[_BorrowerState]
) -> int:
    """Split an endpoint's slots by demand; odd slots rotate with the name."""
    service = entry.info.service
    weights = [1.0 + other.demand.get(service, 0) for other in active]
    exact = [entry.slots * weight / sum(weights) for weight in weights]
    parts = [int(share) for share in exact]
    rotation = sum(name.encode()) % len(active)
    order = sorted(
        range(len(active)),
        key=lambda i: (parts[i] - round(exact[i], 6), (i - rotation) % len(active)),
    )
    for rounded_up in order[: entry.slots - sum(parts)]:
        parts[rounded_up] += 1
    return parts[next(i for i, other in enumerate(active) if other is borrower)]
