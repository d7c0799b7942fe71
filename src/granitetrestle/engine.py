"""Runs the reducer among the adapters: turns what happens into events, carries
out the effects, and keeps what the reducer need not see (bodies, trace
contexts). A broken invariant ends the process: leases bound the harm, and a
process that replaces it starts from the log."""

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

TICK_S = 0.1
MIN_TICK_S = 0.005
HALL_WAIT_S = 1.0
CONFIG_WAIT_S = 5.0
LIST_EVERY_S = 2.0
PRUNE_EVERY_S = 0.5
PEER_TOKEN = b"x-granitetrestle-peer"
HOPS = b"x-granitetrestle-hops"
KEY_GRANTED = b"x-granitetrestle-key-granted"
OUTCOME = b"x-granitetrestle-outcome"
REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"


class CallBody(t.NamedTuple):
    """What the reducer need not see of a request."""

    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _Waiter:
    """Somebody waiting for the outcome of a request."""

    __slots__ = ("body", "context", "news", "outcome", "reply", "todo")

    def __init__(self, body: CallBody | None) -> None:
        self.body = body
        self.context = otel_context.get_current()
        self.news = anyio.Event()
        self.outcome: Outcome | None = None
        self.reply: Reply | None = None
        self.todo: Dispatch | Forward | None = None

    def wake(self) -> None:
        """Let the waiting task look again."""
        self.news.set()


class Engine:
    """One process: the reducer, its adapters, and the tasks between them."""

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
        self._http = {peer.node: str(peer.http) for peer in settings.peers}
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
            self._log_client, stream, self._incarnation, self._appended, time.time_ns
        )

    @property
    def reducer(self) -> Reducer:
        """The decisions."""
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
        """HTTP calls to peers."""
        return self._caller

    def http_address(self, node: str) -> str | None:
        """Return where a process of the system listens for HTTP."""
        return self._http.get(node)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start everything that runs beside the HTTP server."""
        self._tasks = tasks
        tasks.start_soon(self._tick_loop)
        tasks.start_soon(self._peer_loop)
        tasks.start_soon(self._list_loop)
        tasks.start_soon(self._prune_loop)
        for stream in self._streams:
            tasks.start_soon(self._feed(stream).run)
        for writer in self._writers.values():
            tasks.start_soon(writer.run)

    def _feed(self, stream: str) -> LogFeed:
        # The hall's stream shows who is alive, so silence there must be seen.
        wait_s = HALL_WAIT_S if stream == self._own_stream else CONFIG_WAIT_S
        return LogFeed(
            self._log_client, stream, wait_s, self._reducer, self, self._telemetry.log
        )

    def log_read(self, event: LogRead) -> None:
        """Apply a read of the log, and let the writer see what stands there."""
        self.dispatch(event)
        self._writers[event.stream].noticed(event.records, event.tail)
        if event.records:
            # News may be a job to start; it need not wait for the next tick.
            self._tick()

    def close(self) -> None:
        """Close sockets."""
        self._peers.close()

    def dispatch(self, event: Event) -> None:
        """Apply an event and carry out its effects."""
        for effect in self._reducer.step(event):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case AppendFacts():
                self._keep_context(effect.request)
                self._writers[effect.stream].put(effect)
            case SendPeer():
                self._send_peer(effect.node, effect.message)
            case CommandBox():
                self._start(self._exchange, effect)
            case Dispatch() | Forward():
                self._hand_over(effect)
            case Conclude():
                self._conclude(effect)
            case Withdraw():
                unsent = self._writers[effect.stream].withdraw(effect.request)
                if unsent:
                    self._append_contexts.pop(effect.request, None)
                now = time.monotonic()
                self.dispatch(FactsWithdrawn(now, effect.request, unsent))
            case LogEvent():
                self._note(effect)

    def _start(
        self, function: t.Callable[..., t.Coroutine[t.Any, t.Any, None]], *args: t.Any
    ) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(function, *args)

    def _hand_over(self, effect: Dispatch | Forward) -> None:
        """Let the request's own task make the call; it needs no second one."""
        waiter = self._waiters.get(effect.request)
        if waiter is not None:
            waiter.todo = effect
            waiter.wake()

    def _send_peer(self, node: str, message: Message) -> None:
        if node == self._settings.node:
            self._start(self._loop_back, message)
        else:
            self._peers.send(node, message)

    async def _loop_back(self, message: Message) -> None:
        self._peer_event(self._settings.node, self._incarnation, message)

    def _peer_event(self, sender: str, incarnation: str, message: Message) -> None:
        now, wall = time.monotonic(), time.time()
        self.dispatch(PeerMessage(now, wall, sender, incarnation, message))

    def _note(self, note: LogEvent) -> None:
        self._telemetry.log.info(
            note.event, subject=note.subject, detail=note.detail, epoch=note.epoch
        )
        self._telemetry.metrics.count(f"decision.{note.event}")

    def _conclude(self, effect: Conclude) -> None:
        waiter = self._waiters.get(effect.request)
        if waiter is not None:
            waiter.outcome = effect.outcome
            waiter.wake()

    async def ask(self, request: str, event: Event) -> Outcome:
        """Apply a change and wait for its outcome."""
        outcome, _ = await self._wait(request, event, None, None)
        return outcome

    async def call(
        self,
        event: RequestArrived,
        body: CallBody,
        hung_up: t.Callable[[], t.Awaitable[None]],
    ) -> tuple[Outcome, Reply | None]:
        """Serve a caller's request; a reply comes with ``Answered`` alone.

        :param hung_up: returns when the caller has hung up; looked at while the
            request waits for a slot, since a call once sent runs to its end.
        :raises CallerGone: if the caller hung up before its request was sent.
        """
        return await self._wait(event.request, event, body, hung_up)

    async def _wait(
        self,
        request: str,
        event: Event,
        body: CallBody | None,
        hung_up: t.Callable[[], t.Awaitable[None]] | None,
    ) -> tuple[Outcome, Reply | None]:
        waiter = self._waiters[request] = _Waiter(body)
        try:
            self.dispatch(event)
            while waiter.outcome is None:
                await self._next(waiter, hung_up)
        finally:
            del self._waiters[request]
            if waiter.outcome is None:
                self.dispatch(CallerLeft(time.monotonic(), request))
        return waiter.outcome, waiter.reply

    async def _next(
        self,
        waiter: _Waiter,
        hung_up: t.Callable[[], t.Awaitable[None]] | None,
    ) -> None:
        effect, waiter.todo = waiter.todo, None
        if isinstance(effect, Dispatch):
            await self._call_endpoint(waiter, effect)
        elif isinstance(effect, Forward):
            await self._call_peer(waiter, effect)
        elif not waiter.news.is_set():
            await _news_or_hang_up(waiter, hung_up)
        else:
            waiter.news = anyio.Event()

    async def _call_endpoint(self, waiter: _Waiter, effect: Dispatch) -> None:
        assert waiter.body is not None
        service = waiter.body.path.split("/")[3]
        headers = list(waiter.body.headers)
        await self._call(
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
        address = self._http.get(effect.node)
        if address is None:
            proof = Proof(False, f"no address of {effect.node}")
            self._failed(effect.request, effect.serial, proof)
            return
        left_ms = max(1, int((effect.peer_deadline - time.monotonic()) * 1000))
        headers = [
            (PEER_TOKEN, self._settings.peer_token.encode()),
            (HOPS, str(effect.hops).encode()),
            (DEADLINE_MS, str(left_ms).encode()),
            *waiter.body.headers,
        ]
        if effect.key_granted:
            headers.append((KEY_GRANTED, b"yes"))
        await self._call(
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

    async def _call(
        self,
        waiter: _Waiter,
        request: str,
        serial: int,
        address: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        deadline: float,
        fresh: bool,
        hop: tuple[str, str],
    ) -> None:
        assert waiter.body is not None
        with self._telemetry.tracer.start_as_current_span(
            hop[0], context=waiter.context, kind=trace.SpanKind.CLIENT
        ) as span:
            if span.is_recording():
                span.set_attribute("peer", hop[1])
                span.set_attribute("request", request)
            carrier: dict[str, str] = {}
            PROPAGATOR.inject(carrier)
            headers += [(k.encode(), v.encode()) for k, v in carrier.items()]
            # Each try has an id of its own: a late one must not meet a new one.
            headers.append((REQUEST_ID, _try_id(request, serial)))
            timeout_s = deadline - time.monotonic()
            outcome = await self._caller.call(
                address, path, headers, waiter.body.body, timeout_s, fresh
            )
        self._called(request, serial, waiter, outcome)

    def _called(
        self, request: str, serial: int, waiter: _Waiter, outcome: Reply | CallFailure
    ) -> None:
        if isinstance(outcome, CallFailure):
            self._failed(request, serial, outcome.proof)
            return
        if outcome.header(REQUEST_ID) != _try_id(request, serial):
            self._failed(request, serial, Proof(True, "answer to another request"))
            return
        verdict = outcome.header(OUTCOME)
        if verdict in (b"not_run", b"unknown"):
            text = outcome.body.decode(errors="replace")[:300]
            self._failed(request, serial, Proof(verdict == b"unknown", text))
            return
        waiter.reply = outcome
        self.dispatch(AnswerArrived(time.monotonic(), request, serial))

    def _failed(self, request: str, serial: int, proof: Proof) -> None:
        self._telemetry.metrics.count("call.failed")
        self.dispatch(AnswerFailed(time.monotonic(), request, serial, proof))

    async def _exchange(self, effect: CommandBox) -> None:
        self.dispatch(await self._boxes.exchange(effect))

    def _keep_context(self, request: str) -> None:
        # The read-back may conclude a request before its append is answered.
        waiter = self._waiters.get(request)
        if waiter is not None:
            self._append_contexts[request] = waiter.context

    def _appended(self, names: t.Sequence[str], started_ns: int) -> None:
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
            due = self._reducer.requests.next_deadline - time.monotonic()
            await anyio.sleep(min(TICK_S, max(MIN_TICK_S, due)))

    def _tick(self) -> None:
        self.dispatch(Tick(time.monotonic(), time.time()))

    async def _peer_loop(self) -> None:
        async for envelope in self._peers.receive():
            self._peer_event(envelope.sender, envelope.incarnation, envelope.message)

    async def _list_loop(self) -> None:
        while True:
            boxes = await self._boxes.listed(self._settings.hall)
            if boxes is not None:
                self.dispatch(BoxListRead(time.monotonic(), boxes))
            await anyio.sleep(LIST_EVERY_S)

    async def _prune_loop(self) -> None:
        while True:
            await anyio.sleep(PRUNE_EVERY_S)
            await self._caller.prune()

    async def stop(self) -> None:
        """Hand over and finish, for as long as the settings allow."""
        self.dispatch(StopRequested(time.monotonic()))
        with anyio.move_on_after(self._settings.stop_grace_s):
            while not self._reducer.stopped:
                await anyio.sleep(TICK_S)
        self._telemetry.log.info("stopped", clean=self._reducer.stopped)


async def _news_or_hang_up(
    waiter: _Waiter, hung_up: t.Callable[[], t.Awaitable[None]] | None
) -> None:
    if hung_up is None:
        await waiter.news.wait()
        return
    gone = False
    async with anyio.create_task_group() as tasks:

        async def watch() -> None:
            nonlocal gone
            await hung_up()
            gone = True
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch)
        await waiter.news.wait()
        tasks.cancel_scope.cancel()
    if gone and not waiter.news.is_set():
        raise CallerGone("the caller hung up")


def _try_id(request: str, serial: int) -> bytes:
    return f"{request}:{serial}".encode()
