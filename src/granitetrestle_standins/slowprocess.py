"""A simulated scheduler process whose appends may have no answer for a while, and whose
polls may be answered late."""

import random
import typing as t

from granitetrestle.decisions import Decision
from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import PollOutcome
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle_standins.shardprocess import JOBS_TOPIC
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardprocess import SchedulerProcess
from granitetrestle_standins.shardprocess import World
from granitetrestle_standins.shardworld import ShardWorld

__all__ = ["MAX_ANSWER_S", "MAX_ARRIVAL_S", "SlowProcess", "SlowWorld"]

# An append arrives up to this long after it was sent, and its answer later still.
MAX_ARRIVAL_S: t.Final = 3.0
MAX_ANSWER_S: t.Final = 4.0
MAX_POLL_ANSWER_S: t.Final = 1.5


class _Unanswered(t.NamedTuple):
    """An append without an answer, and the decisions that wait for it."""

    records: t.Sequence[Record]
    writer: Writer
    sent_at: float
    answered_at: float
    gated: t.Sequence[Decision]


class _LateAnswer(t.NamedTuple):
    """The answer to a poll, on its way.

    :param sent: when the poll was sent, by the process's steady clock.
    :param sent_at: the same by the clock of the world.
    """

    at: float
    sent: float
    sent_at: float
    outcome: PollOutcome


class SlowProcess(SchedulerProcess):
    """A scheduler process that waits for answers.

    Meanwhile it may stand still, or be gone: what it sent arrives nevertheless.
    """

    def __init__(self, world: World, epoch: int, slowness: "SlowWorld") -> None:
        self._slowness = slowness
        self._draw = random.Random(f"slow {slowness.seed} {epoch}")
        self._unanswered: _Unanswered | None = None
        self._late: dict[str, _LateAnswer] = {}
        super().__init__(world, epoch)

    def tick(self) -> None:
        """See :meth:`.SchedulerProcess.tick`."""
        if not self.stopped and not self.frozen:
            self._receive_answers()
        super().tick()

    def _receive_answers(self) -> None:
        due = [name for name, late in self._late.items() if late.at <= self.world.now]
        for incarnation in due:
            late = self._late.pop(incarnation)
            self._handle(incarnation, late)

    def _handle(self, incarnation: str, late: _LateAnswer) -> None:
        fleet = self.scheduler.fleet
        self.apply(
            fleet.handle_poll_outcome(incarnation, late.sent, self.now, late.outcome)
        )
        if isinstance(late.outcome, PollResult):
            leases = fleet.leases
            self.apply(leases.record_accepted(incarnation, late.sent_at, self.now))

    def _poll(self, incarnation: str) -> None:
        if incarnation in self._late:
            return
        if self._draw.random() >= self._slowness.late_answer_share:
            super()._poll(incarnation)
            return
        now = self.now
        if now - self.polled_at.get(incarnation, -1.0) < 2 * TICK_INTERVAL_S:
            return
        self.polled_at[incarnation] = now
        plan = self.scheduler.fleet.plan_poll(incarnation, now, self.renewal_age_s)
        if plan is None:
            return
        outcome = self.world.poll(
            self, incarnation, plan.acknowledged_end, plan.lease_ends_ms
        )
        at = self.world.now + self._draw.uniform(0.0, MAX_POLL_ANSWER_S)
        self._late[incarnation] = _LateAnswer(at, now, self.world.now, outcome)

    def _write(self) -> None:
        if self.world.store_down or self.without_store:
            return
        if self._unanswered is not None:
            if self.world.now >= self._unanswered.answered_at:
                self._repeat(self._unanswered)
        elif self._draw.random() < self._slowness.unanswered_share:
            self._append_without_answer()
        else:
            super()._write()

    def _append_without_answer(self) -> None:
        changes = self.scheduler.take_writes()
        end = self._end + len(changes) + 1
        mark = self.scheduler.leader_mark(self.epoch, end, self.now)
        records = self.digests.with_digest(changes, mark)
        writer = Writer(self.epoch, self.sequence + 1)
        now = self.world.now
        arrives_at = now + self._draw.uniform(0.0, MAX_ARRIVAL_S)
        answered_at = arrives_at + self._draw.uniform(0.0, MAX_ANSWER_S)
        self.world.store.append_later(arrives_at, JOBS_TOPIC, records, writer)
        gated, self.gated = self.gated, []
        self._unanswered = _Unanswered(records, writer, now, answered_at, gated)

    def _repeat(self, append: _Unanswered) -> None:
        """Repeat an append under its number; the store answers as it did before."""
        outcome = self.world.store.append(JOBS_TOPIC, append.records, append.writer)
        if not isinstance(outcome, Appended):
            self.stopped = True
            return
        self._unanswered = None
        self.sequence += 1
        self._end = outcome.end
        self.confirmed_at = append.sent_at
        for decision in append.gated:
            self._release(decision)


class SlowWorld(ShardWorld):
    """A world whose leaders may wait for answers.

    :ivar unanswered_share: share of the appends that have no answer for a while.
    :ivar late_answer_share: share of the polls that are answered late.
    """

    unanswered_share = 0.0
    late_answer_share = 0.0

    def __init__(self, seed: int, *args: t.Any, **options: t.Any) -> None:
        self.seed = seed
        super().__init__(seed, *args, **options)

    def _create_process(self, epoch: int) -> SchedulerProcess:
        return SlowProcess(self, epoch, self)

    def cancel(self, job: str) -> None:
        """See :meth:`.ShardWorld.cancel`; it may count before it is answered."""
        super().cancel(job)
        self.cancelled.setdefault(job, self.now)

    def advance(self, seconds: float) -> None:
        """See :meth:`.ShardWorld.advance`."""
        for _ in range(max(1, round(seconds / TICK_INTERVAL_S))):
            self.store.tick(self.now)
            super().advance(TICK_INTERVAL_S)
