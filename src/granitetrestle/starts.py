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
from .events import LogEvent
from .jobs import Jobs
from .ownedshard import OwnedShard
from .policy import BoxChoice
from .policy import Policy
from .records import AttemptEnded
from .table import Table
from .waiting import Shape
from .waiting import Usage
from .waiting import WaitingTask

__all__ = ["TaskStarter"]

MAX_PLACEMENTS_PER_PASS = 2000
# A task for which others were evicted may evict again if it has not started by then.
EVICTION_TIMEOUT_S = 5.0
MAX_EVICTIONS_PER_MINUTE = 30  # of each account


class TaskStarter:
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

    def run_round(self, owned: OwnedShard, now: float) -> list[Effect]:
        """Run a placement round if anything changed since the last one.

        :returns: log notes and ends of attempts; starts are left at their boxes, to
            be sent by the next exchange.
        """
        if not owned.dirty:
            return []
        owned.dirty = False
        owned.blocked.clear()
        effects: list[Effect] = []
        for prioritized_pass in (True, False):
            self._run_pass(owned, now, prioritized_pass, effects)
        return effects

    def _run_pass(
        self,
        owned: OwnedShard,
        now: float,
        prioritized_pass: bool,
        effects: list[Effect],
    ) -> None:
        heap = [
            (self._weighted_share(owned, account), account)
            for account in owned.waiting.accounts
        ]
        heapq.heapify(heap)
        for _ in range(MAX_PLACEMENTS_PER_PASS):
            if not heap:
                return
            _, account = heapq.heappop(heap)
            if self._place_one(owned, account, now, prioritized_pass, effects):
                heapq.heappush(heap, (self._weighted_share(owned, account), account))
        owned.dirty = True

    def _weighted_share(self, owned: OwnedShard, account: str) -> float:
        usage = owned.usage.get(account, Usage())
        share = usage.total.dominant_share(owned.index.total)
        return share / self._table.number(account, "weight")

    def _place_one(
        self,
        owned: OwnedShard,
        account: str,
        now: float,
        prioritized_pass: bool,
        effects: list[Effect],
    ) -> bool:
        for shape in owned.waiting.shapes(account):
            prioritized = shape.service or self._within_urgent_quota(
                owned, account, shape
            )
            if prioritized != prioritized_pass or (account, shape) in owned.blocked:
                continue
            task = owned.waiting.head(account, shape)
            if task is None:
                continue
            if self._jobs.jobs[task.job].cancelled:
                effects.append(self._end_cancelled(owned, task))
                return True
            reason = self._try_start(owned, task, shape, now, effects)
            if not reason:
                return True
            owned.blocked[(account, shape)] = reason
        return False

    def _within_urgent_quota(
        self, owned: OwnedShard, account: str, shape: Shape
    ) -> bool:
        if not shape.urgent:
            return False
        used = owned.usage.get(account, Usage()).urgent_cores
        quota = self._table.number(account, "urgent_cores") / self._shards
        return used + shape.need.cores <= quota

    def _end_cancelled(self, owned: OwnedShard, task: WaitingTask) -> Effect:
        owned.waiting.discard(task.task)
        fact = AttemptEnded(
            task.task, task.attempt, owned.shard, owned.epoch, "cancelled"
        )
        return AppendFacts(self._stream, (fact,), f"end/{task.task}/{task.attempt}")

    def _try_start(
        self,
        owned: OwnedShard,
        task: WaitingTask,
        shape: Shape,
        now: float,
        effects: list[Effect],
    ) -> str:
        exceeded = self.exceeded_limit(owned, task.account, shape.need)
        if exceeded:
            return exceeded
        choice = self._policy.choose(task.spec, task.job, owned.index, now)
        if choice is not None:
            self._start(owned, task, choice)
            note = f"on {choice.box}: {choice.reason}"
            effects.append(LogEvent("placed", task.task, note, owned.epoch))
            return ""
        if not shape.service and not self._within_urgent_quota(
            owned, task.account, shape
        ):
            return "no box has enough free resources"
        return self._evict_for(owned, task, now, effects)

    def exceeded_limit(self, owned: OwnedShard, account: str, need: Vector) -> str:
        """Return the account limit that ``need`` would exceed; empty if none."""
        total = owned.usage.get(account, Usage()).total.plus(need)
        for column, value in (
            ("max_cores", total.cores),
            ("max_memory_gb", total.memory_gb),
            ("max_accelerators", float(total.accelerators)),
        ):
            limit = self._table.number(account, column) / self._shards
            if value > limit + 1e-9:
                return f"account limit {column} ({limit:g} in this shard)"
        return ""

    def _start(self, owned: OwnedShard, task: WaitingTask, choice: BoxChoice) -> None:
        box = owned.index.boxes[choice.box]
        assignment = Assignment(
            task.task,
            task.attempt,
            owned.epoch,
            task.account,
            task.job,
            task.spec,
            choice.box,
            "starting",
            not_after=0.0,
            expires=0.0,
            reason=choice.reason,
        )
        owned.assign(box, assignment, adopted=False)
        owned.eviction_deadlines.pop(task.task, None)
        box.starts[task.task] = assignment
        owned.boxes_with_starts.add(choice.box)

    def _evict_for(
        self, owned: OwnedShard, task: WaitingTask, now: float, effects: list[Effect]
    ) -> str:
        if now < owned.eviction_deadlines.get(task.task, -1.0):
            return "waiting for evicted tasks to leave"
        choice = self._policy.choose_evictions(
            task.spec,
            owned.index,
            now,
            lambda a: self._table.number(a, "eviction_cost"),
        )
        if choice is None:
            return "no box has enough free resources, even with evictions"
        if not self._within_budget(owned, choice, now):
            return "eviction budget of the accounts to evict from is spent"
        owned.eviction_deadlines[task.task] = now + EVICTION_TIMEOUT_S
        for victim in choice.victims:
            assignment = owned.index.boxes[choice.box].tasks[victim]
            assignment.state = "evicting"
            assignment.stop_reason = "evicted"
            self._evictions.setdefault(assignment.account, []).append(now)
            reason = f"frees {choice.box} for {task.task}: {choice.reason}"
            assignment.reason = reason
            effects.append(LogEvent("evicting", victim, reason, owned.epoch))
        owned.index.boxes[choice.box].next_exchange_at = now
        return f"waiting for {', '.join(choice.victims)} to leave {choice.box}"

    def _within_budget(self, owned: OwnedShard, choice: BoxChoice, now: float) -> bool:
        tasks = owned.index.boxes[choice.box].tasks
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

    def explain(self, owned: OwnedShard, task: str) -> str:
        """Return the reason why a task is on its box, or why it waits."""
        name = owned.box_of_task.get(task)
        if name is not None:
            assignment = owned.index.boxes[name].tasks[task]
            return f"{assignment.state} on {name}: {assignment.reason}"
        if task in owned.uncertain:
            silent = ", ".join(sorted(owned.unreconciled)[:5])
            return f"may still run under an older epoch; no report yet from: {silent}"
        waiting = owned.waiting.find(task)
        if waiting is None:
            return "unknown to the owner of this shard"
        reason = owned.blocked.get((waiting.account, Shape.of(waiting.spec)))
        if owned.evacuated:
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
