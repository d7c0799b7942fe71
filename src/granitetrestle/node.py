"""One process of the system: receives clients' requests, tracks the leader, forwards
requests to it, and is the leader itself while it holds the newest epoch."""

import itertools
import time
import typing as t

import anyio
import anyio.abc

from .claiming import EpochClaimer
from .failedleaders import FailedLeaders
from .forwardedcalls import ForwardedCalls
from .forwarding import ClientAnswer
from .forwarding import ClientCall
from .forwarding import Deposed
from .forwarding import Forwarding
from .forwarding import Target
from .forwardwindow import ForwardWindow
from .handover import ask_to_take_over
from .jobrestore import JobsApart
from .leaderfailures import LeaderFailure
from .leaderfailures import jobs_apart
from .leaderprocesses import LeaderProcesses
from .messages import CallAnswered
from .messages import CallForwarded
from .messages import LeaderResigned
from .messages import Member
from .messages import Message
from .messages import NodeStatus
from .nodelog import NodeLog
from .nodemetrics import NodeMetrics
from .nodeparameters import NodeParameters
from .nodeparameters import Responder
from .peerlink import PeerLink
from .registration import Registration
from .registry import HeartbeatWatch
from .registry import LeaderEntry
from .registry import Registry
from .reports import OwnState
from .reports import Report
from .reports import Reports
from .session import Session
from .session import Sources
from .standby import Standby
from .standstills import Standstills
from .succession import JOBS_TOPIC

__all__ = ["Node", "NodeParameters", "Responder"]

TICK_INTERVAL_S: t.Final = 0.1
# How often the leader writes a heartbeat to the store; see :mod:`.claiming`.
HEARTBEAT_INTERVAL_S: t.Final = 1.0
# How long a leader that hands over waits for its last append.
DRAIN_TIMEOUT_S: t.Final = 0.3
# A process without a known leader for this long is not ready for new connections.
LEADERLESS_TIMEOUT_S: t.Final = 1.5


class Node:
    """One process of the system."""

    def __init__(
        self,
        parameters: NodeParameters,
        sources: Sources,
        responder: Responder,
        peers: PeerLink,
        log: NodeLog,
        metrics: NodeMetrics,
    ) -> None:
        self._parameters = parameters
        self._sources = sources
        self._responder = responder
        self._peers = peers
        peers.on_not_opened = self._peer_not_opened
        self._log = log
        self._standstills = Standstills(log)
        self._metrics = metrics
        self._registry = Registry(sources.store)
        self._failed_leaders = FailedLeaders(self._registry, log)
        jitter = (sum(map(ord, parameters.incarnation)) % 100) / 100.0
        me = Member(
            parameters.node, parameters.address, parameters.hall, parameters.cores
        )
        self._reports = Reports(me, time.monotonic(), jitter)
        self._leadership = self._reports.leadership
        self._membership = self._reports.membership
        self._session: Session | None = None
        self._session_scope: anyio.CancelScope | None = None
        self._serving = False
        self._stopping = False
        self._known_leader = ""
        self._known_target: Target | None = None
        self._leaderless_since = time.monotonic()
        heartbeat_watch = HeartbeatWatch()
        self._registration = Registration(
            self._registry,
            me,
            self._membership,
            self._leadership,
            heartbeat_watch,
            log,
        )
        self._standby = Standby(sources.store, JOBS_TOPIC, log)
        self._leader_processes = LeaderProcesses(me, parameters.incarnation)
        self._claimer = EpochClaimer(
            parameters.ip,
            parameters.incarnation,
            sources.store,
            self._registry,
            self._registration,
            self._leadership,
            heartbeat_watch,
            self._leader_processes,
            log,
        )
        # Whether the store is asked for the leader, and whether an epoch is being claimed.
        self._attempting = False
        self._taking_over = False
        self._requests = itertools.count(1)
        self._forwarded = ForwardedCalls(self._answer_locally, peers, log, metrics)
        self._forwarding = Forwarding(
            parameters.node,
            parameters.address,
            self._send,
            self._answer_locally,
            ForwardWindow(
                parameters.scheduler.link_bytes_per_s, lambda: len(self._membership)
            ),
        )

    @property
    def log(self) -> NodeLog:
        """The log of this process."""
        return self._log

    @property
    def metrics(self) -> NodeMetrics:
        """The metrics of this process."""
        return self._metrics

    @property
    def ready(self) -> bool:
        """Whether clients' connections should be directed to this process."""
        known = bool(self._leader()) or self._leaderless_s() < LEADERLESS_TIMEOUT_S
        return self._registration.done and known and not self._stopping

    @property
    def held_up_s(self) -> float:
        """For how long a request that is read now may have waited to be read."""
        return self._standstills.held_up_s()

    @property
    def idle(self) -> bool:
        """Whether no client waits for an answer."""
        return not self._forwarding.open_calls

    def _leaderless_s(self) -> float:
        return time.monotonic() - self._leaderless_since

    def _leader(self) -> str:
        """Return the leader that can answer requests now, or an empty string."""
        now = time.monotonic()
        if self._session is not None:
            return self._parameters.node if self._serving else ""
        if self._leadership.is_leader_silent(now):
            return ""
        return self._leadership.leader

    def _target(self) -> Target | None:
        """Return the leader, which may be taking over, or ``None`` if none is known."""
        if self._session is not None and not self._session.over and not self._serving:
            return Target(self._parameters.node, self._session.epoch, taking_over=True)
        leader = self._leader()
        if not leader:
            return None
        taking_over = self._session is None and self._leadership.leader_taking_over
        return Target(leader, self._leadership.epoch, taking_over)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._peer_loop, tasks)
            tasks.start_soon(self._registration.run)
            tasks.start_soon(self._standby.run)
            tasks.start_soon(self._tick_loop, tasks)

    async def serve(self, call: ClientCall, left_s: float) -> ClientAnswer:
        """Return the answer to a client's request within ``left_s`` seconds."""
        return await self._forwarding.serve(call, left_s, self._target)

    async def _answer_locally(self, call: ClientCall) -> ClientAnswer:
        session = self._session
        if session is None or not self._serving:
            raise Deposed
        request = f"{self._parameters.node}/{next(self._requests)}"
        return await self._responder.answer(session, request, call)

    def _send(self, node: str, message: Message) -> bool:
        self._connect_leader()
        return self._peers.send(node, message)

    def _peer_not_opened(self, node: str, reason: str) -> None:
        self._log.event("peer_not_opened", node=node, reason=reason)

    def _connect_leader(self) -> None:
        address = self._reports.leader_address
        if address:
            self._peers.connect(self._leadership.leader, address)

    async def _peer_loop(self, tasks: anyio.abc.TaskGroup) -> None:
        """Handle messages of other processes; some may have arrived before the start."""
        async for envelope in self._peers.receive():
            message, sender = envelope.message, envelope.sender
            if isinstance(message, NodeStatus):
                self._record_ended_leaders(message, envelope.incarnation)
                self._handle_status(message)
            elif isinstance(message, CallForwarded):
                self._forwarded.start(sender, message, tasks)
            elif isinstance(message, CallAnswered):
                self._forwarding.record_answer(message)
            elif isinstance(message, LeaderResigned):
                self._leadership.record_handover_request(message.epoch)
                self._log.event("asked_to_take_over", by=sender, epoch=message.epoch)

    def _record_ended_leaders(self, status: NodeStatus, incarnation: str) -> None:
        ended = self._leader_processes.record_report(status, incarnation)
        for epoch in ended:
            self._log.event("leader_process_ended", process=status.node, epoch=epoch)
            if self._session is not None:
                self._session.record_process_end(epoch)

    def _handle_status(self, status: NodeStatus) -> None:
        now = time.monotonic()
        self._send_reports(self._reports.record_report(status, self._own_state(), now))
        if self._session is not None:
            self._session.observe_epoch(self._leadership.epoch)
        self._leader_changed()

    def _send_reports(self, reports: list[Report]) -> None:
        for report in reports:
            for node in report.to:
                member = self._membership.find(node)
                if member is not None:
                    self._peers.connect(node, member.address)
            for node in self._peers.send_all(report.to, report.status):
                if self._peers.is_opening(node):
                    self._reports.record_unsent(node)

    def _leader_changed(self) -> None:
        leader, target = self._leader(), self._target()
        if target != self._known_target:
            self._known_target = target
            self._forwarding.leader_changed()
        if leader == self._known_leader:
            return
        self._known_leader = leader
        if leader:
            self._connect_leader()
            self._log.event("leader_known", leader=leader, epoch=self._leadership.epoch)
        else:
            self._leaderless_since = time.monotonic()
            self._log.event("leader_lost", epoch=self._leadership.epoch)

    async def _tick_loop(self, tasks: anyio.abc.TaskGroup) -> None:
        self._standstills.start()
        while True:
            now = time.monotonic()
            self._standstills.tick()
            self._leader_changed()
            self._send_reports(self._reports.due(self._own_state(), now))
            self._peers.close_unused({*self._membership.targets, self._known_leader})
            self._standby.update(
                self._leadership.is_likely_successor and not self._stopping,
                self._session is not None,
            )
            if self._registration.done and not self._stopping:
                if self._session is None:
                    self._consider_take_over(now, tasks)
                elif self._serving:
                    self._consider_handing_over(now, tasks)
            await anyio.sleep(TICK_INTERVAL_S)

    def _consider_handing_over(self, now: float, tasks: anyio.abc.TaskGroup) -> None:
        """Hand over to a process on a much larger box, if there is one, or to any that
        serves one more of the jobs held back."""
        target = self._leadership.handover_target(now, self._parameters.cores)
        if (
            (target or self._failed_leaders.release_due)
            and self._session is not None
            and not self._session.store_unavailable
        ):
            tasks.start_soon(self._hand_over, DRAIN_TIMEOUT_S)

    async def _hand_over(self, drain_s: float) -> None:
        """Stop leading, and ask the best process that can be asked to take over."""
        session, scope = self._session, self._session_scope
        if session is None or scope is None:
            return
        self._session_scope = None
        started = time.monotonic()
        with anyio.move_on_after(drain_s):
            await session.resign()
        scope.cancel()
        resigned_at = time.monotonic()
        successor = await ask_to_take_over(
            self._ask,
            lambda: self._leadership.rank_successors(time.monotonic()),
            lambda: self._leadership.unready_successors(time.monotonic()),
            session.epoch,
        )
        self._log.event(
            "handed_over",
            epoch=session.epoch,
            to=successor,
            took_s=round(resigned_at - started, 3),
            kept=session.resignation_kept,
            asked_s=round(time.monotonic() - resigned_at, 3),
        )

    def _ask(self, node: str, message: LeaderResigned) -> bool:
        member = self._membership.find(node)
        if member is not None:
            self._peers.connect(node, member.address)
        return self._peers.send(node, message)

    def _report_now(self) -> None:
        self._send_reports(self._reports.to_all(self._own_state(), time.monotonic()))

    def _own_state(self) -> OwnState:
        session = self._session
        leading = session is not None and self._serving
        return OwnState(
            leading=leading,
            store_ok=session is None or not session.store_unavailable,
            ready=self._registration.done and not self._stopping,
            taking_over=self._taking_over or (session is not None and not leading),
        )

    def _consider_take_over(self, now: float, tasks: anyio.abc.TaskGroup) -> None:
        """Start an attempt to take over if due; reports go on while the store is read."""
        if self._attempting:
            return
        if not self._leadership.is_take_over_due(now):
            return
        self._attempting = True
        tasks.start_soon(self._attempt_take_over, now, tasks)

    async def _attempt_take_over(self, now: float, tasks: anyio.abc.TaskGroup) -> None:
        try:
            if self._leadership.lacks_stable_majority(now):
                if not await self._claimer.is_leader_lost(now):
                    return
                # Another process may have started to take over meanwhile.
                now = time.monotonic()
                if not self._leadership.is_take_over_due(now):
                    return
            self._taking_over = True
            self._leadership.record_attempt(now)
            self._report_now()
            self._log.event("taking_over", **self._leadership.take_over_inputs(now))
            await self._take_over(tasks)
        finally:
            self._attempting = self._taking_over = False

    async def _take_over(self, tasks: anyio.abc.TaskGroup) -> None:
        claimed = await self._claimer.claim(lambda: self._stopping)
        if claimed is None:
            return
        claim = claimed.claim
        self._leadership.record_take_over(claim.epoch, time.monotonic())
        apart = jobs_apart(claimed.failures)
        self._session = Session(
            self._sources,
            claim,
            self._parameters.scheduler,
            self._log,
            self._metrics,
            self._leader_processes.ended_epochs,
            self._standby.take(),
            apart,
        )
        tasks.start_soon(self._lead, self._session, claimed.failures, apart)

    async def _lead(
        self, session: Session, failures: t.Sequence[LeaderFailure], apart: JobsApart
    ) -> None:
        """Lead until the session ends. An unexpected error ends it, but not the process.

        :param failures: the failures of earlier leaders.
        :param apart: the jobs that the session does not decide about.
        """
        serving = anyio.Event()
        with anyio.CancelScope() as scope:
            self._session_scope = scope
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._heartbeat_loop, session.epoch)
                    after = (session.epoch, apart, failures, serving)
                    tasks.start_soon(self._failed_leaders.run, *after)
                    await session.run(lambda: self._begin_serving(serving))
                    tasks.cancel_scope.cancel()
            except Exception as error:
                # The next leader reads it, which may be this process.
                self._serving = False
                await self._failed_leaders.record(session.epoch, apart, error)
        self._session = None
        self._session_scope = None
        self._serving = False
        self._leadership.record_deposed(
            time.monotonic() if session.superseded else None
        )
        self._leader_changed()

    def _begin_serving(self, serving: anyio.Event) -> None:
        self._serving = True
        serving.set()
        self._report_now()
        self._leader_changed()

    async def _heartbeat_loop(self, epoch: int) -> None:
        """Write heartbeats of this epoch's leader to the store."""
        for beat in itertools.count(1):
            me = self._parameters
            entry = LeaderEntry(epoch, me.node, beat, me.incarnation, me.address)
            await self._registry.beat(entry)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def stop(self, grace_s: float) -> None:
        """Hand over leadership and finish open requests within ``grace_s`` seconds."""
        self._stopping = True
        started = time.monotonic()
        # A process that ended while it takes over would leave a claim behind, after which
        # nothing proves to its successor what the leader before it has stated.
        with anyio.move_on_after(grace_s / 4):
            while self._attempting or (self._session is not None and not self._serving):
                await anyio.sleep(TICK_INTERVAL_S / 10)
        if self._session is not None:
            await self._hand_over(grace_s / 4)
        while time.monotonic() - started < grace_s and not self.idle:
            await anyio.sleep(TICK_INTERVAL_S / 2)

    def give_up(self) -> None:
        """Give all open requests their final answer; no later one is possible."""
        self._forwarding.close()

    def figures(self) -> dict[str, float]:
        """Return the current state of this process for its metrics, by gauge name."""
        session = self._session
        state = session.scheduler.state if session is not None else None
        load = session.load(time.monotonic()) if session is not None else {}
        room = session.scheduler.room.cores if session is not None else {}
        return {
            **load,
            **room,
            "leading": float(session is not None and self._serving),
            "epoch_known": float(self._leadership.epoch),
            "decider_heard_s_ago": self._leadership.leader_silence_s(time.monotonic()),
            "open_calls": float(self._forwarding.open_calls),
            "peers_known": float(len(self._membership) - 1),
            "relaying": float(self._membership.relaying),
            "standby": float(self._standby.following),
            "connections": float(self._peers.connections),
            "jobs": float(len(state.workflows)) if state else 0.0,
            "boxes": float(len(state.boxes)) if state else 0.0,
            "steps_waiting": float(len(state.waiting)) if state else 0.0,
            "log_lines_dropped": float(self._log.dropped),
        }
