"""Steps for boxes that restart under their id."""

import asyncio
import base64
import contextlib
import json
import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.errors import MalformedEntry
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import TaskCommand
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.boxes import decode_entry
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.runfacts import job_of
from granitetrestle_standins.runjudge import ViolationKind
from granitetrestle_standins.runjudge import judge
from granitetrestle_standins.soakobserver import SoakObserver

EARLIER_JOB = "a" * 16
JOB = "b" * 16
# Far longer than the job needs.
JOB_TIMEOUT_S = 12.0
EPOCH = 5
LEASE_MS = 4000


def facts(context):
    return SoakObserver(context.cluster).facts()._replace(last_fault=None)


@given(
    "{nodes:d} process and {boxes:d} boxes, which apply an acknowledged number to "
    '"{ends}"'
)
def processes_and_boxes(context, nodes, boxes, ends):
    context.cluster = NativeCluster(context.folder, nodes, boxes, ("--ends-told", ends))
    context.cluster.ready()


@given("each box has ended at least {count:d} runs")
def each_has_ended(context, count):
    cluster = context.cluster
    # Each box has room for 8.
    step = {"count": 8 * cluster.boxes, "cpu": 1000, "mem_mb": 100}
    steps = [step, {**step, "depends_on": [0]}, {**step, "depends_on": [1]}]
    cluster.submit(EARLIER_JOB, steps, spec="100")
    cluster.wait(lambda: cluster.state(EARLIER_JOB) == "completed", "the earlier job")
    for box in range(cluster.boxes):
        assert len(cluster.rows(box)) >= count, cluster.rows(box)


@when("box {box:d} restarts under its id within {seconds:g} seconds")
def starts_again(context, box, seconds):
    context.cluster.box(box, f"/test/crash?s={seconds}&keep=1")
    time.sleep(seconds)


@when("a job of {steps:d} steps of {tasks:d} tasks of {run_s:g} seconds is submitted")
def job_submitted(context, steps, tasks, run_s):
    cluster = context.cluster
    step = {"count": tasks, "cpu": 4000, "mem_mb": 100}
    rows = [{**step, **({"depends_on": [n - 1]} if n else {})} for n in range(steps)]
    context.submitted_at = time.monotonic()
    cluster.submit(JOB, rows, spec=str(round(run_s * 1000)))
    # The scenario checks whether the job completes.
    with contextlib.suppress(AssertionError):
        cluster.wait(lambda: cluster.state(JOB) == "completed", JOB, JOB_TIMEOUT_S)


@then("no task is started again after its end as done was acknowledged")
def not_started_again(context):
    found = [
        violation.text
        for violation in judge(facts(context)).violations
        if violation.kind is ViolationKind.AFTER_NOTED_END
    ]
    assert not found, (len(found), found[0])


@then("it completes, and never waits with no task running for {longest_s:g} seconds")
def never_idle(context, longest_s):
    state = context.cluster.state(JOB)
    runs = sorted(
        (run for run in facts(context).runs if job_of(run.task) == JOB),
        key=lambda run: run.began,
    )
    idle_since, longest = context.submitted_at, 0.0
    for run in runs:
        longest = max(longest, run.began - idle_since)
        idle_since = max(idle_since, run.ended)
    assert state == "completed" and longest < longest_s, (state, longest, len(runs))


class BoxCaller:
    """Calls one box, as listed at some time, over a pool like the daemon's."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._boxes = PlatformBoxes(Caller())

    def entry(self):
        """Return the box's current entry in the list."""
        answer = self._cluster.store("newest?topic=keyed.servers&part=0")
        (item,) = json.loads(answer.content)["items"]
        return decode_entry(Record(item["key"], base64.b64decode(item["value"])))

    async def poll(self, entry, acknowledged=0, lease_ends_ms=None):
        return await self._boxes.poll(
            entry.incarnation, entry.address, EPOCH, acknowledged, lease_ends_ms, 0
        )

    async def start(self, entry, task, run_ms):
        clock_ms = (await self.poll(entry)).clock_ms
        return await self.start_by_clock(entry, task, run_ms, clock_ms)

    async def start_by_clock(self, entry, task, run_ms, clock_ms):
        command = TaskCommand(entry.incarnation, entry.address, task, 1)
        lease_ends_ms = clock_ms + LEASE_MS
        return await self._boxes.start(
            command, EPOCH, str(run_ms), lease_ends_ms, "", ""
        )

    async def stop(self, entry, task):
        command = TaskCommand(entry.incarnation, entry.address, task, 1)
        return await self._boxes.stop(command, EPOCH)

    async def pace(self, entry, task):
        command = TaskCommand(entry.incarnation, entry.address, task, 1)
        return await self._boxes.pace(command, EPOCH, 10)


def task_id(number):
    return f"{number:016x}.0.0.0"


async def poll_until_ended(caller, entry, number):
    """Return the first poll that lists at least ``number`` ends."""
    while True:
        poll = await caller.poll(entry)
        assert isinstance(poll, PollResult), poll
        if len(poll.ended) >= number:
            return poll
        await anyio.sleep(0.05)


@given("a single box that has ended run 1 of a task, and restarted under its id")
def box_alone(context):
    context.cluster = cluster = NativeCluster(context.folder, 0, 1)
    context.script = []

    async def before(caller):
        context.before = caller.entry()
        await caller.start(context.before, task_id(1), 10)
        await poll_until_ended(caller, context.before, 1)
        cluster.box(0, "/test/crash?s=0.05&keep=1")
        await anyio.sleep(0.2)
        context.after = caller.entry()

    context.script.append(before)


@given(
    "its next incarnation runs run 1 of another task, and has ended run 1 of a third"
)
def next_incarnation(context):
    async def start_tasks(caller):
        await caller.start(context.after, task_id(2), 60_000)
        started = await caller.start(context.after, task_id(3), 10)
        assert isinstance(started, CommandAccepted), started
        context.first_poll = await poll_until_ended(caller, context.after, 1)

    context.script.append(start_tasks)


CALLS = {
    "start": lambda caller, c: caller.start_by_clock(
        c.before, task_id(4), 10, c.first_poll.clock_ms
    ),
    "stop": lambda caller, c: caller.stop(c.before, task_id(2)),
    "pace": lambda caller, c: caller.pace(c.before, task_id(2)),
    "poll": lambda caller, c: caller.poll(
        c.before, 1, c.first_poll.clock_ms + LEASE_MS
    ),
}


@when("a {call} for the earlier incarnation arrives")
def call_earlier_incarnation(context, call):
    async def run_script():
        caller = BoxCaller(context.cluster)
        for part in context.script:
            await part(caller)
        context.outcome = await CALLS[call](caller, context)
        await anyio.sleep(0.1)
        context.last_poll = await caller.poll(context.after)

    anyio.run(run_script)


@then("it is answered as by another incarnation, and the next one is unchanged")
def answered_by_another(context):
    first_poll, last = context.first_poll, context.last_poll
    assert isinstance(context.outcome, BoxReplaced), context.outcome
    assert [row[:2] for row in last.running] == [row[:2] for row in first_poll.running]
    assert last.ended == first_poll.ended, (last.ended, first_poll.ended)
    assert not any(row.task == task_id(4) for row in last.running), last


class ScriptedBox:
    """A box that answers every call with success, and reports a given time of birth."""

    def __init__(self, born):
        self.born = {} if born == "nothing" else {"born": json.loads(born)}
        self.paths = []
        self.connections = []
        self.address = ""

    async def serve(self, reader, writer):
        self.connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(head.lower().partition("content-length: ")[2].split()[0])
                request = json.loads(await reader.readexactly(length))
                self.paths.append((head.split()[1], request.get("last_seen")))
                body = json.dumps({**self.born, "clock_ms": 100}).encode()
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                writer.write(answer + body)

    def play(self, script):
        """Run a script while the box listens on a free port."""

        async def both():
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            self.address = f"{host}:{port}"
            async with server:
                await script(PlatformBoxes(Caller()))
                for connection in self.connections:
                    connection.close()
                await asyncio.sleep(0.05)

        asyncio.run(both())


def entry_of(born):
    born_field = "" if born == "nothing" else f', "born": {born}'
    text = f'{{"service": "pool", "address": "127.0.0.1:80"{born_field}}}'
    return decode_entry(Record("b", text.encode()))


@given("a box that was listed as born {listed}, and answers as born {answers}")
def scripted_box(context, listed, answers):
    context.incarnation = entry_of(listed).incarnation
    context.scripted = ScriptedBox(answers)


async def start(boxes, context):
    command = TaskCommand(context.incarnation, context.scripted.address, task_id(1), 1)
    return await boxes.start(command, EPOCH, "10", 4000, "", "")


async def poll(boxes, context, acknowledged, lease_ends_ms):
    scripted = context.scripted
    return await boxes.poll(
        context.incarnation, scripted.address, EPOCH, acknowledged, lease_ends_ms, 0
    )


@when(
    "a first poll, a start and a poll that acknowledges ends each open a connection to "
    "it"
)
def each_on_new_connection(context):
    async def script(_):
        context.first = await poll(PlatformBoxes(Caller()), context, 0, None)
        context.started = await start(PlatformBoxes(Caller()), context)
        context.polled = await poll(PlatformBoxes(Caller()), context, 3, 4000)

    context.scripted.play(script)


@then("all are {outcome}, and the start has {reached} it")
def calls_outcome(context, outcome, reached):
    expected = {
        "carried out": (PollResult, CommandAccepted, PollResult),
        "answered by another incarnation": (BoxReplaced,) * 3,
        "not answered": (BoxNoAnswer,) * 3,
    }
    outcomes = (context.first, context.started, context.polled)
    assert tuple(map(type, outcomes)) == expected[outcome], outcomes
    paths = [path for path, _ in context.scripted.paths]
    assert ("/api/run-start" in paths) == (reached == "reached"), paths
    if isinstance(context.started, BoxNoAnswer):
        assert not context.started.sent
    if reached == "not reached":
        assert ("/api/hold", 3) not in context.scripted.paths, context.scripted.paths


@when(
    "a first poll, three starts and a poll that acknowledges ends are sent in sequence"
)
def calls_in_sequence(context):
    scripted = context.scripted

    async def script(boxes):
        await poll(boxes, context, 0, None)
        for _ in range(3):
            await start(boxes, context)
        await poll(boxes, context, 3, 4000)
        context.first = list(scripted.paths), len(scripted.connections)
        scripted.connections[0].close()
        await asyncio.sleep(0.05)
        await start(boxes, context)
        context.then = (
            scripted.paths[len(context.first[0]) :],
            len(scripted.connections),
        )

    scripted.play(script)


@then("one connection was opened, and only these requests were sent over it")
def no_other_request(context):
    requests = [("/api/hold", 0), *[("/api/run-start", None)] * 3, ("/api/hold", 3)]
    assert context.first == (requests, 1), context.first


@then("after it was closed a start is preceded by another identity request")
def identifies_again(context):
    requests = [("/api/hold", 0), ("/api/run-start", None)]
    assert context.then == (requests, 2), context.then


@when("it has accepted a start, then answers as born 6, and a poll and a start arrive")
def restarts_while_connected(context):
    scripted = context.scripted

    async def script(boxes):
        assert isinstance(await start(boxes, context), CommandAccepted)
        scripted.born = {"born": 6}
        context.polled = await poll(boxes, context, 3, 4000)
        context.started = await start(boxes, context)

    scripted.play(script)


@then(
    "the poll is answered by another incarnation, and so is the start, over a new "
    "connection"
)
def both_answered_by_another(context):
    assert isinstance(context.polled, BoxReplaced), context.polled
    assert isinstance(context.started, BoxReplaced), context.started
    scripted = context.scripted
    assert len(scripted.connections) == 2
    assert [path for path, _ in scripted.paths].count("/api/run-start") == 1, (
        scripted.paths
    )


@when("a box's entry has born {born}")
def entry_says(context, born):
    try:
        context.entry = entry_of(born)
    except MalformedEntry as error:
        context.entry = error


@then("the entry is {expected}")
def entry_is(context, expected):
    entry = context.entry
    if isinstance(entry, MalformedEntry):
        assert expected == f"rejected, naming {entry.key}", entry
    else:
        assert (
            expected == f"of the incarnation {entry.incarnation} of box {entry.box_id}"
        ), entry
