"""Requests of callers, from arrival to their single final outcome.

Covers admission, fair queueing, routing to a borrowed slot or to another hall,
and retries. ``NotRun`` is answered only with proof that the work did not begin.
A request that is given up is answered at once."""

import dataclasses
import heapq
import typing as t

from .borrowing import Borrower
from .events import AnswerArrived
from .events import AnswerFailed
from .events import CallerLeft
from .events import Conclude
from .events import Dispatch
from .events import Effect
from .events import Forward
from .events import RequestArrived
from .events import SendPeer
from .fairqueue import FairQueue
from .halls import Halls
from .keys import key_hall
from .keys import key_shard
from .messages import KeyAsked
from .messages import KeyReturned
from .messages import KeyVerdict
from .outcomes import Answered
from .outcomes import NotRun
from .outcomes import Outcome
from .outcomes import Reason
from .outcomes import Unknown
from .ownership import Ownership
from .table import Table

__all__ = ["RequestParameters", "Requests"]

RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 20.0
SERVICE_TIME_SMOOTHING_FACTOR = 0.05
INITIAL_SERVICE_TIME_S = 0.01
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
NO_ENDPOINT_RETRY_AFTER_S = 1.0
MAX_HOPS = 2
PEER_DEADLINE_FACTOR = 0.9


class RequestParameters(t.NamedTuple):
    """Limits on requests at one entry process.

    :param max_request_s: longest deadline in seconds; must be shorter than the
        duration of a loan.
    :param max_waiting: maximum number of waiting requests of all accounts.
    """

    max_request_s: float = 5.0
    max_waiting: int = 4096


@dataclasses.dataclass(slots=True)
class _Pending:
    event: RequestArrived
    state: t.Literal["key", "waiting", "sent", "forwarded"]
    serial: int = 0
    endpoint: str = ""
    sent_at: float = 0.0
    tried: set[str] = dataclasses.field(default_factory=set)
    key_granted: bool = False
    may_have_run: bool = False


class Requests:
    """The requests that this process has not yet answered."""

    def __init__(
        self,
        hall: str,
        hall_names: t.Sequence[str],
        shards: int,
        parameters: RequestParameters,
        table: Table,
        ownership: Ownership,
        borrower: Borrower,
        halls: Halls,
    ) -> None:
        self._hall = hall
        self._hall_names = tuple(hall_names)
        self._shards = shards
        self._parameters = parameters
        self._table = table
        self._ownership = ownership
        self._borrower = borrower
        self._halls = halls
        self._pending: dict[str, _Pending] = {}
        self._queues: dict[str, FairQueue] = {}
        self._in_flight: dict[str, int] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._mean_service_time_s: dict[str, float] = {}
        self._retry_tokens = MAX_RETRY_TOKENS
        self._waiting = 0
        self._stopping = False

    @property
    def unanswered(self) -> int:
        """Number of requests without a final outcome."""
        return len(self._pending)

    @property
    def next_deadline(self) -> float:
        """Earliest deadline of an unanswered request (monotonic seconds)."""
        while self._deadlines and self._deadlines[0][1] not in self._pending:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else float("inf")

    def stop(self) -> None:
        """Refuse new requests from now on; those admitted are finished."""
        self._stopping = True

    def demand(self) -> dict[str, int]:
        """Return service -> number of slots in use and requests waiting."""
        demand = {name: len(queue) for name, queue in self._queues.items() if queue}
        for borrowed in self._borrower.endpoints.values():
            service = borrowed.loan.service
            if borrowed.in_use:
                demand[service] = demand.get(service, 0) + borrowed.in_use
        return demand

    def admit(self, event: RequestArrived) -> list[Effect]:
        """Admit and route a request, queue it or refuse it."""
        if self._stopping:
            return [_conclude(event.request, NotRun(Reason.STOPPING, 0.1))]
        if event.deadline <= event.now:
            return [_conclude(event.request, NotRun(Reason.DEADLINE, 0.0))]
        self._retry_tokens = min(
            MAX_RETRY_TOKENS, self._retry_tokens + RETRY_TOKENS_PER_REQUEST
        )
        pending = _Pending(event, "waiting", key_granted=event.key_granted)
        self._pending[event.request] = pending
        heapq.heappush(self._deadlines, (event.deadline, event.request))
        if event.key and not event.key_granted:
            return self._request_key(pending, event.now)
        return self._route(pending, event.now)

    def _request_key(self, pending: _Pending, now: float) -> list[Effect]:
        event = pending.event
        hall = key_hall(event.account, event.key, self._hall_names)
        if hall != self._hall:
            return self._forward_key(pending, hall, now)
        shard = key_shard(event.account, event.key, self._shards)
        state = self._ownership.shards[shard]
        if not state.holder or state.released:
            return self._finish(
                pending, NotRun(Reason.KEY_OWNER_MISSING, NO_ENDPOINT_RETRY_AFTER_S)
            )
        pending.state = "key"
        ask = KeyAsked(event.request, event.account, event.key, event.issued_at)
        return [SendPeer(state.holder, ask)]

    def _forward_key(self, pending: _Pending, hall: str, now: float) -> list[Effect]:
        reason = Reason.HALL_UNREACHABLE
        refusal = NotRun(
            reason, NO_ENDPOINT_RETRY_AFTER_S, f"the key belongs to {hall}"
        )
        if pending.event.hops or not self._halls.reachable(hall, now):
            return self._finish(pending, refusal)
        node = self._halls.pick_node(hall, now, pending.tried)
        if node is None:
            return self._finish(pending, refusal)
        return self._forward(pending, node, now)

    def apply_verdict(self, message: KeyVerdict, now: float) -> list[Effect]:
        """Route or finish a request by the decision on its key."""
        pending = self._pending.get(message.request)
        if pending is None or pending.state != "key":
            return []
        if message.verdict == "run":
            pending.key_granted = True
            pending.state = "waiting"
            return self._route(pending, now)
        if message.verdict == "not_owner":
            missing = NotRun(Reason.KEY_OWNER_MISSING, NO_ENDPOINT_RETRY_AFTER_S)
            return self._finish(pending, missing)
        reason = Reason.KEY_SEEN if message.verdict == "seen" else Reason.KEY_TOO_OLD
        return self._finish(pending, Unknown(reason))

    def _route(self, pending: _Pending, now: float) -> list[Effect]:
        event = pending.event
        queue = self._queues.get(event.service)
        if not queue and self._below_account_limit(event.account):
            endpoint = self._borrower.pick(event.service, now, pending.tried)
            if endpoint is not None:
                return self._dispatch(pending, endpoint, now)
        if not self._borrower.slots(event.service, now):
            return self._forward_to_other_hall(pending, now)
        return self._enqueue(pending, now)

    def _below_account_limit(self, account: str) -> bool:
        limit = self._table.number(account, "max_in_flight")
        return self._in_flight.get(account, 0) < limit

    def _dispatch(self, pending: _Pending, endpoint: str, now: float) -> list[Effect]:
        event = pending.event
        borrowed = self._borrower.take_slot(endpoint, now)
        self._in_flight[event.account] = self._in_flight.get(event.account, 0) + 1
        pending.state = "sent"
        pending.serial += 1
        pending.endpoint = endpoint
        pending.sent_at = now
        return [
            Dispatch(
                event.request,
                pending.serial,
                endpoint,
                borrowed.loan.address,
                min(event.deadline, borrowed.until),
                fresh=not event.repeatable,
            )
        ]

    def _forward_to_other_hall(self, pending: _Pending, now: float) -> list[Effect]:
        event = pending.event
        refusal = NotRun(Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_S)
        if event.hops >= MAX_HOPS:
            return self._finish(pending, refusal)
        for hall in self._halls.halls_serving(event.service, now):
            node = self._halls.pick_node(hall, now, pending.tried)
            if node is not None:
                return self._forward(pending, node, now)
        return self._finish(pending, refusal)

    def _forward(self, pending: _Pending, node: str, now: float) -> list[Effect]:
        event = pending.event
        pending.state = "forwarded"
        pending.serial += 1
        pending.endpoint = node
        return [
            Forward(
                event.request,
                pending.serial,
                node,
                event.deadline,
                now + PEER_DEADLINE_FACTOR * (event.deadline - now),
                event.hops + 1,
                pending.key_granted,
            )
        ]

    def _enqueue(self, pending: _Pending, now: float) -> list[Effect]:
        event = pending.event
        queue = self._queues.setdefault(event.service, FairQueue())
        wait_s = self._expected_wait(queue, event, now)
        if queue.waiting(event.account) >= self._table.number(
            event.account, "max_queued"
        ):
            return self._finish(
                pending, NotRun(Reason.ACCOUNT_LIMIT, _retry_after(wait_s))
            )
        if (
            now + wait_s > event.deadline
            or self._waiting >= self._parameters.max_waiting
        ):
            return self._finish(
                pending, NotRun(Reason.OVERLOADED, _retry_after(wait_s))
            )
        pending.state = "waiting"
        queue.push(event.account, event.request)
        self._waiting += 1
        return []

    def _expected_wait(
        self, queue: FairQueue, event: RequestArrived, now: float
    ) -> float:
        slots = max(1, self._borrower.slots(event.service, now))
        ahead = queue.requests_ahead(event.account, self._weight)
        mean_s = self._mean_service_time_s.get(event.service, INITIAL_SERVICE_TIME_S)
        return (ahead + 1.0) * mean_s / slots

    def _weight(self, account: str) -> float:
        return self._table.number(account, "weight")

    def apply_answer(self, event: AnswerArrived) -> list[Effect]:
        """Finish a request with a whole answer; ignore late and duplicate answers."""
        pending = self._pending_attempt(event.request, event.serial)
        if pending is None:
            return []
        if pending.state == "sent":
            self._observe_service_time(pending, event.now)
        endpoint = pending.endpoint
        self._return_slot(pending, event.now, failed=False)
        effects = self._finish(pending, Answered(endpoint))
        return effects + self.serve_waiting(event.now)

    def _observe_service_time(self, pending: _Pending, now: float) -> None:
        service = pending.event.service
        service_time_s = now - pending.sent_at
        mean_s = self._mean_service_time_s.get(service, service_time_s)
        self._mean_service_time_s[service] = mean_s + SERVICE_TIME_SMOOTHING_FACTOR * (
            service_time_s - mean_s
        )

    def _pending_attempt(self, request: str, serial: int) -> _Pending | None:
        pending = self._pending.get(request)
        if pending is None or pending.serial != serial:
            return None
        return pending if pending.state in ("sent", "forwarded") else None

    def _return_slot(self, pending: _Pending, now: float, failed: bool) -> None:
        if pending.state != "sent":
            return
        account = pending.event.account
        self._in_flight[account] -= 1
        if not self._in_flight[account]:
            del self._in_flight[account]
        self._borrower.return_slot(pending.endpoint, now, failed)

    def apply_failure(self, event: AnswerFailed) -> list[Effect]:
        """Retry a request or finish it after a failed attempt.

        Only a request that provably did not run or that is repeatable is retried.
        Otherwise its outcome is ``NotRun`` with proof and ``Unknown`` without.
        """
        pending = self._pending_attempt(event.request, event.serial)
        if pending is None:
            return []
        refused = not event.proof.may_have_run
        self._return_slot(pending, event.now, failed=True)
        pending.tried.add(pending.endpoint)
        pending.may_have_run |= event.proof.may_have_run
        if self._may_retry(pending, refused, event.now):
            self._retry_tokens -= 1.0
            pending.state = "waiting"
            effects = self._retry(pending, event.now)
        elif refused:
            detail = event.proof.detail
            outcome: Outcome = NotRun(Reason.REFUSED, MIN_RETRY_AFTER_S, detail)
            effects = self._finish(pending, outcome)
        else:
            outcome = Unknown(Reason.CONNECTION_LOST, event.proof.detail)
            effects = self._finish(pending, outcome)
        return effects + self.serve_waiting(event.now)

    def _may_retry(self, pending: _Pending, refused: bool, now: float) -> bool:
        if self._retry_tokens < 1.0 or now >= pending.event.deadline:
            return False
        return refused or pending.event.repeatable

    def _retry(self, pending: _Pending, now: float) -> list[Effect]:
        event = pending.event
        if event.key and not pending.key_granted:
            return self._request_key(pending, now)
        return self._route(pending, now)

    def remove_abandoned(self, event: CallerLeft) -> list[Effect]:
        """Remove a request whose caller hung up, and free its slot."""
        pending = self._pending.get(event.request)
        if pending is None:
            return []
        self._return_slot(pending, event.now, failed=False)
        self._drop(pending)
        return self.serve_waiting(event.now)

    def serve_waiting(self, now: float) -> list[Effect]:
        """Dispatch waiting requests to free slots in fair order."""
        effects: list[Effect] = []
        for service, queue in list(self._queues.items()):
            while queue:
                endpoint = self._borrower.pick(service, now, ())
                if endpoint is None:
                    break
                request = queue.pop(self._weight, self._below_account_limit)
                if request is None:
                    break
                self._waiting -= 1
                effects += self._dispatch(self._pending[request], endpoint, now)
            if not queue:
                del self._queues[service]
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Refuse requests whose deadline has passed, and dispatch waiting ones."""
        effects: list[Effect] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heapq.heappop(self._deadlines)
            pending = self._pending.get(request)
            # A request that was sent is ended by its adapter, which knows whether any
            # of it left this process.
            if pending is not None and pending.state in ("key", "waiting"):
                wait_s = self._mean_service_time_s.get(
                    pending.event.service, INITIAL_SERVICE_TIME_S
                )
                late = NotRun(Reason.DEADLINE, _retry_after(wait_s))
                effects += self._finish(pending, late)
        return effects + self.serve_waiting(now)

    def _finish(self, pending: _Pending, outcome: Outcome) -> list[Effect]:
        self._drop(pending)
        if pending.may_have_run and isinstance(outcome, NotRun):
            # The proof covers only the last attempt; an earlier one may have run.
            outcome = Unknown(Reason.CONNECTION_LOST, outcome.reason.value)
        effects: list[Effect] = [_conclude(pending.event.request, outcome)]
        if pending.key_granted and isinstance(outcome, NotRun):
            effects += self._return_key(pending.event)
        return effects

    def _return_key(self, event: RequestArrived) -> list[Effect]:
        """Release the key of a request that did not run, so that it can be reused."""
        if event.key_granted:
            return []
        shard = key_shard(event.account, event.key, self._shards)
        holder = self._ownership.shards[shard].holder
        message = KeyReturned(event.request, event.account, event.key)
        return [SendPeer(holder, message)] if holder else []

    def _drop(self, pending: _Pending) -> None:
        event = pending.event
        queue = self._queues.get(event.service)
        if queue is not None and queue.discard(event.account, event.request):
            self._waiting -= 1
        self._pending.pop(event.request, None)


def _conclude(request: str, outcome: Outcome) -> Conclude:
    return Conclude(request, outcome)


def _retry_after(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
