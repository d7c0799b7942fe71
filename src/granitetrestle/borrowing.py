"""Loans of endpoint slots, as the entry process that borrows them keeps them.

Tracks which endpoints this process may use, how many slots of each are in use,
and which endpoint a request should go to. A loan ends by this process's own
monotonic clock, counted from before it sent the report that was answered."""

import dataclasses
import typing as t

from .events import Effect
from .events import SendPeer
from .lending import LendingParameters
from .messages import Loan
from .messages import LoansGranted
from .messages import LoansHeld
from .ownership import Ownership

__all__ = ["Borrowed", "Borrower"]

SLOW_START_DURATION_S = 10.0
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 8.0


@dataclasses.dataclass(slots=True)
class Borrowed:
    """One endpoint with its loan to this process.

    :param until: monotonic time at which the loan ends.
    :param since: monotonic time of its first loan, for the slow start.
    :param backoff_until: monotonic time before which it is not used, since it
        failed or refused a request.
    """

    loan: Loan
    until: float
    since: float
    in_use: int = 0
    used_at: float = -1e18
    failures: int = 0
    backoff_until: float = -1e18

    def free_slots(self, now: float) -> int:
        """Return the slots that may still be taken.

        A slow start limits a new endpoint, and one slot at a time is allowed
        after a failure.
        """
        if now >= self.until or now < self.backoff_until:
            return 0
        allowed = self.loan.slots
        if self.failures:
            allowed = 1
        elif now - self.since < SLOW_START_DURATION_S:
            allowed = max(1, round(allowed * (0.25 + (now - self.since) / 10.0)))
        return min(allowed, self.loan.slots) - self.in_use


@dataclasses.dataclass(slots=True)
class _ShardLoans:
    epoch: int = 0
    applied: int = 0
    number: int = 0
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)
    reported_at: float = -1e18


class Borrower:
    """All loans of this process."""

    def __init__(self, parameters: LendingParameters) -> None:
        self._parameters = parameters
        self._shards: dict[int, _ShardLoans] = {}
        self._shard_of: dict[str, int] = {}
        self._endpoints: dict[str, Borrowed] = {}
        self._services: dict[str, dict[str, Borrowed]] = {}

    @property
    def endpoints(self) -> t.Mapping[str, Borrowed]:
        """Endpoint name -> its loan, which is kept after its end while in use."""
        return self._endpoints

    def report(
        self,
        shard: int,
        epoch: int,
        demand: dict[str, int],
        supports: bool,
        now: float,
    ) -> LoansHeld:
        """Return the next message to the shard's owner.

        From here on grants of epochs before ``epoch`` are ignored.
        """
        state = self._shards.setdefault(shard, _ShardLoans())
        if epoch > state.epoch:
            state.epoch = epoch
            state.applied = 0
        state.number += 1
        state.reported_at = now
        state.sent_at[state.number] = now
        state.sent_at.pop(state.number - 16, None)
        return LoansHeld(
            shard,
            state.epoch,
            state.number,
            state.applied,
            supports,
            self._held_slots(shard, now),
            demand,
        )

    def due_reports(
        self, ownership: Ownership, demand: t.Callable[[], dict[str, int]], now: float
    ) -> list[Effect]:
        """Return the reports that are due to the owners of all shards.

        :param demand: returns service -> slots wanted; called only if a report
            is due.
        """
        effects: list[Effect] = []
        current_demand: dict[str, int] | None = None
        log_is_stale = ownership.log_is_stale(now)
        for shard, state in ownership.shards.items():
            if not state.epoch or not self.is_report_due(
                shard, state.epoch, log_is_stale, now
            ):
                continue
            if current_demand is None:
                current_demand = demand()
            supports = ownership.grant_support(shard, now)
            message = self.report(shard, state.epoch, current_demand, supports, now)
            effects.append(SendPeer(state.holder, message))
        return effects

    def is_report_due(
        self, shard: int, epoch: int, log_is_stale: bool, now: float
    ) -> bool:
        """Return whether a report to the shard's owner is due.

        :param log_is_stale: this process can't read the log at present.
        """
        state = self._shards.get(shard)
        if state is None or epoch != state.epoch:
            return True
        interval_s = (
            self._parameters.stale_log_report_interval_s
            if log_is_stale
            else self._parameters.report_interval_s
        )
        return now - state.reported_at >= interval_s

    def _held_slots(self, shard: int, now: float) -> dict[str, int]:
        held: dict[str, int] = {}
        for name, borrowed in self._endpoints.items():
            slots = borrowed.loan.slots if now < borrowed.until else 0
            slots = max(slots, borrowed.in_use)
            if self._shard_of[name] == shard and slots:
                held[name] = slots
        return held

    def apply_grant(self, message: LoansGranted, now: float) -> bool:
        """Apply a grant.

        :returns: whether it was new, of the current epoch, and took effect.
        """
        state = self._shards.setdefault(message.shard, _ShardLoans())
        sent = state.sent_at.get(message.answers)
        if sent is None or message.epoch != state.epoch:
            return False
        if message.serial <= state.applied:
            return False
        state.applied = message.serial
        until = sent + message.term_s
        granted = {loan.endpoint: loan for loan in message.loans}
        for name in [n for n, s in self._shard_of.items() if s == message.shard]:
            if name not in granted and message.complete:
                self._end_loan(name)
        for name, loan in granted.items():
            self._update_loan(name, loan, message.shard, until, now)
        return True

    def _end_loan(self, name: str) -> None:
        borrowed = self._endpoints[name]
        borrowed.loan = Loan(name, borrowed.loan.service, borrowed.loan.address, 0)
        self._drop_unused(name)

    def _drop_unused(self, name: str) -> None:
        borrowed = self._endpoints[name]
        if borrowed.loan.slots or borrowed.in_use:
            return
        del self._endpoints[name]
        del self._shard_of[name]
        service = self._services[borrowed.loan.service]
        del service[name]
        if not service:
            del self._services[borrowed.loan.service]

    def _update_loan(
        self, name: str, loan: Loan, shard: int, until: float, now: float
    ) -> None:
        known = self._endpoints.get(name)
        if known is not None:
            known.loan = loan
            known.until = until
            return
        since = now if self._services.get(loan.service) else now - SLOW_START_DURATION_S
        borrowed = Borrowed(loan, until, since)
        self._endpoints[name] = borrowed
        self._shard_of[name] = shard
        self._services.setdefault(loan.service, {})[name] = borrowed

    def pick(self, service: str, now: float, avoid: t.Container[str]) -> str | None:
        """Return the endpoint with the smallest part of its loan in use.

        Ties go to the one that was used least recently. If all endpoints are in
        backoff, one of them is probed.
        """
        best: tuple[float, float, str] | None = None
        usable = False
        for name, borrowed in self._services.get(service, {}).items():
            usable = usable or now >= borrowed.backoff_until
            if name in avoid or borrowed.free_slots(now) <= 0:
                continue
            load = (borrowed.in_use / borrowed.loan.slots, borrowed.used_at, name)
            if best is None or load < best:
                best = load
        if best is not None:
            return best[2]
        return None if usable else self._probe(service, now, avoid)

    def _probe(self, service: str, now: float, avoid: t.Container[str]) -> str | None:
        """Return the endpoint whose backoff ends first, when all are in backoff.

        If all endpoints failed, the cause is more likely in this process than
        in the endpoints.
        """
        candidates = [
            (borrowed.backoff_until, name)
            for name, borrowed in self._services.get(service, {}).items()
            if not borrowed.in_use and now < borrowed.until and name not in avoid
        ]
        return min(candidates)[1] if candidates else None

    def take_slot(self, endpoint: str, now: float) -> Borrowed:
        """Take one slot of an endpoint."""
        borrowed = self._endpoints[endpoint]
        borrowed.in_use += 1
        borrowed.used_at = now
        return borrowed

    def return_slot(self, endpoint: str, now: float, failed: bool) -> None:
        """Return a slot; a failure starts or extends the endpoint's backoff."""
        borrowed = self._endpoints.get(endpoint)
        if borrowed is None:
            return
        borrowed.in_use -= 1
        if failed:
            backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**borrowed.failures)
            borrowed.failures += 1
            borrowed.backoff_until = now + backoff_s
        else:
            borrowed.failures = 0
        self._drop_unused(endpoint)

    def slots(self, service: str, now: float) -> int:
        """Return how many slots of a service this process may use."""
        borrowed = self._services.get(service, {}).values()
        return sum(b.loan.slots for b in borrowed if b.until > now)

    def services(self) -> list[str]:
        """Return the services of the endpoints that are lent to this process."""
        return list(self._services)
