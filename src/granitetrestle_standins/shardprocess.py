"""One scheduler process of the simulation: it journals decisions, polls boxes, and
reads operators' directives."""

import typing as t

from granitetrestle.decisions import GATED
from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import AnswerCall
from granitetrestle.decisions import ConfirmPanel
from granitetrestle.decisions import Decision
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import PaceTask
from granitetrestle.decisions import ResumeLeases
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StepDown
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import HallDirective
from granitetrestle.interfaces import PollOutcome
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.interfaces import Writer
from granitetrestle.leaderlease import renewal_age_s
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.statedigest import claims_to_read
from granitetrestle.statedigest import read_leader_mark
from granitetrestle_standins.nativestore import StoreModel

__all__ = [
    "HALLS_TOPIC",
    "JOBS_TOPIC",
    "TICK_INTERVAL_S",
    "Command",
    "DelayedCommand",
    "SchedulerProcess",
    "World",
]

JOBS_TOPIC = "keyed.jobs"
# Operators' directives, keyed by data hall.
HALLS_TOPIC = "keyed.halls"
TICK_INTERVAL_S = 0.05
Command: t.TypeAlias = StartTask | StopTask | PaceTask


class DelayedCommand(t.NamedTuple):
    """A command that a box executes later; the sender gets no answer."""

    at: float
    token: int
    lease_ends_ms: int
    command: Command


class World(t.Protocol):
    """Interface of a scheduler process to :class:`.shardworld.ShardWorld`."""

    now: float
    parameters: SchedulerParameters
    config: Config
    store: StoreModel
    entries: dict[str, BoxEntry]
    unreadable: set[str]

    @property
    def store_down(self) -> bool:
        """Whether every call to the store is refused."""

    def send(self, sender: "SchedulerProcess", command: Command) -> None:
        """Deliver a command, delay it, or lose it or its answer."""

    def record_answer(self, decision: AnswerCall) -> None:
        """Record the answer to a call."""

    def poll(
        self,
        sender: "SchedulerProcess",
        incarnation: str,
        acknowledged_end: int,
        lease_ends_ms: int | None,
    ) -> PollOutcome:
        """Poll a box."""


class SchedulerProcess:
    """One scheduler process, with its journal and its polls of boxes."""

    def __init__(self, world: World, epoch: int) -> None:
        self.world = world
        self.epoch = epoch
        self.frozen = False
        # Whether it reads no directives.
        self.without_directives = False
        self.stopped = False
        # Whether it alone can't reach the store, and the boxes that it can't reach.
        self.without_store = False
        self.cut_from: set[str] = set()
        # Time that its machine was suspended; the steady clock leaves it out.
        self._suspended_s = 0.0
        self._suspended_at: float | None = None
        self.confirmed_at = world.now
        self.sequence = 1
        self.scheduler = Scheduler(world.parameters, world.now)
        self.gated: list[Decision] = []
        self.log_events: list[LogEvent] = []
        self.polled_at: dict[str, float] = {}
        self.apply(self.scheduler.apply_config(world.config))
        by = f"life-{epoch}"
        records = (EpochClaim.record(epoch, by),)
        appended = world.store.append(JOBS_TOPIC, records, Writer(epoch, 1))
        assert isinstance(appended, Appended), appended
        self._end = appended.end
        newest_records = world.store.newest(JOBS_TOPIC).records
        self.digests = DigestTracker(newest_records)
        claim = EpochClaim(epoch, by, self._end)
        later: tuple[Record, ...] = ()
        if (start := claims_to_read(newest_records, claim)) is not None:
            read = world.store.read(JOBS_TOPIC, start)
            later = read.records if isinstance(read, Records) else ()
        mark = read_leader_mark(newest_records, claim, later)
        self.scheduler.restore(newest_records, world.now, mark)
        self.directives_offset = -1
        self.read_directives()
        self.list_boxes()

    @property
    def now(self) -> float:
        """The time by this process's steady clock."""
        return self.world.now - self._suspended_s

    @property
    def renewal_age_s(self) -> float | None:
        """How old the proof is on which it may renew leases."""
        # Confirmations and witnesses are timed by a clock that goes on in a suspension.
        now = self.world.now
        proved_at = self.scheduler.state.witnesses.proved_at
        store_age_s = now - self.confirmed_at
        orphan_s = self.world.parameters.orphan_s
        if self.sequence > 1:
            return renewal_age_s(store_age_s, orphan_s, proved_at, now)
        if proved_at is None:
            return None
        return max(now - proved_at, store_age_s - orphan_s)

    def suspend(self) -> None:
        """Suspend its machine, which stops its steady clock."""
        if not self.frozen:
            self.frozen = True
            self._suspended_at = self.world.now

    def resume(self) -> None:
        """Resume after a suspension or a freeze."""
        self.frozen = False
        if self._suspended_at is not None:
            self._suspended_s += self.world.now - self._suspended_at
            self._suspended_at = None

    def resign(self) -> None:
        """Stop leading in an orderly way: send what was decided, then state that no
        lease is renewed any more, and end."""
        self.scheduler.stop_starting()
        self._write()
        self.scheduler.resign(self.now)
        self._write()
        self.stopped = True

    def predecessor_ended(self, epoch: int) -> None:
        """Hear that the process which led in ``epoch`` has ended."""
        self.apply(self.scheduler.fleet.leases.record_process_end(epoch, self.now))

    def read_directives(self) -> None:
        """Apply the directives since the last read, or all when the history is gone."""
        store, evacuation = self.world.store, self.scheduler.evacuation
        if self.world.store_down or self.without_store or self.without_directives:
            return
        new_records = store.read(HALLS_TOPIC, max(0, self.directives_offset))
        if self.directives_offset >= 0 and isinstance(new_records, Records):
            directives = [
                HallDirective(r.key, r.value is not None) for r in new_records.records
            ]
            self.apply(evacuation.apply_directives(directives, self.now))
        else:
            newest = store.newest(HALLS_TOPIC)
            directives = [HallDirective(record.key, True) for record in newest.records]
            self.apply(evacuation.replace_directives(directives, (), self.now))
        self.directives_offset = store.end(HALLS_TOPIC)
        evacuation.record_read(self.now)

    def list_boxes(self) -> None:
        """Apply the newest list of boxes."""
        entries = dict(self.world.entries)
        fleet, unreadable = self.scheduler.fleet, self.world.unreadable
        self.apply(fleet.update_boxes(entries, self.now, unreadable))

    def apply(self, decisions: t.Sequence[Decision]) -> None:
        """Execute decisions; hold those that wait for their write."""
        for decision in decisions:
            if isinstance(decision, GATED):
                self.gated.append(decision)
            elif isinstance(decision, StepDown):
                self.stopped = True
            elif isinstance(decision, PaceTask):
                self.world.send(self, decision)
            elif isinstance(decision, LogEvent):
                self.log_events.append(decision)

    def tick(self) -> None:
        """Decide, write, release held decisions and poll boxes."""
        if self.stopped or self.frozen:
            return
        self.read_directives()
        self.apply(self.scheduler.decide(self.now, int(self.now * 1000)))
        self._write()
        for incarnation in list(self.scheduler.state.boxes):
            if not self.stopped:
                self._poll(incarnation)

    def _write(self) -> None:
        if self.world.store_down or self.without_store:
            return
        changes = self.scheduler.take_writes()
        end = self._end + len(changes) + 1
        mark = self.scheduler.leader_mark(self.epoch, end, self.now)
        records = self.digests.with_digest(changes, mark)
        writer = Writer(self.epoch, self.sequence + 1)
        outcome = self.world.store.append(JOBS_TOPIC, records, writer)
        if not isinstance(outcome, Appended):
            self.stopped = True
            return
        self.sequence += 1
        self._end = outcome.end
        self.confirmed_at = self.world.now
        gated, self.gated = self.gated, []
        for decision in gated:
            self._release(decision)

    def _release(self, decision: Decision) -> None:
        if isinstance(decision, StartTask | StopTask):
            self.world.send(self, decision)
        elif isinstance(decision, AnswerCall):
            self.world.record_answer(decision)
        elif isinstance(decision, ResumeLeases):
            self.scheduler.fleet.leases.resume(decision)
        elif isinstance(decision, ConfirmPanel):
            self.scheduler.state.witnesses.confirm(decision)
        elif isinstance(decision, AcknowledgeEnds):
            box = self.scheduler.state.boxes.get(decision.incarnation)
            if box is not None:
                box.durable_end = max(box.durable_end, decision.number)

    def _poll(self, incarnation: str) -> None:
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
        self.apply(
            self.scheduler.fleet.handle_poll_outcome(incarnation, now, now, outcome)
        )
        if isinstance(outcome, PollResult):
            leases = self.scheduler.fleet.leases
            self.apply(leases.record_accepted(incarnation, self.world.now, now))
