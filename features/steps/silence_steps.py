"""Steps of the scenarios about connections that hang, and about the take-over after all
processes were killed at once."""

import random
import socket
import statistics
import time
import unittest.mock

import anyio
import anyio.abc
from behave import given
from behave import then
from behave import when

from granitetrestle import steadyclock
from granitetrestle.calls import Caller
from granitetrestle.calls import CallFailure
from granitetrestle.calls import Reply
from granitetrestle.decidingtasks import DecidingTasks
from granitetrestle.forwarding import ClientCall
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.journal import Journal
from granitetrestle.leaderlease import JournalLeaderLease
from granitetrestle.leadership import Leadership
from granitetrestle.looplag import LoopLag
from granitetrestle.messages import LeaderResigned
from granitetrestle.messages import NodeStatus
from granitetrestle.peerlink import PeerLink
from granitetrestle.platform.server import FrontResponder
from granitetrestle.platform.store import PlatformStore
from granitetrestle.retryafter import SteadyRetries
from granitetrestle.session import Session
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.witnesses import Witnesses

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"end":1}'


class SilentServer:
    """Answers every request, except on connections in ``silent``."""

    def __init__(self):
        self.accepted = 0
        self.silent = set()
        self.open = set()

    async def serve(self, stream):
        self.accepted += 1
        number = self.accepted
        self.open.add(number)
        async with stream:
            try:
                while data := await stream.receive():
                    head, _, body = data.partition(b"\r\n\r\n")
                    length = int(head.lower().split(b"content-length: ")[1].split()[0])
                    while len(body) < length:
                        body += await stream.receive()
                    if number not in self.silent:
                        await stream.send(ANSWER)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def run(self, count, script):
        """Open ``count`` connections through a caller and run ``script(caller)``."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self.serve)
            caller = Caller()
            async with anyio.create_task_group() as calls:
                for _ in range(count):
                    calls.start_soon(caller.call, self.address, "/")
            assert self.accepted == count, self.accepted
            self.silent = set(self.open)
            await script(caller)
            tasks.cancel_scope.cancel()


@given("an endpoint to which {count:d} connections are open")
@given("a store to which {count:d} connections are open")
def silent_server(context, count):
    context.server, context.count = SilentServer(), count


@when("they all hang")
def fall_silent(context):
    """The server stops answering once the connections are open; see ``run``."""


@then("the second call after that is answered over a new connection")
def second_call(context):
    async def script(caller):
        first = await caller.call(context.server.address, "/", timeout_s=0.2)
        second = await caller.call(context.server.address, "/", timeout_s=0.2)
        assert isinstance(first, CallFailure), first
        assert isinstance(second, Reply), second

    anyio.run(context.server.run, context.count, script)


@then("a decision is written within {seconds:g} seconds")
def written_within(context, seconds):
    released = []

    async def script(caller):
        store = PlatformStore(context.server.address, caller)
        records = [Record("p/1", b"x")]
        journal = Journal(
            store,
            "t",
            1,
            lambda: [records.pop()] if records else [],
            lambda held: released.extend([time.monotonic()] * len(held)),
            time.monotonic,
            lambda reason, waiting_s: None,
        )
        started_at = time.monotonic()
        journal.hold("effect")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(journal.run)
            with anyio.move_on_after(3.0):
                while not released:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        assert released and released[0] - started_at < seconds, released

    anyio.run(context.server.run, context.count, script)


@then("a refused client is told to retry after {seconds:d} seconds")
def retries_after(context, seconds):
    async def script():
        call = ClientCall("GET", "host", f"/q/{'a' * 16}", b"")
        return await FrontResponder().answer(context.session, "r", call)

    answer = anyio.run(script)
    assert (answer.status, answer.retry_after_s) == (503, seconds), answer


class TcpProxy:
    """Forwards bytes in both directions, except on connections marked as silent."""

    def __init__(self, port):
        self.port = port
        self.silent = False
        self.connections = []

    async def serve(self, stream):
        connection = {"silent": False}
        self.connections.append(connection)
        async with (
            stream,
            await anyio.connect_tcp("127.0.0.1", self.port) as far,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self.copy, stream, far, connection)
            tasks.start_soon(self.copy, far, stream, connection)

    async def copy(self, source, target, connection):
        try:
            while True:
                data = await source.receive()
                if not connection["silent"]:
                    await target.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            await target.aclose()

    def fall_silent(self):
        for connection in self.connections:
            connection["silent"] = True


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@given("two processes whose messages pass through a proxy")
def two_processes(context):
    context.port = free_port()


@when("the proxy stops forwarding on the connections it has")
def proxy_silent(context):
    async def script():
        proxy = TcpProxy(context.port)
        far = PeerLink("n2", "n2-1", "secret", f"127.0.0.1:{context.port}")
        near = PeerLink("n1", "n1-1", "secret", f"127.0.0.1:{free_port()}")
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        arrived = []

        async def receive():
            async for envelope in far.receive():
                arrived.append((time.monotonic(), envelope.message.epoch))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, proxy.serve)
            tasks.start_soon(receive)
            near.connect("n2", f"127.0.0.1:{port}")
            for number in range(1, 20):
                near.send("n2", LeaderResigned(number))
                await anyio.sleep(0.05)
            assert arrived, "no message arrived before the proxy stopped forwarding"
            proxy.fall_silent()
            silent_at = time.monotonic()
            for number in range(1001, 1100):
                near.send("n2", LeaderResigned(number))
                await anyio.sleep(0.05)
                if arrived[-1][1] > 1000:
                    break
            tasks.cancel_scope.cancel()
        assert arrived[-1][1] > 1000, (
            "no message arrived after the proxy stopped forwarding"
        )
        context.took_s = arrived[-1][0] - silent_at
        far.close()
        near.close()

    anyio.run(script)


@then("messages arrive again within {seconds:g} seconds")
def arrive_again(context, seconds):
    assert context.took_s < seconds, context.took_s


CONFIG = Config(1, (Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1.0),), {}, 10_000)


@given("a leader whose store has been unavailable for {seconds:g} seconds")
def store_away(context, seconds):
    class Away(Session):
        """A session with only the attributes that ``confirm`` reads."""

        def __init__(self):
            self._tasks = DecidingTasks()
            self._operator_feed = self
            self._journal = self
            self._leader_lease = JournalLeaderLease(
                self, SchedulerParameters().orphan_s, LoopLag(), Witnesses()
            )
            self._retry_after = SteadyRetries()

        has_appended = True
        config = CONFIG
        fresh = True

        class status:
            confirmed_at = steadyclock.now() - seconds
            waiting_since = steadyclock.now() - seconds

        @property
        def confirmed_age_s(self):
            return steadyclock.now() - self.status.confirmed_at

        def request_append(self):
            pass

    context.session = Away()


@then("a query for the state of a job is refused within {seconds:g} seconds")
def refused_within(context, seconds):
    async def script():
        call = ClientCall("GET", "host", f"/q/{'a' * 16}", b"")
        with anyio.move_on_after(seconds):
            return await FrontResponder().answer(context.session, "r", call)
        return None

    answer = anyio.run(script)
    assert answer is not None, "the query was held"
    assert answer.status == 503 and answer.retry_after_s, answer


TICK_S = 0.1
REPORT_INTERVAL_S = 0.4
HEARTBEAT_TIMEOUT_S = 1.4


class ModelProcess:
    """Model of a process during a take-over, in virtual time: does what ``Node`` does
    with its ``Leadership``, the store and its peers."""

    def __init__(self, world, name, start):
        self.world, self.name = world, name
        jitter = world.random.random()
        self.leadership = Leadership(name, start, jitter)
        self.known_at = start + world.store_s
        self.busy_until = 0.0
        self.attempting = False
        self.pending_step = None
        self.heartbeat_seen_at = None
        self.reported_at = start

    def tick(self, now):
        leadership = self.leadership
        if self.known_at is not None:
            if now < self.known_at:
                return
            self.known_at = None
            for other in self.world.processes:
                leadership.add_known_node(other.name)
            leadership.record_leader(self.world.old_epoch, "n00", now)
            self.heartbeat_seen_at = now
        if now - self.reported_at >= REPORT_INTERVAL_S:
            self.report(now)
        leadership.update_majority(now)
        if self.pending_step is not None:
            when, step = self.pending_step
            if now >= when:
                self.pending_step = None
                step(now)
            return
        if leadership.leader == self.name or not leadership.is_take_over_due(now):
            return
        if leadership.lacks_stable_majority(now):
            self.pending_step = (now + self.world.store_s, self.check_heartbeat)
        else:
            self.start_attempt(now)

    def check_heartbeat(self, now):
        unchanged_s = now - self.heartbeat_seen_at
        if unchanged_s < HEARTBEAT_TIMEOUT_S + self.leadership.stagger_s(now):
            return
        if self.leadership.is_take_over_due(now):
            self.start_attempt(now)

    def start_attempt(self, now):
        self.attempting = True
        self.leadership.record_attempt(now)
        self.report(now)
        self.pending_step = (now + self.world.store_s, self.read_registry)

    def read_registry(self, now):
        if self.world.epoch > self.leadership.epoch:
            self.attempting = False
            return
        self.pending_step = (now + self.world.store_s, self.claim_epoch)

    def claim_epoch(self, now):
        self.attempting = False
        self.world.epoch += 1
        self.world.claimed_at.append(now)
        self.leadership.record_take_over(self.world.epoch, now)
        self.report(now)

    def report(self, now):
        self.reported_at = now
        leadership = self.leadership
        status = NodeStatus(
            self.name,
            f"{self.name}:1",
            "hall",
            leadership.epoch,
            leadership.leader,
            True,
            True,
            1.0,
            taking_over=self.attempting,
        )
        for other in self.world.processes:
            if other is not self and other.known_at is None:
                other.leadership.record_report(status, now + 0.002)


class TakeOverWorld:
    """Processes that start within 0.3 s of each other and have no leader."""

    def __init__(self, seed, count, store_s, returns):
        self.random = random.Random(seed)
        self.store_s = store_s
        self.old_epoch = self.epoch = 7 << 24
        self.claimed_at = []
        self.processes = []
        first = 0 if returns else 1
        for number in range(first, count):
            start = 10.0 + self.random.random() * 0.3
            self.processes.append(ModelProcess(self, f"n{number:02}", start))

    def run(self, seconds):
        ticks = [(p, 10.0 + self.random.random() * TICK_S) for p in self.processes]
        events = sorted(
            (phase + step * TICK_S, index)
            for index, (_, phase) in enumerate(ticks)
            for step in range(int(seconds / TICK_S))
        )
        for now, index in events:
            self.processes[index].tick(now)


@given(
    "{count:d} processes that all start again, and a store that answers in {ms:d} ms"
)
def all_start(context, count, ms):
    context.count, context.store_s = count, ms / 1000.0


@when("the former leader {does}")
def former_leader(context, does):
    runs = 8 if context.count < 20 else 3
    context.worlds = [
        TakeOverWorld(seed, context.count, context.store_s, does == "returns")
        for seed in range(runs)
    ]
    for world in context.worlds:
        world.run(8.0)


@then("one process takes over, within a median of {seconds:g} seconds")
def one_takes_over(context, seconds):
    counts = [len(world.claimed_at) for world in context.worlds]
    assert counts == [1] * len(counts), counts
    median_s = statistics.median(world.claimed_at[0] - 10.3 for world in context.worlds)
    assert median_s <= seconds, median_s


@given("a leader that knows its peers from the store alone")
def peers_from_store(context):
    leadership = context.leadership = Leadership("n2", 0.0, 0.0)
    leadership.add_known_node("n1")
    leadership.add_known_node("n3")
    leadership.record_take_over(5, 10.0)


@then("it names the first of them as its successor")
def names_first(context):
    assert context.leadership.rank_successors(10.2) == ()
    assert context.leadership.unready_successors(10.2)[0] == "n1"


@given("a leader that was confirmed a moment ago")
def confirmed_now(context):
    class Confirmed(Session):
        """A session with only the attributes that ``confirm`` reads; each requested
        append succeeds at once."""

        def __init__(self):
            self._tasks = DecidingTasks()
            self._journal = self
            self._parameters = SchedulerParameters()
            self._leader_lease = JournalLeaderLease(
                self, self._parameters.orphan_s, LoopLag(), Witnesses()
            )
            self.append_requests = 0

        has_appended = True

        class status:
            confirmed_at = steadyclock.now()
            waiting_since = None

        @property
        def confirmed_age_s(self):
            return steadyclock.now() - self.status.confirmed_at

        def now(self):
            return steadyclock.now()

        def request_append(self):
            self.append_requests += 1
            self.status.confirmed_at = steadyclock.now()

    context.session = Confirmed()


@when(
    "its machine is suspended for {seconds:g} seconds, which the monotonic clock does "
    "not count"
)
def suspended(context, seconds):
    context.suspended_s = seconds


@then("it renews no lease, and asks the store before it answers")
def asks_before(context):
    session = context.session
    assert session._leader_lease.renewal_age_s() is not None
    assert anyio.run(session.confirm) and not session.append_requests
    with unittest.mock.patch.object(
        steadyclock, "now", lambda: time.monotonic() + context.suspended_s
    ):
        assert session._leader_lease.renewal_age_s() is None
        assert anyio.run(session.confirm)
    assert session.append_requests, (
        "the answer would rely on a confirmation from before"
    )
