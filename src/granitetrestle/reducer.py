"""State machine of one process on the older path: ``step(event) -> effects``. It
reads no clock, draws no random numbers and does no I/O, so that the same events
always give the same state and effects. Each part handles the events of one subject."""

import typing as t

from . import events as ev
from .borrowing import Borrower
from .events import AppendFacts
from .events import Effect
from .events import Event
from .events import LogEvent
from .events import LogRead
from .events import SendPeer
from .events import Tick
from .halls import Halls
from .heartbeat import Heartbeat
from .intake import Intake
from .jobs import Job
from .jobs import Jobs
from .keys import key_shard
from .messages import BeatSent
from .messages import CallAnswered
from .messages import CallForwarded
from .messages import HallDigest
from .messages import HallDigests
from .messages import KeyAsked
from .messages import KeyReturned
from .messages import KeyVerdict
from .messages import LeaderResigned
from .messages import LoansGranted
from .messages import LoansHeld
from .messages import Message
from .messages import NodeStatus
from .outcomes import Accepted
from .ownership import Ownership
from .placementparameters import shard_of
from .policy import Policy
from .policy import RackSpread
from .records import AttemptEnded
from .records import BoxDrained
from .records import Fact
from .records import HallEvacuated
from .records import JobCancelled
from .records import JobSubmitted
from .records import LogRecord
from .records import Renewed
from .records import ShardClaimed
from .records import ShardReleased
from .records import TableEdited
from .records import record_batch
from .requests import Requests
from .setup import Setup
from .setup import hall_stream
from .shards import ShardOwner
from .snapshot import ConfigState
from .snapshot import HallState
from .snapshot import decode_config
from .snapshot import decode_hall
from .snapshot import encode_state
from .snapshot import snapshot_stream
from .snapshot import split_snapshot
from .submissions import Submissions
from .table import Table

__all__ = ["CONFIG_STREAM", "Reducer", "Setup", "hall_stream"]

CONFIG_STREAM: t.Final = "config"
CLAIM_RETRY_INTERVAL_S = 1.0


class Reducer:
    """State of one process and its step function."""

    def __init__(self, setup: Setup, policy: Policy | None = None) -> None:
        self._setup = setup
        self._stream = hall_stream(setup.hall)
        self._wall = 0.0
        self._stopping = False
        self._table = Table()
        self._jobs = Jobs()
        self._offsets: dict[str, int] = {}
        self._writers: dict[str, dict[str, int]] = {}
        self._streams_at_tail: set[str] = set()
        self._snapshot_at: dict[str, tuple[int, float]] = {}
        self._claims_sent: dict[int, tuple[int, float]] = {}
        self._ownership = Ownership(
            setup.node,
            setup.incarnation,
            setup.shards,
            setup.halls[setup.hall],
            setup.ownership,
        )
        self._heartbeat = Heartbeat(
            self._stream, setup.node, setup.incarnation, self._ownership
        )
        self._owner = ShardOwner(
            self._stream,
            setup.shards,
            setup.placement,
            setup.lending,
            policy or RackSpread(),
            self._table,
            self._jobs,
            self._ownership,
        )
        self._halls = Halls(setup.hall, setup.halls)
        self._borrower = Borrower(setup.lending)
        self._submissions = Submissions()
        self._requests = Requests(
            setup.hall,
            sorted(setup.halls),
            setup.shards,
            setup.requests,
            self._table,
            self._ownership,
            self._borrower,
            self._halls,
        )
        self._intake = Intake(
            self._stream,
            CONFIG_STREAM,
            setup.shards,
            self._table,
            self._jobs,
            self._owner.placement,
            self._submissions,
        )
        self._handlers: dict[type, t.Callable[[t.Any], list[Effect]]] = {
            Tick: self._tick,
            LogRead: self._log_read,
            ev.SnapshotRead: self._snapshot_read,
            ev.FactsWithdrawn: self._submissions.withdrawn,
            ev.PeerMessage: self._peer_message,
            ev.BoxListRead: self._boxes_listed,
            ev.BoxAnswered: self._box_answered,
            ev.BoxFailed: self._box_failed,
            ev.JobSubmitRequested: self._intake.job_submit,
            ev.JobCancelRequested: self._intake.job_cancel,
            ev.TableEditRequested: self._intake.table_edit,
            ev.BoxDrainRequested: self._intake.box_drain,
            ev.HallEvacuateRequested: self._intake.hall_evacuate,
            ev.RequestArrived: self._requests.admit,
            ev.AnswerArrived: self._requests.apply_answer,
            ev.AnswerFailed: self._requests.apply_failure,
            ev.CallerLeft: self._requests.remove_abandoned,
            ev.StopRequested: self._stop,
        }

    @property
    def table(self) -> Table:
        """The configuration table as read from the log."""
        return self._table

    @property
    def jobs(self) -> Jobs:
        """Jobs of the data hall."""
        return self._jobs

    @property
    def ownership(self) -> Ownership:
        """Shards, members and ownership leases of the data hall."""
        return self._ownership

    @property
    def owner(self) -> ShardOwner:
        """The part that serves the shards which this process owns."""
        return self._owner

    @property
    def borrower(self) -> Borrower:
        """The part that borrows service slots for this process."""
        return self._borrower

    @property
    def halls(self) -> Halls:
        """State of the other data halls as last reported."""
        return self._halls

    @property
    def requests(self) -> Requests:
        """Requests without an outcome."""
        return self._requests

    @property
    def offsets(self) -> t.Mapping[str, int]:
        """Stream -> next offset to read."""
        return self._offsets

    @property
    def max_request_s(self) -> float:
        """Longest deadline of a request, in seconds."""
        return self._setup.requests.max_request_s

    @property
    def ready(self) -> bool:
        """Whether clients may be sent here: both streams were read to their ends."""
        read = {self._stream, CONFIG_STREAM} <= self._streams_at_tail
        return read and not self._stopping

    @property
    def stopped(self) -> bool:
        """Whether a planned stop is complete: nothing to finish or to hand over."""
        idle = not self._requests.unanswered and not len(self._submissions)
        return self._stopping and idle and not self._ownership.owned()

    def step(self, event: Event) -> list[Effect]:
        """Apply one event and return its effects, to be executed in this order.

        :raises InvariantViolated: if an invariant does not hold, which is a bug.
        """
        return self._handlers[type(event)](event)

    def _tick(self, event: Tick) -> list[Effect]:
        now = event.now
        self._wall = event.wall
        effects = self._requests.tick(now)
        effects += self._submissions.tick(now)
        if self._stream in self._streams_at_tail:
            offset = self._table.offset
            effects += self._heartbeat.tick(now, offset, self._stopping)
            effects += self._send_claims(now)
        peers = [n for n in self._ownership.live_members(now) if n != self._setup.node]
        effects += self._owner.tick(now, event.wall, peers)
        effects += self._borrower.due_reports(
            self._ownership, self._requests.demand, now
        )
        effects += self._send_digests(now, event.wall)
        effects += self._write_due_snapshots(now)
        self._ownership.remove_silent_members(now)
        return effects

    def _send_claims(self, now: float) -> list[Effect]:
        if self._stopping:
            return []
        effects: list[Effect] = []
        for claim in self._ownership.claims_due(now):
            epoch, at = self._claims_sent.get(claim.shard, (-1, 0.0))
            if epoch == claim.previous_epoch and now - at < CLAIM_RETRY_INTERVAL_S:
                continue
            self._claims_sent[claim.shard] = (claim.previous_epoch, now)
            name = f"claim/{claim.shard}"
            effects.append(AppendFacts(self._stream, (claim,), name, latest_only=True))
        return effects

    def _send_digests(self, now: float, wall: float) -> list[Effect]:
        if self._ownership.aggregator(now) != self._setup.node:
            return []
        if not self._halls.is_send_due(now):
            return []
        own = self._own_digest(wall)
        for_others = HallDigests((own,))
        effects: list[Effect] = [
            SendPeer(node, for_others) for node in self._halls.next_targets()
        ]
        everything = self._halls.with_own(own)
        members = [n for n in self._ownership.members if n != self._setup.node]
        return effects + [SendPeer(node, everything) for node in sorted(members)]

    def _own_digest(self, wall: float) -> HallDigest:
        nodes = {n: m.beat.config_offset for n, m in self._ownership.members.items()}
        owners = {n: shard.holder for n, shard in self._ownership.shards.items()}
        services: dict[str, int] = {}
        for borrowed in self._borrower.endpoints.values():
            name = borrowed.loan.service
            services[name] = services.get(name, 0) + borrowed.loan.slots
        version = self._halls.next_version(wall)
        evacuated = self._owner.placement.evacuated
        hall = self._setup.hall
        return HallDigest(hall, version, nodes, owners, services, evacuated)

    def _log_read(self, event: LogRead) -> list[Effect]:
        effects: list[Effect] = []
        for record in event.records:
            effects += self._apply_record(event.stream, record, event.now)
        self._offsets[event.stream] = event.next_offset
        if event.stream == CONFIG_STREAM:
            self._table.advance(event.next_offset - 1)
        if event.tail:
            self._streams_at_tail.add(event.stream)
            if event.stream == self._stream:
                self._ownership.record_tail_read(event.now)
        return effects

    def _snapshot_read(self, event: ev.SnapshotRead) -> list[Effect]:
        if event.upto < self._offsets.get(event.stream, 1) - 1:
            # An older snapshot would undo records that were applied already.
            return []
        self._offsets[event.stream] = event.upto + 1
        self._snapshot_at[event.stream] = (event.upto, event.now)
        if event.stream == CONFIG_STREAM:
            config = decode_config(event.payload)
            self._table.restore(config.rows, event.upto)
            self._writers[event.stream] = config.writers
            return []
        return self._restore_hall(decode_hall(event.payload))

    def _restore_hall(self, state: HallState) -> list[Effect]:
        for shard in list(self._owner.placement.owned_shards):
            self._owner.close_epoch(shard)
        self._jobs.restore(state.jobs)
        self._ownership.restore(state.shards)
        self._owner.placement.restore_drained(state.drained)
        self._owner.placement.hall_evacuated(state.evacuated)
        self._writers[self._stream] = state.writers
        # The state of own shards was lost with the skipped records: other owners take over.
        return [
            self._owner.release_after_gap(shard, self._ownership.shards[shard].epoch)
            for shard in self._ownership.owned()
        ]

    def _write_due_snapshots(self, now: float) -> list[Effect]:
        """Write snapshots well before the log drops the records that they cover."""
        if self._ownership.aggregator(now) != self._setup.node:
            return []
        effects = self._write_if_due(self._stream, now)
        if self._halls.first_reachable(now) == self._setup.hall:
            effects += self._write_if_due(CONFIG_STREAM, now)
        return effects

    def write_snapshots_now(self) -> None:
        """Make snapshots due at the next tick, if this process is to write them."""
        for stream in self._streams_at_tail:
            self._snapshot_at[stream] = (0, -1e18)

    def _write_if_due(self, stream: str, now: float) -> list[Effect]:
        if stream not in self._streams_at_tail:
            return []
        upto = self._offsets[stream] - 1
        last, at = self._snapshot_at.setdefault(stream, (0, now))
        if upto == last:
            return []
        due = now - at > self._setup.snapshot_s
        if upto - last < self._setup.snapshot_records and not due:
            return []
        self._snapshot_at[stream] = (upto, now)
        payload = encode_state(self.state_of(stream))
        target = snapshot_stream(stream)
        return [
            AppendFacts(target, (chunk,)) for chunk in split_snapshot(upto, payload)
        ]

    def state_of(self, stream: str) -> ConfigState | HallState:
        """Return the state after the records of a stream, for a snapshot."""
        writers = self._writers.get(stream, {})
        if stream == CONFIG_STREAM:
            return ConfigState(self._table.rows, writers)
        return HallState(
            self._jobs.snapshot(),
            dict(self._ownership.shards),
            sorted(self._owner.placement.drained),
            writers,
            self._owner.placement.evacuated,
        )

    def _apply_record(self, stream: str, record: LogRecord, now: float) -> list[Effect]:
        if not record_batch(self._writers.setdefault(stream, {}), record.batch):
            return []
        effects: list[Effect] = []
        for fact in record.batch.facts:
            effects += self._apply_fact(record, fact, now)
        return effects

    def _apply_fact(self, record: LogRecord, fact: Fact, now: float) -> list[Effect]:
        match fact:
            case Renewed():
                self._ownership.apply_renewed(record.offset, fact, now)
                self._heartbeat.remove_appended(fact.beats)
                return []
            case AttemptEnded():
                return self._apply_end(record.offset, fact, now)
            case JobSubmitted():
                return self._apply_submission(record.offset, fact)
            case JobCancelled():
                return self._apply_cancellation(record.offset, fact)
            case ShardClaimed():
                return self._apply_claim(record, fact, now)
            case ShardReleased():
                return self._apply_release(record.offset, fact)
            case TableEdited():
                outcome = self._table.apply(record.offset, fact)
                return self._submissions.read_back(fact.request, outcome)
            case BoxDrained():
                self._owner.placement.box_drained(fact.box, fact.drained)
                return self._read_back(fact.request, fact.box, record.offset)
            case HallEvacuated():
                self._owner.placement.hall_evacuated(fact.evacuated)
                return self._read_back(fact.request, self._setup.hall, record.offset)
            case _:
                return []

    def _read_back(self, request: str, subject: str, offset: int) -> list[Effect]:
        return self._submissions.read_back(request, Accepted(subject, offset))

    def _apply_end(self, offset: int, fact: AttemptEnded, now: float) -> list[Effect]:
        shard = self._ownership.shards.get(fact.shard)
        if shard is None:
            return []
        task = self._jobs.apply_ended(offset, fact, shard.epoch)
        if task is None:
            return []
        job = self._jobs.jobs.get(fact.task.rpartition("/")[0])
        if job is None:
            return []
        return self._owner.placement.task_ended(job, task, fact, now)

    def _apply_submission(self, offset: int, fact: JobSubmitted) -> list[Effect]:
        job = self._jobs.apply_submitted(offset, fact)
        if job is not None:
            self._owner.placement.job_submitted(job)
        return self._submissions.read_back(fact.request, Accepted(fact.job, offset))

    def _apply_cancellation(self, offset: int, fact: JobCancelled) -> list[Effect]:
        job = self._jobs.apply_cancelled(fact)
        effects: list[Effect] = []
        if job is not None:
            effects += self._owner.placement.job_cancelled(job)
        return effects + self._read_back(fact.request, fact.job, offset)

    def _apply_claim(
        self, record: LogRecord, fact: ShardClaimed, now: float
    ) -> list[Effect]:
        before = self._ownership.shards.get(fact.shard)
        if before is None or not self._ownership.apply_claim(record, fact, now):
            return []
        effects = self._owner.close_epoch(fact.shard)
        if fact.incarnation == self._setup.incarnation:
            effects += self._owner.open_epoch(fact.shard, before, now, self._wall)
        return effects

    def _apply_release(self, offset: int, fact: ShardReleased) -> list[Effect]:
        if not self._ownership.apply_released(offset, fact):
            return []
        return self._owner.close_epoch(fact.shard)

    def _peer_message(self, event: ev.PeerMessage) -> list[Effect]:
        message = event.message
        match message:
            case BeatSent():
                self._heartbeat.collect(message.beat)
                return []
            case HallDigests():
                self._halls.record_digests(event.sender, message, event.now)
                return []
            case LoansGranted():
                self._borrower.apply_grant(message, event.now)
                return self._requests.serve_waiting(event.now)
            case KeyVerdict():
                return self._requests.apply_verdict(message, event.now)
            case KeyReturned():
                self._owner.release_key(message)
                return []
            case LoansHeld() | KeyAsked():
                return self._answer_peer(event, message)
            case NodeStatus() | LeaderResigned() | CallForwarded() | CallAnswered():
                # Messages of the newer path, which serves jobs of steps.
                return []

    def _answer_peer(
        self, event: ev.PeerMessage, message: LoansHeld | KeyAsked
    ) -> list[Effect]:
        answer: Message | None
        if isinstance(message, KeyAsked):
            answer = self._owner.decide_key(message, event.now, event.wall)
        else:
            answer = self._owner.grant_loans(
                event.sender, event.incarnation, message, event.now
            )
        return [SendPeer(event.sender, answer)] if answer is not None else []

    def _boxes_listed(self, event: ev.BoxListRead) -> list[Effect]:
        self._owner.placement.update_boxes(event.boxes)
        return []

    def _box_answered(self, event: ev.BoxAnswered) -> list[Effect]:
        return self._owner.box_answered(event)

    def _box_failed(self, event: ev.BoxFailed) -> list[Effect]:
        self._owner.placement.box_failed(event)
        return []

    def _stop(self, event: ev.StopRequested) -> list[Effect]:
        self._stopping = True
        self._requests.stop()
        self._owner.begin_release()
        return [LogEvent("stopping", self._setup.node)]

    def explain(self, job: Job) -> dict[str, str] | None:
        """Return task -> reason; ``None`` if another process owns the shard."""
        return self._owner.explain(job)

    def shard_of_box(self, box: str) -> int:
        """Return the shard of a box of this data hall."""
        return shard_of(box, self._setup.shards)

    def key_owner(self, account: str, key: str) -> str:
        """Return the process of this data hall that owns the shard of a key."""
        shard = key_shard(account, key, self._setup.shards)
        return self._ownership.shards[shard].holder
