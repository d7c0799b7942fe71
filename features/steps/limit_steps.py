"""Steps for limits of attempts, bytes and entries."""

import collections
import json
import time
from types import SimpleNamespace

import anyio
import anyio.abc
from behave import given
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.calls import Reply
from granitetrestle.decisions import AskAdvice
from granitetrestle.decisions import StartTask
from granitetrestle.forwarding import ClientCall
from granitetrestle.interfaces import Advice
from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import AppendRefused
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.interfaces import TaskCommand
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import JobAccepted
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.journal import Journal
from granitetrestle.leadership import ADDRESS_BITS
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.server import FrontResponder
from granitetrestle.platform.store import PlatformStore
from granitetrestle.scheduler import Scheduler
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle.statedigest import EPOCH_CLAIM_KEY
from granitetrestle.statedigest import verify_read
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardworld import CONFIG
from granitetrestle_standins.shardworld import ShardWorld


@when("the jobs' epoch is raised by {steps:d} steps, unknown to all processes")
def raise_epoch(context, steps):
    cluster = context.cluster
    leader = cluster.leader()
    (line,) = [x for x in cluster.log(leader) if x["event"] == "took_over"]
    # Above all epochs of its step that a process may choose.
    step = (line["epoch"] >> ADDRESS_BITS) + steps
    epoch = (step + 1 << ADDRESS_BITS) - 1
    context.epoch = epoch
    path = (
        f"append?topic={JOBS_TOPIC}&part=0"
        f"&producer=granitetrestle&epoch={epoch}&call_seq=1"
    )
    answer = cluster.store(path, b"")
    assert answer.status == 200, answer


@then("a process leads again within {seconds:g} seconds, and a job completes")
def decides_again(context, seconds):
    cluster = context.cluster

    def took_over():
        lines = [line for name in cluster.nodes() for line in cluster.log(name)]
        return [
            line
            for line in lines
            if line["event"] == "took_over" and line["epoch"] > context.epoch
        ]

    cluster.wait(took_over, "a leader above the epoch", seconds)
    job = "00000000000000f2"
    cluster.submit(job, [{"count": 2, "cpu": 1000, "mem_mb": 100}])
    cluster.wait(lambda: cluster.state(job) == "completed", job)


@given("a store that takes at most {most:d} bytes in a call")
def small_calls(context, most):
    context.most = most
    context.store = store = MemoryStore(StoreModel())
    append = store.append

    async def limited(topic, records, writer, timeout_s):
        if sum(5 + len(r.key) + len(r.value or b"") for r in records) > most:
            return StoreUnavailable("413", not_applied=True)
        return await append(topic, records, writer, timeout_s)

    store.append = limited


def without_digests(store):
    return [r for r in store.model.topics["t"] if r.key != DIGEST_KEY]


@when("{count:d} records of {size:d} bytes are written at once")
def write_at_once(context, count, size):
    store = context.store
    store.model.append("t", (), Writer(1, 1))
    pending = [Record(f"r/{number}", bytes(size)) for number in range(count)]
    context.wanted = list(pending)

    def take():
        records = list(pending)
        pending.clear()
        return records

    journal = Journal(
        store,
        "t",
        1,
        take,
        lambda held: None,
        time.monotonic,
        lambda reason, waiting_s: None,
        call_bytes=context.most,
    )

    async def write():
        with anyio.move_on_after(2.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                journal.request_batch()
                while len(without_digests(store)) < count:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(write)


@then("all of them are in the store within {seconds:g} seconds")
def all_in_store(context, seconds):
    assert without_digests(context.store) == context.wanted


STOPPED = b'HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{"clock_ms":1}'
QUEUE = Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1.0)


@given("a store that refuses a call with a record of more than {most:d} bytes for good")
def refusing_store(context, most):
    context.store = store = MemoryStore(StoreModel())
    append = store.append
    context.calls = 0

    async def limited(topic, records, writer, timeout_s):
        context.calls += 1
        if any(record.size > most for record in records):
            return AppendRefused("400 record_bytes")
        return await append(topic, records, writer, timeout_s)

    store.append = limited


@when("{count:d} records are written at once, {long:d} of which have {size:d} bytes")
def some_too_long(context, count, long, size):
    pending = [Record(f"r/{number}", b"short") for number in range(count)]
    for number in range(long):
        pending[7 * number + 3] = Record(f"long/{number}", bytes(size))
    context.wanted = [r for r in pending if not r.key.startswith("long/")]
    context.released, context.refused, context.outcome = [], [], None

    def take():
        records = list(pending)
        pending.clear()
        return records

    async def play():
        context.claim = await take_over(MemoryStore(context.store.model), 1, "by")
        journal = Journal(
            context.store,
            JOBS_TOPIC,
            1,
            take,
            context.released.extend,
            time.monotonic,
            lambda reason, waiting_s: None,
            on_refused=context.refused.append,
            end=context.claim.end,
        )
        journal.start_from(context.store.model.newest(JOBS_TOPIC).records)
        journal.hold("effect")
        with anyio.move_on_after(1.0):
            context.outcome = await journal.run()

    anyio.run(play)


@then(
    "the other {count:d} are in the store, the effects are released, and {long:d} are "
    "reported"
)
def others_stored(context, count, long):
    stored = {r.key: r for r in context.store.model.topics[JOBS_TOPIC]}
    assert len(context.wanted) == count
    assert all(stored.get(r.key) == r for r in context.wanted), stored.keys()
    assert context.released == ["effect"], context.released
    assert len(context.refused) == long and not [
        key for key in stored if key.startswith("long/")
    ], context.refused
    assert context.outcome is None and context.calls < 40, context.calls


@then("a successor's read of the store is proved to be complete")
def proved_complete(context):
    store = MemoryStore(context.store.model)

    async def read():
        claim = await take_over(store, 2, "successor")
        return verify_read(store.model.newest(JOBS_TOPIC), claim)

    assert anyio.run(read) is None


@then("nothing is in the store or reported, and the journal has ended")
def nothing_stored(context):
    keys = {r.key for r in context.store.model.topics[JOBS_TOPIC]}
    assert keys == {EPOCH_CLAIM_KEY}, keys
    assert not context.released and not context.refused
    assert isinstance(context.outcome, AppendRefused), context.outcome
    assert context.calls < 40, context.calls


@when("the platform's store is called with an append that {what}")
def call_store(context, what):
    *_, number = (int(word) for word in what.split() if word.isdigit())
    keys = "has a key" in what
    status = 200 if keys else number

    class OneAnswer:
        async def call(self, *args, **kwargs):
            return Reply(status, (), b'{"end":1}' if status == 200 else b"{}")

    record = Record("k" * number if keys else "key", b"value")
    store = PlatformStore("address", OneAnswer())
    context.outcome = anyio.run(store.append, "t", [record], Writer(1, 1), 1.0)


@then("the append is {verdict}")
def append_verdict(context, verdict):
    verdicts = {
        Appended: "done",
        AppendRefused: "refused for good",
        StoreUnavailable: "repeated later",
    }
    assert verdicts[type(context.outcome)] == verdict, context.outcome


@when(
    "a job is submitted whose record has up to {size:d} bytes, where {most:d} are allowed"
)
def submit_long_job(context, size, most):
    async def confirm():
        return True

    async def accept(request, call):
        context.taken = call
        return JobAccepted()

    session = SimpleNamespace(
        over=False,
        config=Config(1, (QUEUE,), {}, 1_000_000),
        serving=True,
        store_unavailable=False,
        confirm=confirm,
        call=accept,
    )

    def answer(label):
        step = {"count": 1, "cpu": 1, "requirements": label}
        body = json.dumps({"steps": [step]}).encode()
        call = ClientCall("POST", "host", f"/q/{'a' * 16}", body)
        return anyio.run(FrontResponder(most).answer, session, "r", call)

    # With labels of 256 to 65,535 bytes, one more byte lengthens the record by one.
    assert answer("x" * 1000).status == 200
    shorter = record_bytes(context.taken.submission)
    context.answer = answer("x" * (1000 + size - shorter))


def record_bytes(submission):
    """Return the size that a job's record may have in a call, as the store counts it:
    the length of its key (1 byte), the key, the value."""
    sizes = []
    for accepted_at in (0.0, 1e3, 1e8, 1e15):
        scheduler = Scheduler(ShardWorld(1, 0).parameters, 0.0)
        scheduler.handle_call("r", SubmitJob(submission), accepted_at)
        (record,) = scheduler.take_writes()
        sizes.append(1 + len(record.key) + len(record.value))
    assert sizes[-1] - sizes[0] == 8, sizes
    return max(sizes)


@then("it is answered {status:d}")
def answered(context, status):
    assert context.answer.status == status, context.answer


@when("a box answers a poll with {megabytes:d} megabytes of checkpoints")
def long_poll_answer(context, megabytes):
    checkpoint = "c" * 10_000
    context.count = megabytes * 100
    rows = [[f"{'a' * 16}.0.0.{n}", 1, checkpoint, 50] for n in range(context.count)]
    body = json.dumps({"clock_ms": 1, "running": rows, "finished": []}).encode()
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)

    async def serve(stream):
        async with stream:
            while True:
                request = await stream.receive()
                stop = b"/api/run-stop" in request
                await stream.send(STOPPED if stop else head + body)

    async def poll():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            boxes = PlatformBoxes(Caller())
            address = f"127.0.0.1:{port}"
            # The poll uses the connection that a command has opened.
            await boxes.stop(TaskCommand("incarnation", address, "task", 1), 1)
            context.poll = await boxes.poll("incarnation", address, 1, 0, None, 0)
            tasks.cancel_scope.cancel()

    anyio.run(poll)


@then("all its tasks are listed")
def all_tasks_listed(context):
    assert isinstance(context.poll, PollResult), context.poll
    assert len(context.poll.running) == context.count


@given("{count:d} equal boxes, of which advice names {which} as suitable for a step")
def advised_boxes(context, count, which):
    world = ShardWorld(1, count)
    scheduler = context.scheduler = Scheduler(world.parameters, 0.0)
    queue = CONFIG.queues[0]._replace(advised=True)
    scheduler.apply_config(CONFIG._replace(queues=(queue,)))
    scheduler.evacuation.replace_directives([], (), 0.0)
    scheduler.evacuation.record_read(0.0)
    scheduler.fleet.update_boxes(world.entries, 0.0)
    for incarnation in world.entries:
        scheduler.fleet.handle_poll_outcome(
            incarnation, 0.0, 0.1, PollResult(100, (), ())
        )
    context.suitable = {max(world.entries)} if which == "only the last" else set()


@when("a job of that step waits for {seconds:g} seconds")
def wait_for_advice(context, seconds):
    scheduler = context.scheduler
    step = Step(count=1, cpu=100, memory_mb=1)
    scheduler.handle_call(
        "r", SubmitJob(Submission("1", "q", "pool", "", (step,))), 0.2
    )
    context.asked = collections.Counter()
    context.starts = []
    now = 0.2
    while now < seconds:
        now += 0.1
        for decision in scheduler.decide(now, int(now * 1000)):
            if isinstance(decision, AskAdvice):
                context.asked.update(decision.incarnations)
                assert len(decision.incarnations) <= 100, decision
                suitable = {
                    incarnation: "t"
                    for incarnation in decision.incarnations
                    if incarnation in context.suitable
                }
                scheduler.apply_advice(decision, Advice(suitable, 1.0), now)
            elif isinstance(decision, StartTask):
                context.starts.append(decision)
        scheduler.evacuation.record_read(now)


@then("it has started there, and no box was asked about twice")
def started_there(context):
    (start,) = context.starts
    assert {start.incarnation} == context.suitable, start
    assert max(context.asked.values()) == 1, context.asked


@then("some boxes were asked about twice")
def asked_twice(context):
    assert not context.starts
    assert len(context.asked) == 60 and max(context.asked.values()) > 1, context.asked
