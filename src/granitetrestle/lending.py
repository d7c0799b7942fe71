"""Loans of endpoint slots by a shard's owner to the entry processes.

A loan lets one entry process use some slots of an endpoint for a limited time,
so that all entry processes together never use more slots than it has. The owner
counts a loan until it expires or the borrower reports that it holds less. The
borrower counts the duration from before it sent its report, so a loan expires
at the borrower first."""

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

    :param loan_duration_s: how long a loan lasts after the borrower's report.
    :param report_interval_s: time between two reports of a borrower.
    :param stale_log_report_interval_s: the same while the log can't be read;
        the reports then also carry the support that extends an owner's lease.
    """

    loan_duration_s: float = 8.0
    report_interval_s: float = 2.0
    stale_log_report_interval_s: float = 0.5


class Lendable(t.NamedTuple):
    """An endpoint with its slots.

    :param of_current_epoch: started under the current epoch, so that no loan of
        an older epoch exists.
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
    """A borrower's last report and the grants that it may not have applied yet."""

    number: int = 0
    serial: int = 0
    reported_at: float = -1e18
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    held_until: float = -1e18
    pending: list[_Grant] = dataclasses.field(default_factory=list)
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    demand: dict[str, int] = dataclasses.field(default_factory=dict)

    def max_in_use(self, endpoint: str, now: float) -> int:
        """Return an upper bound of the slots that the borrower uses."""
        held = self.held.get(endpoint, 0) if self.held_until > now else 0
        sent = [g.loans.get(endpoint, 0) for g in self.pending if g.until > now]
        return max([held, *sent])


class Lender:
    """The owner's ledger of the loans of one shard.

    :param nodes: every process of the hall; once all of them have reported, all
        loans of older epochs are known.
    :param older_loans_end_at: monotonic time until which unreported loans of an
        older epoch may still be in use.
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
        """Endpoint name -> endpoint whose slots may be lent."""
        return self._lendable

    def set_lendable(self, lendable: dict[str, Lendable]) -> None:
        """Replace the endpoints that may be lent."""
        self._lendable = lendable

    def shorten_older_loans(self, renewals_end_at: float) -> None:
        """Expect older loans to end one duration after nobody renews them any more.

        :param renewals_end_at: monotonic time from which that holds.
        """
        self._older_loans_end_at = min(
            self._older_loans_end_at,
            renewals_end_at + self._parameters.loan_duration_s,
        )

    def outstanding(self, endpoint: str, now: float) -> int:
        """Return an upper bound of the slots of ``endpoint`` in use by borrowers."""
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
        """Apply a borrower's report and return what it may use from now on.

        :param within_lease: the owner's lease is valid. After its end loans are
            extended but not moved between borrowers, since a successor may be
            extending them too.
        :param complete: every box of the shard has reported its endpoints.
        :returns: ``None`` for a message of another epoch, or a late or duplicate
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
        """Return how many reported slots to accept.

        A report may be late or name an expired loan, so it can only lower what
        this epoch lent. Only the first report of a borrower can add loans of an
        older epoch, and only while those may still be in use.
        """
        entry = self._lendable.get(name)
        older = entry is None or not entry.of_current_epoch
        if borrower.number == 0 and older and now < self._older_loans_end_at:
            return reported
        return min(reported, borrower.max_in_use(name, now))

    @property
    def epoch(self) -> int:
        """The epoch of this ledger's loans."""
        return self._epoch

    def grant_sent_at(self, node: str, incarnation: str, serial: int) -> float | None:
        """Return when grant ``serial`` was sent to a borrower, or ``None``."""
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

        :raises InvariantViolated: if one is; names the endpoint (promise 1).
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
        """Remove borrowers whose loans have all expired."""
        limit = now - 2 * self._parameters.loan_duration_s
        for key, borrower in list(self._borrowers.items()):
            if borrower.reported_at < limit:
                del self._borrowers[key]


def _fair_share(
    name: str, entry: Lendable, borrower: _BorrowerState, active: list[_BorrowerState]
) -> int:
    """Return a borrower's share of an endpoint's slots, by demand.

    Slots left over by rounding go to the largest remainders. Ties rotate with the
    endpoint's name, so that no borrower gets them at every endpoint.
    """
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
