"""Event loop of one process on the older path: turns input of the adapters into events
for the reducer, executes the effects, and keeps data that the reducer does not need
(bodies, trace contexts). A violated invariant ends the process: its leases expire, which
bounds the harm, and the process that replaces it restores its state from the log."""

import time
import typing as t

import anyio
import anyio.abc
from opentelemetry import context as otel_context
from opentelemetry import trace

from .boxlink import BoxLink
from .calls import Caller
from .calls import CallFailure
from .calls import Reply
from .errors import CallerGone
from .events import AnswerArrived
from .events import AnswerFailed
from .events import AppendFacts
from .events import BoxListRead
from .events import CallerLeft
from .events import CommandBox
from .events import Conclude
from .events import Dispatch
from .events import Effect
from .events import Event
from .events import FactsWithdrawn
from .events import Forward
from .events import LogEvent
from .events import LogRead
from .events import PeerMessage
from .events import Proof
from .events import RequestArrived
from .events import SendPeer
from .events import StopRequested
from .events import Tick
from .events import Withdraw
from .logfeed import LogFeed
from .loglink import LogClient
from .loglink import LogWriter
from .messages import Message
from .outcomes import Outcome
from .peerlink import PeerLink
from .reducer import CONFIG_STREAM
from .reducer import Reducer
from .reducer import hall_stream
from .settings import Settings
from .snapshot import snapshot_stream
from .telemetry import PROPAGATOR
from .telemetry import Telemetry

__all__ = ["CallBody", "Engine"]

MAX_TICK_INTERVAL_S = 0.1
MIN_TICK_INTERVAL_S = 0.005
HALL_READ_WAIT_S = 1.0
CONFIG_READ_WAIT_S = 5.0
BOX_LIST_INTERVAL_S = 2.0
CONNECTION_PRUNE_INTERVAL_S = 0.5
PEER_TOKEN_HEADER = b"x-granitetrestle-peer"
HOPS_HEADER = b"x-granitetrestle-hops"
KEY_GRANTED_HEADER = b"x-granitetrestle-key-granted"
OUTCOME_HEADER = b"x-granitetrestle-outcome"
REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_MS_HEADER = b"x-deadline-ms"


class CallBody(t.NamedTuple):
    """Parts of a request that the reducer does not need."""

    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _Waiter:
    """State of a request whose task waits for its outcome.

    :ivar next_call: the call that the task makes next.
    :ivar wakeup: set when ``next_call`` or ``outcome`` has changed.
    """

    __slots__ = ("body", "context", "next_call", "outcome", "reply", "wakeup")

    def __init__(self, body: CallBody | None) -> None:
        self.body = body
        self.context = otel_context.get_current()
        self.wakeup = anyio.Event()
        self.outcome: Outcome | None = None
        self.reply: Reply | None = None
        self.next_call: Dispatch | Forward | None = None

    def wake(self) -> None:
        """Let the waiting task check its state."""
        self.wakeup.set()


class Engine:
    """The reducer of one process, its adapters, and the tasks that connect them."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        reducer: Reducer,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._reducer = reducer
        self._telemetry = telemetry
        self._caller = Caller()
        self._log_client = LogClient(str(settings.platform), self._caller)
        self._boxes = BoxLink(str(settings.platform), self._caller)
        self._peers = PeerLink(
            settings.node, incarnation, settings.peer_token, str(settings.zmq)
        )
        for peer in settings.peers:
            self._peers.connect(peer.node, str(peer.zmq))
        self._http_addresses = {peer.node: str(peer.http) for peer in settings.peers}
        self._own_stream = hall_stream(settings.hall)
        self._streams = (CONFIG_STREAM, self._own_stream)
        self._writers = {
            name: self._make_writer(name)
            for stream in self._streams
            for name in (stream, snapshot_stream(stream))
        }
        self._waiters: dict[str, _Waiter] = {}
        self._append_contexts: dict[str, otel_context.Context] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def _make_writer(self, stream: str) -> LogWriter:
        return LogWriter(
            self._log_client,
            stream,
            self._incarnation,
            self._record_append_spans,
            time.time_ns,
        )

    @property
    def reducer(self) -> Reducer:
        """The state machine that takes the decisions."""
        return self._reducer

    @property
    def settings(self) -> Settings:
        """The settings of this process."""
        return self._settings

    @property
    def telemetry(self) -> Telemetry:
        """Logger, metrics and tracer."""
        return self._telemetry

    @property
    def caller(self) -> Caller:
        """HTTP client for endpoints, peers, boxes and the log."""
        return self._caller

    def http_address(self, node: str) -> str | None:
        """Return the HTTP address of a process of the system, if known."""
        return self._http_addresses.get(node)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the background tasks in ``tasks``."""
        self._tasks = tasks
        tasks.start_soon(self._tick_loop)
        tasks.start_soon(self._peer_loop)
        tasks.start_soon(self._box_list_loop)
        tasks.start_soon(self._prune_loop)
        for stream in self._streams:
            tasks.start_soon(self._make_feed(stream).run)
        for writer in self._writers.values():
            tasks.start_soon(writer.run)

    def _make_feed(self, stream: str) -> LogFeed:
        # The data hall's stream has the heartbeats; a long wait would hide their absence.
        wait_s = HALL_READ_WAIT_S if stream == self._own_stream else CONFIG_READ_WAIT_S
        return LogFeed(
            self._log_client, stream, wait_s, self._reducer, self, self._telemetry.log
        )

    def handle_log_read(self, event: LogRead) -> None:
        """Apply a read of the log, and show it to the stream's writer."""
        self.dispatch(event)
        self._writers[event.stream].observe(event.records, event.tail)
        if event.records:
            # A new record may be a job, which would else wait for the next tick.
            self._tick()

    def close(self) -> None:
        """Close sockets."""
        self._peers.close()

    def dispatch(self, event: Event) -> None:
        """Apply an event and execute its effects."""
        for effect in self._reducer.step(event):
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case AppendFacts():
                self._save_trace_context(effect.request)
                self._writers[effect.stream].put(effect)
            case SendPeer():
                self._send_peer(effect.node, effect.message)
            case CommandBox():
                self._start_task(self._exchange_with_box, effect)
            case Dispatch() | Forward():
                self._assign_call(effect)
            case Conclude():
                self._conclude(effect)
            case Withdraw():
                unsent = self._writers[effect.stream].withdraw(effect.request)
                if unsent:
                    self._append_contexts.pop(effect.request, None)
                now = time.monotonic()
                self.dispatch(FactsWithdrawn(now, effect.request, unsent))
            case LogEvent():
                self._log_note(effect)

    def _start_task(
        self, function: t.Callable[..., t.Coroutine[t.Any, t.Any, None]], *args: t.Any
    ) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(function, *args)

    def _assign_call(self, effect: Dispatch | Forward) -> None:
        """Let the request's waiting task make the call; no further task is needed."""
        waiter = self._waiters.get(effect.request)
        if waiter is not None:
            waiter.next_call = effect
            waiter.wake()

    def _send_peer(self, node: str, message: Message) -> None:
        if node == self._settings.node:
            self._start_task(self._deliver_to_self, message)
        else:
            self._peers.send(node, message)

    async def _deliver_to_self(self, message: Message) -> None:
        self._on_message(self._settings.node, self._incarnation, message)

    def _on_message(self, sender: str, incarnation: str, message: Message) -> None:
        now, wall = time.monotonic(), time.time()
        self.dispatch(PeerMessage(now, wall, sender, incarnation, message))

    def _log_note(self, note: LogEvent) -> None:
        self._telemetry.log.info(
            note.event, subject=note.subject, detail=note.detail, epoch=note.epoch
        )
        self._telemetry.metrics.count(f"decision.{note.event}")

    def _conclude(self, effect: Conclude) -> None:
        waiter = self._waiters.get(effect.request)
        if waiter is not None:
            waiter.outcome = effect.outcome
            waiter.wake()

    async def submit_change(self, request: str, event: Event) -> Outcome:
        """Dispatch a requested change and wait for its outcome."""
        outcome, _ = await self._wait_for_outcome(request, event, None, None)
        return outcome

    async def call(
        self,
        event: RequestArrived,
        body: CallBody,
        wait_for_disconnect: t.Callable[[], t.Awaitable[None]],
    ) -> tuple[Outcome, Reply | None]:
        """Serve a caller's request.

        :param wait_for_disconnect: returns when the caller has closed the connection;
            used only while the request waits for a slot, since a call that was sent runs
            to its end.
        :returns: the outcome, and the reply if it is ``Answered``.
        :raises CallerGone: if the caller left before its request was sent.
        """
        return await self._wait_for_outcome(
            event.request, event, body, wait_for_disconnect
        )

    async def _wait_for_outcome(
        self,
        request: str,
        event: Event,
        body: CallBody | None,
        wait_for_disconnect: t.Callable[[], t.Awaitable[None]] | None,
    ) -> tuple[Outcome, Reply | None]:
        waiter = self._waiters[request] = _Waiter(body)
        try:
            self.dispatch(event)
            while waiter.outcome is None:
                await self._next_step(waiter, wait_for_disconnect)
        finally:
            del self._waiters[request]
            if waiter.outcome is None:
                self.dispatch(CallerLeft(time.monotonic(), request))
        return waiter.outcome, waiter.reply

    async def _next_step(
        self,
        waiter: _Waiter,
        wait_for_disconnect: t.Callable[[], t.Awaitable[None]] | None,
    ) -> None:
        effect, waiter.next_call = waiter.next_call, None
        if isinstance(effect, Dispatch):
            await self._call_endpoint(waiter, effect)
        elif isinstance(effect, Forward):
            await self._call_peer(waiter, effect)
        elif not waiter.wakeup.is_set():
            await _wait_for_wakeup(waiter, wait_for_disconnect)
        else:
            waiter.wakeup = anyio.Event()

    async def _call_endpoint(self, waiter: _Waiter, effect: Dispatch) -> None:
        assert waiter.body is not None
        service = waiter.body.path.split("/")[3]
        headers = list(waiter.body.headers)
        await self._send_call(
            waiter,
            effect.request,
            effect.serial,
            effect.address,
            f"/v1/serve/{service}",
            headers,
            effect.deadline,
            effect.fresh,
            ("runner call", effect.endpoint),
        )

    async def _call_peer(self, waiter: _Waiter, effect: Forward) -> None:
        assert waiter.body is not None
        address = self._http_addresses.get(effect.node)
        if address is None:
            proof = Proof(False, f"no HTTP address of peer {effect.node}")
            self._fail_call(effect.request, effect.serial, proof)
            return
        remaining_ms = max(1, int((effect.peer_deadline - time.monotonic()) * 1000))
        headers = [
            (PEER_TOKEN_HEADER, self._settings.peer_token.encode()),
            (HOPS_HEADER, str(effect.hops).encode()),
            (DEADLINE_MS_HEADER, str(remaining_ms).encode()),
            *waiter.body.headers,
        ]
        if effect.key_granted:
            headers.append((KEY_GRANTED_HEADER, b"yes"))
        await self._send_call(
            waiter,
            effect.request,
            effect.serial,
            address,
            waiter.body.path,
            headers,
            effect.deadline,
            True,
            ("peer call", effect.node),
        )

    async def _send_call(
        self,
        waiter: _Waiter,
        request: str,
        serial: int,
        address: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        deadline: float,
        fresh: bool,
        span_target: tuple[str, str],
    ) -> None:
        assert waiter.body is not None
        with self._telemetry.tracer.start_as_current_span(
            span_target[0], context=waiter.context, kind=trace.SpanKind.CLIENT
        ) as span:
            if span.is_recording():
                span.set_attribute("peer", span_target[1])
                span.set_attribute("request", request)
            carrier: dict[str, str] = {}
            PROPAGATOR.inject(carrier)
            headers += [(k.encode(), v.encode()) for k, v in carrier.items()]
            # Each attempt has its own id: a late one must not be taken for a new one.
            headers.append((REQUEST_ID_HEADER, _attempt_id(request, serial)))
            timeout_s = deadline - time.monotonic()
            outcome = await self._caller.call(
                address, path, headers, waiter.body.body, timeout_s, fresh
            )
        self._handle_reply(request, serial, waiter, outcome)

    def _handle_reply(
        self, request: str, serial: int, waiter: _Waiter, outcome: Reply | CallFailure
    ) -> None:
        if isinstance(outcome, CallFailure):
            self._fail_call(request, serial, outcome.proof)
            return
        if outcome.header(REQUEST_ID_HEADER) != _attempt_id(request, serial):
            self._fail_call(request, serial, Proof(True, "answer to another request"))
            return
        reported_outcome = outcome.header(OUTCOME_HEADER)
        if reported_outcome in (b"not_run", b"unknown"):
            text = outcome.body.decode(errors="replace")[:300]
            self._fail_call(
                request, serial, Proof(reported_outcome == b"unknown", text)
            )
            return
        waiter.reply = outcome
        self.dispatch(AnswerArrived(time.monotonic(), request, serial))

    def _fail_call(self, request: str, serial: int, proof: Proof) -> None:
        self._telemetry.metrics.count("call.failed")
        self.dispatch(AnswerFailed(time.monotonic(), request, serial, proof))

    async def _exchange_with_box(self, effect: CommandBox) -> None:
        self.dispatch(await self._boxes.exchange(effect))

    def _save_trace_context(self, request: str) -> None:
        # The read-back may conclude a request before its append is answered.
        waiter = self._waiters.get(request)
        if waiter is not None:
            self._append_contexts[request] = waiter.context

    def _record_append_spans(self, names: t.Sequence[str], started_ns: int) -> None:
        for name in names:
            context = self._append_contexts.pop(name, None)
            if context is None:
                continue
            span = self._telemetry.tracer.start_span(
                "log append",
                context=context,
                start_time=started_ns,
                kind=trace.SpanKind.PRODUCER,
            )
            span.end()

    async def _tick_loop(self) -> None:
        while True:
            self._tick()
            until_deadline_s = self._reducer.requests.next_deadline - time.monotonic()
            await anyio.sleep(
                min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, until_deadline_s))
            )

    def _tick(self) -> None:
        self.dispatch(Tick(time.monotonic(), time.time()))

    async def _peer_loop(self) -> None:
        async for envelope in self._peers.receive():
            self._on_message(envelope.sender, envelope.incarnation, envelope.message)

    async def _box_list_loop(self) -> None:
        while True:
            boxes = await self._boxes.list_boxes(self._settings.hall)
            if boxes is not None:
                self.dispatch(BoxListRead(time.monotonic(), boxes))
            await anyio.sleep(BOX_LIST_INTERVAL_S)

    async def _prune_loop(self) -> None:
        while True:
            await anyio.sleep(CONNECTION_PRUNE_INTERVAL_S)
            await self._caller.prune()

    async def stop(self) -> None:
        """Hand over the shards and finish requests, for up to ``stop_grace_s``."""
        self.dispatch(StopRequested(time.monotonic()))
        with anyio.move_on_after(self._settings.stop_grace_s):
            while not self._reducer.stopped:
                await anyio.sleep(MAX_TICK_INTERVAL_S)
        self._telemetry.log.info("stopped", clean=self._reducer.stopped)


async def _wait_for_wakeup(
    waiter: _Waiter, wait_for_disconnect: t.Callable[[], t.Awaitable[None]] | None
) -> None:
    if wait_for_disconnect is None:
        await waiter.wakeup.wait()
        return
    disconnected = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal disconnected
            await wait_for_disconnect()
            disconnected = True
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await waiter.wakeup.wait()
        tasks.cancel_scope.cancel()
    if disconnected and not waiter.wakeup.is_set():
        raise CallerGone("the caller closed the connection")


def _attempt_id(request: str, serial: int) -> bytes:
    return f"{request}:{serial}".encode()
