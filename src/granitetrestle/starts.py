"""Rounds that start waiting tasks: limits of the table first, then weighted
dominant-resource order between accounts, then the policy's choice of a box.
Services and urgent work go first, within their account's right, and may have
batch work checkpointed to make room."""

import heapq
import typing as t

from .books import ShardBook
from .capacity import Assignment
from .capacity import Vector
from .events import AppendFacts
from .events import Effect
from .events import Note
from .jobs import Jobs
from .policy import Policy
from .policy import Verdict
from .records import AttemptEnded
from .table import Table
from .waiting import Shape
from .waiting import Usage
from .waiting import WaitingTask

__all__ = ["Starter"]

ROUND_LIMIT = 2000
EVICTION_PATIENCE_S = 5.0
EVICTIONS_PER_MINUTE = 30


class Starter:
    """Places waiting tasks of owned shards.

    :param stream: the hall's stream, for ends of tasks that never began.
    :param shards: shards of the hall; each grants its part of a hall's limit.
    """

    def __init__(
        self, stream: str, shards: int, policy: Policy, table: Table, jobs: Jobs
    ) -> None:
        self._stream = stream
        self._shards = shards
        self._policy = policy
        self._table = table
        self._jobs = jobs
        self._evictions: dict[str, list[float]] = {}

    def place(self, book: ShardBook, now: float) -> list[Effect]:
        """Run a round if anything changed since the last.

        :returns: notes and ends; starts wait at their boxes for the exchange.
        """
        if not book.dirty:
            return []
        book.dirty = False
        book.blocked.clear()
        effects: list[Effect] = []
        for first in (True, False):
            self._pass(book, now, first, effects)
        return effects

    def _pass(
        self, book: ShardBook, now: float, first: bool, effects: list[Effect]
    ) -> None:
        heap = [
            (self._rank(book, account), account) for account in book.waiting.accounts
        ]
        heapq.heapify(heap)
        for _ in range(ROUND_LIMIT):
            if not heap:
                return
            _, account = heapq.heappop(heap)
            if self._place_one(book, account, now, first, effects):
                heapq.heappush(heap, (self._rank(book, account), account))
        book.dirty = True

    def _rank(self, book: ShardBook, account: str) -> float:
        usage = book.usage.get(account, Usage())
        share = usage.total.share_of(book.index.total)
        return share / self._table.number(account, "weight")

    def _place_one(
        self,
        book: ShardBook,
        account: str,
        now: float,
        first: bool,
        effects: list[Effect],
    ) -> bool:
        for shape in book.waiting.shapes(account):
            ahead = shape.service or self._urgent_now(book, account, shape)
            if ahead != first or (account, shape) in book.blocked:
                continue
            task = book.waiting.head(account, shape)
            if task is None:
                continue
            if self._jobs.jobs[task.job].cancelled:
                effects.append(self._end_cancelled(book, task))
                return True
            reason = self._try_start(book, task, shape, now, effects)
            if not reason:
                return True
            book.blocked[(account, shape)] = reason
        return False

    def _urgent_now(self, book: ShardBook, account: str, shape: Shape) -> bool:
        if not shape.urgent:
            return False
        used = book.usage.get(account, Usage()).urgent_cores
        right = self._table.number(account, "urgent_cores") / self._shards
        return used + shape.need.cores <= right

    def _end_cancelled(self, book: ShardBook, task: WaitingTask) -> Effect:
        book.waiting.discard(task.task)
        fact = AttemptEnded(
            task.task, task.attempt, book.shard, book.epoch, "cancelled"
        )
        return AppendFacts(self._stream, (fact,), f"end/{task.task}/{task.attempt}")

    def _try_start(
        self,
        book: ShardBook,
        task: WaitingTask,
        shape: Shape,
        now: float,
        effects: list[Effect],
    ) -> str:
        over = self.over_limit(book, task.account, shape.need)
        if over:
            return over
        verdict = self._policy.choose(task.spec, task.job, book.index, now)
        if verdict is not None:
            self._start(book, task, verdict)
            note = f"on {verdict.box}: {verdict.reason}"
            effects.append(Note("placed", task.task, note, book.epoch))
            return ""
        if not shape.service and not self._urgent_now(book, task.account, shape):
            return "no box has room"
        return self._evict_for(book, task, now, effects)

    def over_limit(self, book: ShardBook, account: str, need: Vector) -> str:
        """Return which limit of the account ``need`` would pass, or nothing."""
        total = book.usage.get(account, Usage()).total.plus(need)
        for column, value in (
            ("max_cores", total.cores),
            ("max_memory_gb", total.memory_gb),
            ("max_accelerators", float(total.accelerators)),
        ):
            limit = self._table.number(account, column) / self._shards
            if value > limit + 1e-9:
                return f"account limit {column} ({limit:g} in this shard)"
        return ""

    def _start(self, book: ShardBook, task: WaitingTask, verdict: Verdict) -> None:
        box = book.index.boxes[verdict.box]
        assignment = Assignment(
            task.task,
            task.attempt,
            book.epoch,
            task.account,
            task.job,
            task.spec,
            verdict.box,
            "starting",
            not_after=0.0,
            expires=0.0,
            reason=verdict.reason,
        )
        book.book(box, assignment, adopted=False)
        book.evicting_for.pop(task.task, None)
        box.starts[task.task] = assignment
        book.starting.add(verdict.box)

    def _evict_for(
        self, book: ShardBook, task: WaitingTask, now: float, effects: list[Effect]
    ) -> str:
        if now < book.evicting_for.get(task.task, -1.0):
            return "waiting for evicted work to leave"
        verdict = self._policy.make_room(
            task.spec, book.index, now, lambda a: self._table.number(a, "eviction_cost")
        )
        if verdict is None:
            return "no box has room, nor can any be made"
        if not self._within_budget(book, verdict, now):
            return "eviction budget of the accounts that would yield is spent"
        book.evicting_for[task.task] = now + EVICTION_PATIENCE_S
        for victim in verdict.victims:
            assignment = book.index.boxes[verdict.box].tasks[victim]
            assignment.state = "evicting"
            assignment.stop_reason = "evicted"
            self._evictions.setdefault(assignment.account, []).append(now)
            why = f"yields {verdict.box} to {task.task}: {verdict.reason}"
            assignment.reason = why
            effects.append(Note("evicting", victim, why, book.epoch))
        book.index.boxes[verdict.box].next_exchange = now
        return f"waiting for {', '.join(verdict.victims)} to leave {verdict.box}"

    def _within_budget(self, book: ShardBook, verdict: Verdict, now: float) -> bool:
        tasks = book.index.boxes[verdict.box].tasks
        wanted: dict[str, int] = {}
        for victim in verdict.victims:
            account = tasks[victim].account
            wanted[account] = wanted.get(account, 0) + 1
        return all(
            self._recent(account, now) + count <= EVICTIONS_PER_MINUTE
            for account, count in wanted.items()
        )

    def _recent(self, account: str, now: float) -> int:
        recent = [at for at in self._evictions.get(account, []) if now - at < 60.0]
        self._evictions[account] = recent
        return len(recent)

    def explain(self, book: ShardBook, task: str) -> str:
        """Say why a task is where it is, or why it waits."""
        name = book.where.get(task)
        if name is not None:
            assignment = book.index.boxes[name].tasks[task]
            return f"{assignment.state} on {name}: {assignment.reason}"
        if task in book.doubts:
            silent = ", ".join(sorted(book.unheard)[:5])
            return f"may still run under an older epoch; not heard from: {silent}"
        waiting = book.waiting.find(task)
        if waiting is None:
            return "not known to this shard's owner"
        reason = book.blocked.get((waiting.account, Shape.of(waiting.spec)))
        if book.evacuated:
            return "waiting: operators have evacuated the data hall"
        return f"waiting: {reason or 'next round'}"


def never_fits(need: Vector, totals: t.Iterable[Vector]) -> bool:
    """Say that no box, even empty, could hold ``need``."""
    seen = False
    for total in totals:
        seen = True
        if need.fits(total):
            return False
    return seen
