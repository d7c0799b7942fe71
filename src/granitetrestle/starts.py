"""Placement rounds, which start waiting tasks. The limits of the table apply first,
then weighted dominant-resource fairness between accounts, then the policy's choice
of a box. Services, and urgent tasks within the quota of their account, are placed
first and may evict batch tasks, which are checkpointed."""

import heapq
import typing as t

from .capacity import Assignment
from .capacity import Vector
from .events import AppendFacts
from .events import Effect
from .events import Note
from .jobs import Jobs
from .ownedshard import OwnedShard
from .policy import BoxChoice
from .policy import Policy
from .records import AttemptEnded
from .table import Table
from .waiting import Shape
from .waiting import Usage
from .waiting import WaitingTask

__all__ = ["Starter"]

MAX_PLACEMENTS_PER_PASS = 2000
EVICTION_TIMEOUT_S = 5.0
MAX_EVICTIONS_PER_MINUTE = 30


class Starter:
    """Places waiting tasks of owned shards.

    :param stream: stream of the data hall, for ends of tasks that never started.
    :param shards: number of shards of the data hall; each one grants an equal part
        of the limits and quotas of an account.
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

    def run_round(self, book: OwnedShard, now: float) -> list[Effect]:
        """Run a placement round if anything changed since the last one.

        :returns: log notes and ends of attempts; starts are left at their boxes, to
            be sent by the next exchange.
        """
        if not book.dirty:
            return []
        book.dirty = False
        book.blocked.clear()
        effects: list[Effect] = []
        for prioritized_pass in (True, False):
            self._run_pass(book, now, prioritized_pass, effects)
        return effects

    def _run_pass(
        self,
        book: OwnedShard,
        now: float,
        prioritized_pass: bool,
        effects: list[Effect],
    ) -> None:
        heap = [
            (self._weighted_share(book, account), account)
            for account in book.waiting.accounts
        ]
        heapq.heapify(heap)
        for _ in range(MAX_PLACEMENTS_PER_PASS):
            if not heap:
                return
            _, account = heapq.heappop(heap)
            if self._place_one(book, account, now, prioritized_pass, effects):
                heapq.heappush(heap, (self._weighted_share(book, account), account))
        book.dirty = True

    def _weighted_share(self, book: OwnedShard, account: str) -> float:
        usage = book.usage.get(account, Usage())
        share = usage.total.dominant_share(book.index.total)
        return share / self._table.number(account, "weight")

    def _place_one(
        self,
        book: OwnedShard,
        account: str,
        now: float,
        prioritized_pass: bool,
        effects: list[Effect],
    ) -> bool:
        for shape in book.waiting.shapes(account):
            prioritized = shape.service or self._within_urgent_quota(
                book, account, shape
            )
            if prioritized != prioritized_pass or (account, shape) in book.blocked:
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

    def _within_urgent_quota(
        self, book: OwnedShard, account: str, shape: Shape
    ) -> bool:
        if not shape.urgent:
            return False
        used = book.usage.get(account, Usage()).urgent_cores
        quota = self._table.number(account, "urgent_cores") / self._shards
        return used + shape.need.cores <= quota

    def _end_cancelled(self, book: OwnedShard, task: WaitingTask) -> Effect:
        book.waiting.discard(task.task)
        fact = AttemptEnded(
            task.task, task.attempt, book.shard, book.epoch, "cancelled"
        )
        return AppendFacts(self._stream, (fact,), f"end/{task.task}/{task.attempt}")

    def _try_start(
        self,
        book: OwnedShard,
        task: WaitingTask,
        shape: Shape,
        now: float,
        effects: list[Effect],
    ) -> str:
        exceeded = self.exceeded_limit(book, task.account, shape.need)
        if exceeded:
            return exceeded
        choice = self._policy.choose(task.spec, task.job, book.index, now)
        if choice is not None:
            self._start(book, task, choice)
            note = f"on {choice.box}: {choice.reason}"
            effects.append(Note("placed", task.task, note, book.epoch))
            return ""
        if not shape.service and not self._within_urgent_quota(
            book, task.account, shape
        ):
            return "no box has enough free resources"
        return self._evict_for(book, task, now, effects)

    def exceeded_limit(self, book: OwnedShard, account: str, need: Vector) -> str:
        """Return the account limit that ``need`` would exceed; empty if none."""
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

    def _start(self, book: OwnedShard, task: WaitingTask, choice: BoxChoice) -> None:
        box = book.index.boxes[choice.box]
        assignment = Assignment(
            task.task,
            task.attempt,
            book.epoch,
            task.account,
            task.job,
            task.spec,
            choice.box,
            "starting",
            not_after=0.0,
            expires=0.0,
            reason=choice.reason,
        )
        book.assign(box, assignment, adopted=False)
        book.eviction_deadlines.pop(task.task, None)
        box.starts[task.task] = assignment
        book.boxes_with_starts.add(choice.box)

    def _evict_for(
        self, book: OwnedShard, task: WaitingTask, now: float, effects: list[Effect]
    ) -> str:
        if now < book.eviction_deadlines.get(task.task, -1.0):
            return "waiting for evicted tasks to leave"
        choice = self._policy.choose_evictions(
            task.spec, book.index, now, lambda a: self._table.number(a, "eviction_cost")
        )
        if choice is None:
            return "no box has enough free resources, even with evictions"
        if not self._within_budget(book, choice, now):
            return "eviction budget of the accounts to evict from is spent"
        book.eviction_deadlines[task.task] = now + EVICTION_TIMEOUT_S
        for victim in choice.victims:
            assignment = book.index.boxes[choice.box].tasks[victim]
            assignment.state = "evicting"
            assignment.stop_reason = "evicted"
            self._evictions.setdefault(assignment.account, []).append(now)
            reason = f"evicted from {choice.box} for {task.task}: {choice.reason}"
            assignment.reason = reason
            effects.append(Note("evicting", victim, reason, book.epoch))
        book.index.boxes[choice.box].next_exchange_at = now
        return f"waiting for {', '.join(choice.victims)} to leave {choice.box}"

    def _within_budget(self, book: OwnedShard, choice: BoxChoice, now: float) -> bool:
        tasks = book.index.boxes[choice.box].tasks
        evictions: dict[str, int] = {}
        for victim in choice.victims:
            account = tasks[victim].account
            evictions[account] = evictions.get(account, 0) + 1
        return all(
            self._recent_evictions(account, now) + count <= MAX_EVICTIONS_PER_MINUTE
            for account, count in evictions.items()
        )

    def _recent_evictions(self, account: str, now: float) -> int:
        recent = [at for at in self._evictions.get(account, []) if now - at < 60.0]
        self._evictions[account] = recent
        return len(recent)

    def explain(self, book: OwnedShard, task: str) -> str:
        """Return the reason why a task is on its box, or why it waits."""
        name = book.box_of_task.get(task)
        if name is not None:
            assignment = book.index.boxes[name].tasks[task]
            return f"{assignment.state} on {name}: {assignment.reason}"
        if task in book.uncertain:
            silent = ", ".join(sorted(book.unreconciled)[:5])
            return f"may still run under an older epoch; no report yet from: {silent}"
        waiting = book.waiting.find(task)
        if waiting is None:
            return "unknown to the owner of this shard"
        reason = book.blocked.get((waiting.account, Shape.of(waiting.spec)))
        if book.evacuated:
            return "waiting: operators have evacuated the data hall"
        return f"waiting: {reason or 'next round'}"


def never_fits(need: Vector, totals: t.Iterable[Vector]) -> bool:
    """Return whether ``need`` exceeds each of ``totals``; false if there are none."""
    any_box = False
    for total in totals:
        any_box = True
        if need.fits(total):
            return False
    return any_box
