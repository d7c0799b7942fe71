"""Leadership of a shard for one epoch: restores the state that the predecessor wrote,
adopts the boxes, and carries out the scheduler's decisions until a newer epoch appears.
"""

import time
import typing as t

import anyio

from . import steadyclock
from .appendlog import AppendLog
from .boxpoller import BoxPoller
from .collector import freeze_allocations
from .collector import unfreeze_allocations
from .commandpaths import CommandPaths
from .decidingtasks import DecidingTasks
from .decisionlog import log_decision
from .decisions import GATED
from .decisions import AcknowledgeEnds
from .decisions import AnswerCall
from .decisions import AskAdvice
from .decisions import ConfirmPanel
from .decisions import Decision
from .decisions import LogEvent
from .decisions import PaceTask
from .decisions import ResumeLeases
from .decisions import StartPolling
from .decisions import StartTask
from .decisions import StepDown
from .decisions import StopPolling
from .decisions import StopTask
from .decisions import WithdrawStarts
from .feeds import BoxFeed
from .feeds import OperatorFeed
from .feeds import Sources
from .forwarding import Deposed
from .interfaces import Advice
from .interfaces import AdviceUnavailable
from .interfaces import Config
from .interfaces import Record
from .jobcalls import JobAccepted
from .jobcalls import JobCall
from .jobcalls import JobOutcome
from .jobcalls import JobRefused
from .jobcalls import PendingCall
from .jobcalls import SubmitJob
from .jobrestore import NO_JOBS_APART
from .jobrestore import JobsApart
from .journal import Journal
from .leaderlease import JournalLeaderLease
from .looplag import LoopLag
from .mechanisms import Mechanism
from .nodelog import NodeLog
from .nodemetrics import NodeMetrics
from .pollbudget import PollBudget
from .retryafter import FollowingOutage
from .retryafter import RetryAfter
from .retryafter import SteadyRetries
from .scheduler import Scheduler
from .shardstate import SchedulerParameters
from .slices import in_slices
from .standby import RecordsCopy
from .standby import total_bytes
from .statedigest import EpochClaim
from .statedigest import LeaderMark
from .succession import JOBS_TOPIC
from .succession import StateReader
from .takeoverread import read_topics
from .waitingload import waiting_load
from .workflows import job_of

__all__ = ["Session", "Sources"]

# A store that has not answered for longer counts as unavailable: new jobs are refused.
STORE_UNAVAILABLE_AFTER_S: t.Final = 0.5
# Answers to clients rest on a leader lease that was confirmed at most this long ago.
MAX_CONFIRMATION_AGE_S: t.Final = 0.6
RETRY_INTERVAL_S: t.Final = 0.1
LOAD_LOG_INTERVAL_S: t.Final = 5.0


class Session:
    """Decides for a shard in one epoch.

    :param claim: claim of the epoch that this session leads in.
    :param ended_epochs: epochs whose leader's process has ended; may grow meanwhile.
    :param copy: a copy of the predecessor's records, if this process kept one.
    :param jobs_apart: jobs at which earlier leaders have failed.
    """

    def __init__(
        self,
        sources: Sources,
        claim: EpochClaim,
        parameters: SchedulerParameters,
        log: NodeLog,
        metrics: NodeMetrics,
        ended_epochs: t.Collection[int] = (),
        copy: RecordsCopy | None = None,
        jobs_apart: JobsApart = NO_JOBS_APART,
    ) -> None:
        self._sources = sources
        self._ended_epochs = ended_epochs
        self._claim = claim
        self._epoch = claim.epoch
        self._parameters = parameters
        self._log = log
        self._metrics = metrics
        self._scheduler = Scheduler(parameters, time.monotonic())
        self._scheduler.state.jobs_apart = jobs_apart
        self._append_log = AppendLog(claim.epoch, log, metrics)
        self._journal = Journal(
            sources.store,
            JOBS_TOPIC,
            claim.epoch,
            self._decide,
            self._apply_durable,
            # Counts the time in which this machine is suspended: another process may
            # take over meanwhile, so earlier confirmations must not support answers.
            steadyclock.now,
            self._append_log.unanswered,
            self._append_log.not_kept,
            self._append_log.refused,
            claim.end,
            parameters.call_bytes,
            self._leader_mark,
            claim.sent_at,
            parameters.link_bytes_per_s,
        )
        self._state_reader = StateReader(sources.store, claim, log, copy)
        self._lag = LoopLag(steadyclock.now)
        self._leader_lease = JournalLeaderLease(
            self._journal,
            parameters.orphan_s,
            self._lag,
            self._scheduler.state.witnesses,
        )
        parts = (sources, self._scheduler, self._apply, log)
        self._operator_feed = OperatorFeed(*parts)
        self._box_feed = BoxFeed(*parts)
        self._pollers: dict[str, BoxPoller] = {}
        steady = Mechanism.STEADY_RETRIES not in parameters.off
        self._retry_after: RetryAfter = SteadyRetries() if steady else FollowingOutage()
        limited = Mechanism.COMMAND_WINDOW not in parameters.off
        self._paths = CommandPaths(
            parameters.hall, parameters.areas, self._lag, limited
        )
        self._budget = PollBudget(parameters.connections)
        self._load_logged_at = time.monotonic()
        self._callers: dict[str, PendingCall] = {}
        self._tasks = DecidingTasks()
        # Whether the predecessor's state is restored, so that this session decides.
        self._deciding = False
        self._superseded = False
        # The error of a decision that was made for a caller.
        self._error: Exception | None = None
        # Newest epoch that other processes are known to follow.
        self._newest_epoch = claim.epoch

    @property
    def epoch(self) -> int:
        """The epoch in which this session decides."""
        return self._epoch

    def load(self, now: float) -> dict[str, float]:
        """Return the lengths of queues, and how far behind this process is."""
        return {
            **waiting_load(self._scheduler, now),
            "orders_waiting": float(self._paths.waiting),
            "orders_at_once": float(self._paths.size),
            **self._paths.load(),
            "loop_lag_s": round(self._lag.lag_s, 3),
            "looks_waiting": float(self._budget.long_polls),
            "looks_to_begin": float(self._budget.contact_window.waiting),
            "orders_unreadable": float(self._operator_feed.unreadable),
            "log_end": float(self._journal.end or 0),
            "right_age_s": round(self._leader_lease.age_s(), 3),
            **self._scheduler.state.witnesses.load(steadyclock.now()),
        }

    @property
    def config(self) -> Config | None:
        """The configuration in force."""
        return self._operator_feed.config

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of this session."""
        return self._scheduler

    @property
    def over(self) -> bool:
        """Whether this session has ended: requests belong to the successor."""
        return self._tasks.over

    @property
    def superseded(self) -> bool:
        """Whether this session has ended because another process has taken over."""
        return self._superseded

    @property
    def resignation_kept(self) -> bool:
        """Whether the store knows that this leader has resigned."""
        return self._journal.resignation_kept

    @property
    def store_unavailable(self) -> bool:
        """Whether an append has waited too long for the store."""
        since = self._journal.status.waiting_since
        return (
            since is not None and steadyclock.now() - since > STORE_UNAVAILABLE_AFTER_S
        )

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a refused client should retry."""
        since = self._journal.status.waiting_since
        away_s = 0.0 if since is None else steadyclock.now() - since
        return self._retry_after.after_s(away_s)

    @property
    def serving(self) -> bool:
        """Whether clients can be answered: the configuration is known and fresh."""
        known = self.config is not None and self._operator_feed.fresh
        return known and not self._tasks.over

    async def run(self, ready: t.Callable[[], None]) -> None:
        """Decide until deposed or cancelled. An unexpected error ends the session: its
        state may be half changed, and the next leader restores it from the store.

        :param ready: called once clients can be served.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks.run_in(tasks)
                if not await self._take_over():
                    return
                self._deciding = True
                self._tasks.start(self._run_journal)
                self._tasks.start(self._operator_feed.follow)
                self._tasks.start(self._box_feed.follow)
                self._tasks.start(self._lag.run)
                ready()
        finally:
            self._tasks.end()
            unfreeze_allocations()
            for caller in self._callers.values():
                caller.changed.set()
        if self._error is not None:
            raise self._error

    async def _take_over(self) -> bool:
        """Restore the predecessor's state; no other process can write meanwhile."""
        started, read_from = time.monotonic(), steadyclock.now()
        read = await read_topics(
            self._sources, self._state_reader, self._log, self._epoch
        )
        if read is None:
            return False
        now = time.monotonic()
        state = read.pop(JOBS_TOPIC)
        records, end = len(state.records), state.end
        stored_bytes = total_bytes(state.records)
        with freeze_allocations():
            self._journal.start_from(state.records)
            mark = await self._state_reader.read_leader_mark(state.records)
            restoring = self._scheduler.restore_in_slices(
                state.records, now, mark, self._state_reader.records_lost
            )
            del state
            self._apply(await in_slices(restoring))
            leases = self._scheduler.fleet.leases
            for epoch in self._ended_epochs:
                leases.record_process_end(epoch, now)
            self._apply([leases.inherited_event(now)])
            self._operator_feed.load(read[self._sources.config_topic], read_from)
            await in_slices(self._box_feed.loading(read[self._sources.box_topic]))
        self._log.event(
            "took_over",
            epoch=self._epoch,
            jobs=len(self._scheduler.state.workflows),
            records=records,
            bytes=stored_bytes,
            standby=self._state_reader.used_copy,
            end=end,
            boxes=len(self._box_feed),
            config=self.config.version if self.config else None,
            read_s=round(now - started, 3),
            took_s=round(time.monotonic() - started, 3),
        )
        return True

    async def _run_journal(self) -> None:
        met = await self._journal.run()
        self._step_down("store", type(met).__name__)

    def _step_down(self, where: str, met: str = "Fenced") -> None:
        if not self._tasks.over:
            self._superseded = True
            self._log.event(
                "stepped_down", epoch=self._epoch, met_newer_epoch=where, met=met
            )
            self._tasks.end()

    def _decide(self) -> list[Record]:
        now = time.monotonic()
        if now - self._load_logged_at > LOAD_LOG_INTERVAL_S:
            self._load_logged_at = now
            self._log.event("load", epoch=self._epoch, **self.load(now))
        wall_ms = time.time_ns() // 1_000_000
        self._apply(self._scheduler.decide(now, wall_ms, self._paths.start_limits()))
        return self._scheduler.take_writes()

    def _apply(self, decisions: list[Decision]) -> None:
        """Carry out decisions, or hold the gated ones until they are durable."""
        for decision in decisions:
            if isinstance(decision, GATED):
                self._journal.hold(decision)
            elif isinstance(decision, LogEvent):
                log_decision(decision, self._epoch, self._log, self._metrics)
            elif isinstance(decision, StartPolling):
                self._watch(decision)
            elif isinstance(decision, StopPolling):
                poller = self._pollers.pop(decision.incarnation, None)
                if poller is not None:
                    poller.stop()
            elif isinstance(decision, WithdrawStarts):
                self._paths.release_starts(decision.incarnations)
            elif isinstance(decision, PaceTask):
                self._send_command(decision)
            elif isinstance(decision, AskAdvice):
                self._tasks.start(self._advise, decision)
            elif isinstance(decision, StepDown):
                self._step_down(decision.where)
        if self._scheduler.has_writes or self._scheduler.state.waiting:
            self._journal.request_batch()

    def _watch(self, decision: StartPolling) -> None:
        hall = self._scheduler.state.boxes[decision.incarnation].entry.hall
        poller = BoxPoller(
            decision.incarnation,
            decision.address,
            self._epoch,
            self._sources.boxes,
            self._scheduler,
            self._apply,
            self._leader_lease,
            self._metrics,
            self._paths.window(hall),
            self._lag,
            self._budget,
            hall,
        )
        self._pollers[decision.incarnation] = poller
        self._tasks.start(poller.run)

    async def _advise(self, asked: AskAdvice) -> None:
        advice: Advice | AdviceUnavailable = AdviceUnavailable("no advisor is set")
        if self._sources.advisor is not None:
            step = f"{asked.job}.{asked.occurrence}.{asked.step}"
            advice = await self._sources.advisor.advise(
                step, asked.incarnations, asked.timeout_s
            )
        self._apply(self._scheduler.apply_advice(asked, advice, time.monotonic()))

    def _apply_durable(self, held: list[t.Any]) -> None:
        """Carry out decisions whose records are in the store. A job of which one is not
        is ended: a successor would not know what was decided about it."""
        self._append_log.answered()
        unrecorded = self._append_log.pop_unrecorded_jobs()
        for decision in held:
            if isinstance(decision, AnswerCall):
                self._answer(decision, unrecorded)
            elif (
                isinstance(decision, StartTask) and job_of(decision.task) in unrecorded
            ):
                continue
            elif isinstance(decision, StartTask | StopTask):
                self._send_command(decision)
            elif isinstance(decision, ResumeLeases):
                self._scheduler.fleet.leases.resume(decision)
            elif isinstance(decision, ConfirmPanel):
                self._scheduler.state.witnesses.confirm(decision)
            elif isinstance(decision, AcknowledgeEnds):
                poller = self._pollers.get(decision.incarnation)
                if poller is not None:
                    poller.mark_ends_durable(decision.number)
        for job in unrecorded:
            self._apply(self._scheduler.fail_unrecorded(job, time.monotonic()))

    def _send_command(self, decision: StartTask | StopTask | PaceTask) -> None:
        poller = self._pollers.get(decision.incarnation)
        if poller is not None:
            self._tasks.start(poller.execute, decision)

    def _answer(self, decision: AnswerCall, unrecorded: t.Collection[str]) -> None:
        caller = self._callers.get(decision.request)
        if caller is not None:
            caller.outcome = decision.outcome
            if caller.job in unrecorded and isinstance(decision.outcome, JobAccepted):
                caller.outcome = JobRefused("the store refuses its record")
            caller.changed.set()

    async def call(self, request: str, call: JobCall) -> JobOutcome:
        """Decide on a client's call; the answer is durable.

        :raises Deposed: if this session ended first; the call may have been accepted.
        """
        if self._tasks.over:
            raise Deposed
        job = call.submission.job if isinstance(call, SubmitJob) else ""
        caller = self._callers[request] = PendingCall(job)
        try:
            self._decide_for_caller(
                lambda: self._scheduler.handle_call(request, call, time.monotonic())
            )
            while caller.outcome is None and not self._tasks.over:
                await caller.changed.wait()
        finally:
            del self._callers[request]
        if caller.outcome is None:
            raise Deposed
        return caller.outcome

    def _decide_for_caller(self, decide: t.Callable[[], list[Decision]]) -> None:
        """Decide outside this session's own tasks: :meth:`run` raises an error of it."""
        try:
            self._apply(decide())
        except Exception as error:
            self._error = error
            self._tasks.end()

    def observe_epoch(self, epoch: int) -> None:
        """Record that other processes follow an epoch. If it is newer, the store must
        confirm the leader lease before anything else is sent."""
        if epoch > self._newest_epoch:
            self._newest_epoch = epoch
            self._log.event("newer_epoch_heard", epoch=self._epoch, heard=epoch)
            self._leader_lease.invalidate()

    async def confirm(self) -> bool:
        """Return true once the leader lease is confirmed, or false as soon as the store
        is unavailable, so that no client waits for an answer that can't be given.

        :raises Deposed: if this session has ended.
        """
        if self._leader_lease.is_confirmed_within(MAX_CONFIRMATION_AGE_S):
            return True
        asked = steadyclock.now()
        while self._journal.status.confirmed_at < asked:
            if self._tasks.over:
                raise Deposed
            if self.store_unavailable:
                return False
            self._journal.request_append()
            await anyio.sleep(RETRY_INTERVAL_S)
        return True

    async def resign(self) -> None:
        """Stop leading: carry out what was decided, grant no further lease, and return
        once the store knows that."""
        if not self._deciding:
            return
        self._scheduler.stop_starting()
        await self.drain()
        self._scheduler.resign(time.monotonic())
        self._journal.request_append()
        while not self._journal.resignation_kept and not self._tasks.over:
            await anyio.sleep(RETRY_INTERVAL_S / 10)

    def record_process_end(self, epoch: int) -> None:
        """Apply the proof that the process which led in ``epoch`` has ended."""
        leases = self._scheduler.fleet.leases
        self._decide_for_caller(
            lambda: leases.record_process_end(epoch, time.monotonic())
        )

    def _leader_mark(self, end: int) -> LeaderMark:
        return self._scheduler.leader_mark(self._epoch, end, time.monotonic())

    async def drain(self) -> None:
        """Return once all decisions made so far are durable and carried out; others may
        follow them without end."""
        batch = self._journal.next_batch
        self._journal.request_append()
        while not self._journal.is_complete(batch) and not self._tasks.over:
            await anyio.sleep(RETRY_INTERVAL_S / 10)
