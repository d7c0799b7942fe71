"""Steps for far more boxes than one leader's connections and processor can serve."""

import asyncio
import errno
import time

import anyio
import zmq
from behave import given
from behave import then
from behave import when

from granitetrestle.boxes import BoxView
from granitetrestle.boxpoller import BoxPoller
from granitetrestle.calls import Caller
from granitetrestle.calls import CallFailure
from granitetrestle.calls import Reply
from granitetrestle.commandwindow import CommandWindow
from granitetrestle.commandwindow import UnlimitedWindow
from granitetrestle.decisions import StartTask
from granitetrestle.fleet import PollPlan
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.looplag import LoopLag
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.peerlink import PeerLink
from granitetrestle.pollbudget import PollBudget
from granitetrestle.witnesses import Witnesses
from granitetrestle_standins.nativecluster import free_port
from rights import CONFIRMED_LEASE

CALL_TIMEOUT_S = 0.7


class Boxes:
    """Calls that take the leader's processor, one after the other."""

    def __init__(self, call_s, gone=()):
        self.call_s = call_s
        self.gone = set(gone)
        self.free_at = 0.0
        self.calls = self.timed_out = 0
        self.polled = []
        self.waits = []

    async def poll(self, incarnation, address, token, known, lease_ends_ms, wait_ms):
        now = time.monotonic()
        self.polled.append((incarnation, now))
        self.waits.append(wait_ms)
        if incarnation in self.gone:
            await anyio.sleep(CALL_TIMEOUT_S)
            return BoxNoAnswer("gone")
        self.calls += 1
        self.free_at = max(now, self.free_at) + self.call_s
        wait = self.free_at - now
        if wait > CALL_TIMEOUT_S:
            await anyio.sleep(CALL_TIMEOUT_S)
            self.timed_out += 1
            return BoxNoAnswer("no answer in time")
        await anyio.sleep(wait + wait_ms / 1000.0)
        return PollResult(1, (), ())

    async def start(self, *arguments):
        return CommandAccepted(1)


def entry(incarnation):
    return BoxEntry(
        incarnation, "a", "pool", "h", "r", frozenset(), 1000, 1000, 0, False, None
    )


class FakeScheduler:
    """The part of a scheduler that a poller uses."""

    def __init__(self, count):
        self.boxes = {f"b{n}": BoxView(entry(f"b{n}"), 0.0) for n in range(count)}
        self.witnesses = Witnesses()

    @property
    def state(self):
        return self

    @property
    def fleet(self):
        return self

    def plan_poll(self, incarnation, now, proof_age_s):
        return PollPlan("a", 0, None, 1500)

    def handle_poll_outcome(self, incarnation, sent, now, outcome):
        box = self.boxes[incarnation]
        if isinstance(outcome, PollResult):
            box.adopted, box.silent_since = True, None
        elif box.silent_since is None:
            box.silent_since = now
        return []

    @property
    def leases(self):
        return self

    def renew(self, box, now, proof_age_s):
        return 1

    def record_accepted(self, incarnation, sent_at, now):
        return []

    def confirm_start(self, command, now):
        return True

    def handle_start_outcome(self, *arguments):
        return []


def make_poller(incarnation, calls, scheduler, budget):
    return BoxPoller(
        incarnation,
        "a",
        1,
        calls,
        scheduler,
        lambda decisions: None,
        CONFIRMED_LEASE,
        NodeMetrics(),
        CommandWindow(),
        LoopLag(),
        budget,
    )


@given("{boxes:d} boxes, and a leader that needs {ms:d} ms for each call")
def boxes_for(context, boxes, ms):
    context.scheduler, context.calls = FakeScheduler(boxes), Boxes(ms / 1000.0)


@given(
    "{boxes:d} boxes, of which {gone:d} are gone, and a leader that needs {ms:d} ms "
    "for each call"
)
def boxes_gone(context, boxes, gone, ms):
    lost = {f"b{number}" for number in range(gone)}
    context.scheduler, context.calls = FakeScheduler(boxes), Boxes(ms / 1000.0, lost)


def poll_all(context, seconds, budget):
    async def script():
        async with anyio.create_task_group() as tasks:
            for incarnation in context.scheduler.boxes:
                poller = make_poller(
                    incarnation, context.calls, context.scheduler, budget
                )
                tasks.start_soon(poller.run)
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()

    anyio.run(script)


@when("it polls them for {seconds:d} seconds")
def poll_for(context, seconds):
    poll_all(context, seconds, PollBudget(1000))


@when("it polls them for {seconds:d} seconds, all at once")
def poll_all_at_once(context, seconds):
    budget = PollBudget(1_000_000)
    budget._contact_window = UnlimitedWindow()
    poll_all(context, seconds, budget)


@then(
    "it has reached {boxes:d} boxes at least, and at most 1 poll in {part:d} timed out"
)
def reached_with_few(context, boxes, part):
    reached(context, boxes)
    calls = context.calls
    assert calls.timed_out * part <= calls.calls, (calls.timed_out, calls.calls)


@then("it has reached {boxes:d} boxes at least")
def reached(context, boxes):
    adopted = sum(box.adopted for box in context.scheduler.boxes.values())
    assert adopted >= boxes, adopted


@then("at least 1 poll in {part:d} timed out")
def many_timed_out(context, part):
    calls = context.calls
    assert calls.timed_out * part >= calls.calls, (calls.timed_out, calls.calls)


@given("a budget of {connections:d} connections")
def budget_of(context, connections):
    context.budget = PollBudget(connections)


@when("{boxes:d} boxes are polled, of which {busy:d} are busy")
def poll_with_budget(context, boxes, busy):
    context.idle_waits, context.pauses, context.most = [], [], 0
    for number in range(boxes):
        box = BoxView(entry(f"b{number}"), 0.0)
        box.adopted = True
        if number % (boxes // busy) == 0:
            box.tasks["t"] = None
        before = context.budget.long_polls
        parameters = context.budget.parameters(box)
        if parameters.long_poll:
            context.budget.add_long_poll()
            if not box.tasks:
                context.idle_waits.append(before)
        elif not box.tasks:
            context.pauses.append(parameters.pause_s)
        context.most = max(context.most, context.budget.long_polls)


@then(
    "at most {most:d} long polls are under way, "
    "and no idle box gets one once {idle:d} are"
)
def bounded(context, most, idle):
    assert context.most == most, context.most
    assert max(context.idle_waits) < idle, max(context.idle_waits)


@then("idle boxes are polled at most {rate:d} times a second in total")
def idle_rate(context, rate):
    longest = max(context.pauses)
    assert len(context.pauses) / longest <= rate, (len(context.pauses), longest)


@given("a poller of an idle box without a connection for long polls")
def idle_poller(context):
    context.scheduler, context.calls = FakeScheduler(1), Boxes(0.0)
    context.budget = PollBudget(0)


@when("a task is started there after {seconds:g} seconds")
def started_after(context, seconds):
    async def script():
        poller = make_poller("b0", context.calls, context.scheduler, context.budget)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            await anyio.sleep(seconds)
            context.before = len(context.calls.polled)
            context.at = time.monotonic()
            await poller.execute(StartTask("b0", "1.0.0.0", 1, "s", "", ""))
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()

    anyio.run(script)


@when("a task is placed and started there in the middle of a poll of {span:g} seconds")
def started_meanwhile(context, span):
    context.calls = Boxes(span)
    box = context.scheduler.boxes["b0"]
    box.adopted = True

    async def script():
        poller = make_poller("b0", context.calls, context.scheduler, context.budget)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            await anyio.sleep(span / 2)
            context.before = len(context.calls.polled)
            context.at = time.monotonic()
            box.tasks["t"] = None
            await poller.execute(StartTask("b0", "1.0.0.0", 1, "s", "", ""))
            await anyio.sleep(span * 2)
            tasks.cancel_scope.cancel()

    anyio.run(script)


@then("the box is polled within {seconds:g} seconds")
def polled_within(context, seconds):
    after = context.calls.polled[context.before :]
    assert after and after[0][1] - context.at < seconds, after


@given(
    "a caller that may have {most:d} connections open, and {boxes:d} boxes that listen"
)
def bounded_caller(context, most, boxes):
    context.most, context.listening = most, boxes


@when("each box is called in turn")
def called_in_turn(context):
    context.outcomes, context.open = play_calls(context, late_s=0.0, together=False)


@when("all boxes are called at once, and answer late")
def called_at_once(context):
    context.outcomes, context.open = play_calls(context, late_s=0.3, together=True)


def play_calls(context, late_s, together):
    caller = Caller(context.most)
    outcomes, opened = [], []

    async def answer(reader, writer):
        opened.append(1)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(late_s)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def call(port):
        outcomes.append(await caller.call(f"127.0.0.1:{port}", "/"))
        opened.append(caller.open_connections)

    async def script():
        servers = [
            await asyncio.start_server(answer, "127.0.0.1", 0)
            for _ in range(context.listening)
        ]
        ports = [server.sockets[0].getsockname()[1] for server in servers]
        if together:
            await asyncio.gather(*map(call, ports))
        else:
            for port in ports:
                await call(port)
        for server in servers:
            server.close()

    asyncio.run(script())
    return outcomes, opened


@then("all calls were answered, and {most:d} connections are open at most")
def all_answered(context, most):
    assert all(isinstance(outcome, Reply) for outcome in context.outcomes)
    assert max(context.open) <= most, context.open


@then(
    "{count:d} were answered, the others not sent, "
    "and {most:d} connections are open at most"
)
def some_answered(context, count, most):
    failed = [o for o in context.outcomes if isinstance(o, CallFailure)]
    assert len(context.outcomes) - len(failed) == count, context.outcomes
    assert not any(outcome.proof.may_have_run for outcome in failed)
    assert max(context.open) <= most, context.open


@given("a link to peers that may open {most:d} sockets")
def bounded_link(context, most):
    context.link = PeerLink("n", "n1", "token", f"127.0.0.1:{free_port()}")
    context.reported = []
    context.link.on_not_opened = lambda node, reason: context.reported.append(node)
    opened = context.link._open

    def bounded(address):
        if context.link.connections >= most:
            raise zmq.ZMQError(errno.EMFILE)
        return opened(address)

    context.link._open = bounded


@when("it connects to {peers:d} peers")
def connect_peers(context, peers):
    for number in range(peers):
        context.link.connect(f"p{number}", "127.0.0.1:1")


@then("it keeps those it reached, and reports once that others were not")
def keeps_reached_peers(context):
    assert context.link.connections == 3
    assert context.reported == ["p3"], context.reported
    context.link.close()
