"""Steps of the scenarios about single parts of the process on the platform."""

import json
import os
import time
from types import SimpleNamespace

import anyio
import hypothesis.strategies as st
import msgspec
from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings

from granitetrestle.errors import InvalidInput
from granitetrestle.errors import SettingsError
from granitetrestle.forwarding import ClientCall
from granitetrestle.forwarding import Deposed
from granitetrestle.forwarding import Forwarding
from granitetrestle.forwarding import Target
from granitetrestle.forwardwindow import ForwardWindow
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.journal import Journal
from granitetrestle.messages import CallAnswered
from granitetrestle.nodelog import NodeLog
from granitetrestle.platform.front import QueueIndex
from granitetrestle.platform.front import UnknownQueue
from granitetrestle.platform.front import decode_call
from granitetrestle.platform.front import decode_config
from granitetrestle.platform.server import FrontResponder
from granitetrestle.platform.settings import load_boot_file
from granitetrestle.platform.store import decode_records
from granitetrestle.platform.store import encode_record
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import StoreModel

RECORD = Record("p/1", b"x")
CALL = ClientCall("POST", "host", "/q/1", b"{}")


class JournalHarness:
    """A journal to which the test passes the decisions."""

    def __init__(self, lose):
        self.store = MemoryStore(StoreModel())
        self.store.lose = lose
        self.store.model.append("t", (), Writer(1, 1))
        self.due = []
        self.released = []
        self.ended = None
        self.journal = Journal(
            self.store,
            "t",
            1,
            self.take,
            self.released.extend,
            time.monotonic,
            lambda reason, waiting_s: None,
            end=0,
        )

    def take(self):
        due, self.due = self.due, []
        return due

    def decide(self):
        self.due.append(RECORD)
        self.journal.hold("effect")

    async def run(self, script):
        with anyio.move_on_after(5.0):
            async with anyio.create_task_group() as tasks:

                async def write():
                    self.ended = await self.journal.run()

                tasks.start_soon(write)
                await script()
                tasks.cancel_scope.cancel()


@given("a journal on a store that loses {lose:d} answers")
def a_journal(context, lose):
    context.run = JournalHarness(lose)


@given("a journal on a store that takes {seconds:g} seconds for an append")
def slow_journal(context, seconds):
    context.run = JournalHarness(0)
    store = context.run.store
    append = store.append

    async def slow_append(topic, records, writer, timeout_s):
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(seconds)
            return await append(topic, records, writer, timeout_s)
        return StoreUnavailable("no answer in time")

    store.append = slow_append


@then("that took no longer than {seconds:g} seconds")
def took_no_longer(context, seconds):
    assert context.run.released_in_s <= seconds, context.run.released_in_s


@when("a decision is written")
def written(context):
    async def script():
        started_at = time.monotonic()
        context.run.decide()
        with anyio.move_on_after(2.0):
            while not context.run.released:
                await anyio.sleep(0.01)
        context.run.released_in_s = time.monotonic() - started_at
        await anyio.sleep(0.6)

    anyio.run(context.run.run, script)


@when("the journal writes, confirms itself for a while, and then a decision is written")
def confirms(context):
    async def script():
        context.run.due.append(Record("p/0", b"y"))
        context.run.journal.request_batch()
        await anyio.sleep(1.1)
        context.run.decide()
        await anyio.sleep(0.4)

    anyio.run(context.run.run, script)
    # Appends of one record between the two decisions: the confirmations.
    assert sum(size == 1 for _, size in context.run.store.appends) >= 2
    assert context.run.store.model.topics["t"].pop(0).key == "p/0"


@then("each append had records, and the sequence number after the last one")
def own_numbers(context):
    appends = context.run.store.appends
    assert all(size for _, size in appends), appends
    numbers = [writer.sequence for writer, _ in appends]
    assert numbers == list(range(2, 2 + len(numbers))), numbers


@when("another writer has used the journal's next number, and a decision is written")
def number_used(context):
    async def script():
        context.run.store.model.append("t", [Record("p/9", b"z")], Writer(1, 2))
        context.run.decide()
        await anyio.sleep(0.5)

    anyio.run(context.run.run, script)


@then("the store holds it once, and its effect was released once")
def held_once(context):
    written = context.run.store.model.topics["t"]
    assert [record for record in written if record.key != DIGEST_KEY] == [RECORD]
    assert context.run.released == ["effect"], context.run.released


@when("the store is away, a decision is written, and a newer epoch starts")
def newer_epoch(context):
    async def script():
        context.run.store.down = True
        context.run.decide()
        await anyio.sleep(0.5)
        assert context.run.released == []
        context.run.store.model.append("t", (), Writer(2, 1))
        context.run.store.down = False
        await anyio.sleep(0.5)

    anyio.run(context.run.run, script)


@then("the journal has ended, and its effect was never released")
def ended(context):
    assert context.run.ended is not None
    assert context.run.released == []


class ForwardingHarness:
    """A forwarding whose leaders are simulated by the test."""

    def __init__(self):
        self.sent = []
        self.leader = None
        self.forwarding = Forwarding(
            "me", "127.0.0.1:1", self.send, self.here, ForwardWindow(1e9)
        )

    def send(self, node, message):
        self.sent.append((node, message))
        return True

    async def here(self, call):
        raise Deposed

    def answer(self, status_code, body=b""):
        number = self.sent[-1][1].number
        self.forwarding.record_answer(CallAnswered(number, status_code, body, 1))

    async def serve(self, script, left_s=3.0):
        answer = None

        async def client():
            nonlocal answer
            answer = await self.forwarding.serve(CALL, left_s, lambda: self.leader)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client)
            await script()
        return answer


@given("a request that was sent {sent} and then refused")
def refused_request(context, sent):
    harness = ForwardingHarness()
    harness.leader = Target("n1", 1)

    async def script():
        await anyio.sleep(0.05)
        if sent == "twice":
            await anyio.sleep(0.75)
            assert len(harness.sent) == 2
        if sent == "to two leaders":
            harness.leader = Target("n2", 2)
            harness.forwarding.leader_changed()
            await anyio.sleep(0.05)
        harness.answer(503)

    context.answer = anyio.run(harness.serve, script)


@then("the client is answered {code:d}")
def client_answered(context, code):
    assert context.answer.status == code, context.answer


@given("a request whose leader is lost without an answer")
def leader_lost(context):
    context.harness = ForwardingHarness()
    context.harness.leader = Target("n1", 1)


@when("a successor is known")
def successor_known(context):
    harness = context.harness

    async def script():
        await anyio.sleep(0.05)
        harness.leader = None
        harness.forwarding.leader_changed()
        await anyio.sleep(0.05)
        harness.leader = Target("n2", 2)
        harness.forwarding.leader_changed()
        await anyio.sleep(0.05)
        harness.answer(200, b"yes")

    context.answer = anyio.run(harness.serve, script)


@when("no successor takes over")
def no_successor(context):
    harness = context.harness

    async def script():
        await anyio.sleep(0.05)
        harness.leader = None
        harness.forwarding.leader_changed()

    started_at = time.monotonic()
    context.answer = anyio.run(harness.serve, script)
    context.took_s = time.monotonic() - started_at


@then(
    "the client is answered {code:d} within {seconds:g} seconds, so that it can retry"
)
def answered_within(context, code, seconds):
    assert context.answer.status == code, context.answer
    assert context.took_s < seconds, context.took_s


@then("the request goes to the successor, and its answer to the client")
def successor_asked(context):
    assert [node for node, _ in context.harness.sent] == ["n1", "n2"]
    assert (context.answer.status, context.answer.body) == (200, b"yes")


@given("a request while no leader is known")
def no_leader(context):
    async def script():
        return None

    started_at = time.monotonic()
    context.answer = anyio.run(ForwardingHarness().serve, script)
    context.took_s = time.monotonic() - started_at


@then("it is refused within {seconds:g} seconds with a time to retry after")
def refused_soon(context, seconds):
    assert context.answer.status == 503
    assert context.answer.retry_after_s > 0
    assert context.took_s < seconds, context.took_s


QUEUE = Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1.0)
INDEX = QueueIndex(Config(1, (QUEUE,), {}, 10_000))
FIELDS = st.one_of(
    st.integers(-5, 10**7), st.booleans(), st.text(max_size=5), st.none(), st.floats()
)
NAMES = st.sampled_from(
    ["count", "cpu", "mem_mb", "depends_on", "gang", "image", "estimate_ms", "steps"]
)
STEP = st.dictionaries(NAMES, st.one_of(FIELDS, st.lists(st.integers(-3, 3))))
BODY = st.one_of(
    st.binary(max_size=60),
    st.builds(
        lambda steps, spec: json.dumps({"steps": steps, "spec": spec}).encode(),
        st.lists(STEP, max_size=4),
        st.text(max_size=10),
    ),
)


@then(
    "any body gives a submission or invalid input, and any record a config or an error"
)
def any_bytes(context):
    @settings(max_examples=400, derandomize=True, database=None, deadline=None)
    @drawn(BODY, st.text(max_size=30))
    def bodies(body, path):
        for target in (f"/q/{'a' * 16}", "/q/" + path, path):
            try:
                call = decode_call(INDEX, "POST", "host", target, body)
            except InvalidInput:
                continue
            assert isinstance(call, SubmitJob | UnknownQueue), call
            if isinstance(call, SubmitJob):
                assert all(step.count > 0 for step in call.submission.steps)

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @drawn(st.binary(max_size=60))
    def configs(data):
        try:
            decode_config(data)
        except msgspec.DecodeError:
            return

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @drawn(st.lists(st.tuples(st.text(max_size=9), st.binary(max_size=9)), max_size=5))
    def records(rows):
        wanted = [Record(key, value or None) for key, value in rows]
        assert decode_records(b"".join(map(encode_record, wanted))) == wanted

    bodies()
    configs()
    records()


@then("a settings file with four problems names all four, and unknown keys are ignored")
def settings_file(context):
    boot = context.folder / "boot.json"
    good = {
        "node_name": "n",
        "zone": "h",
        "ip": "127.0.0.1",
        "internal_ports": [7000, 7010],
        "platform": {"address": "127.0.0.1:1"},
        "new": 1,
    }
    boot.write_text(json.dumps(good))
    assert load_boot_file(str(boot)).node == "n"
    bad = {**good, "node_name": 7, "internal_ports": [1], "platform": {"address": "x"}}
    bad["zones"] = {"h": 3}
    boot.write_text(json.dumps(bad))
    try:
        load_boot_file(str(boot))
    except SettingsError as error:
        text = "; ".join(error.problems)
        assert len(error.problems) == 4, error.problems
        assert all(
            k in text for k in ("node_name", "internal_ports", "address", "zones")
        ), text
    else:
        raise AssertionError("no error")


@given("a log whose reader does not read")
def log_unread(context):
    context.pipe = os.pipe()
    context.log = NodeLog(context.pipe[1], node="n1")


@then("ten thousand events are written without blocking, and the drops are counted")
def bounded(context):
    started_at = time.monotonic()
    for number in range(10_000):
        context.log.event(f"kind{number % 100}", text="x" * 100)
    took_s = time.monotonic() - started_at
    assert took_s < 5.0, took_s
    assert context.log.dropped > 0
    for descriptor in context.pipe:
        os.close(descriptor)


@given("a session that has ended")
def session_over(context):
    context.session = SimpleNamespace(
        over=True,
        config=Config(1, (QUEUE,), {}, 10_000),
        serving=False,
        store_unavailable=False,
    )


@then("it leaves a request to its successor instead of refusing it")
def leaves_request(context):
    body = b'{"steps":[{"count":1,"cpu":1,"mem_mb":1}]}'
    call = ClientCall("POST", "host", f"/q/{'a' * 16}", body)
    try:
        answer = anyio.run(FrontResponder().answer, context.session, "1", call)
    except Deposed:
        return
    raise AssertionError(answer)


@given("a request that {state} when its process ends")
def process_ends(context, state):
    harness = ForwardingHarness()
    harness.leader = None if "no leader" in state else Target("n1", 1)

    async def script():
        await anyio.sleep(0.05)
        harness.forwarding.close()

    started_at = time.monotonic()
    context.answer = anyio.run(harness.serve, script)
    context.took_s = time.monotonic() - started_at


@then("the client is answered {code:d} at once")
def answered_at_once(context, code):
    assert context.answer.status == code, context.answer
    assert context.took_s < 0.5, context.took_s
