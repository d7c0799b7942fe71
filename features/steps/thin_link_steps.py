"""Steps of the scenarios on links of limited bandwidth, over real connections."""

import asyncio
import json
import time

import anyio
from behave import given
from behave import then
from behave import when
from page_steps import RecordingLog

from granitetrestle.boxlink import BoxLink
from granitetrestle.calls import Caller
from granitetrestle.events import BoxAnswered
from granitetrestle.events import CommandBox
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.interfaces import TaskCommand
from granitetrestle.loglink import LogClient
from granitetrestle.loglink import LogPage
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import decode_directive
from granitetrestle.platform.store import BOX_TOPIC
from granitetrestle.platform.store import CONFIG_TOPIC
from granitetrestle.session import STORE_UNAVAILABLE_AFTER_S
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle_standins.nativecluster import free_port
from granitetrestle_standins.thinlink import ThinLink
from granitetrestle_standins.thinrig import MBPS
from granitetrestle_standins.thinrig import ThinRig
from granitetrestle_standins.thinrig import Writing

IP = "127.0.0.1"
LIMIT_S = 30.0
TASK = "00000000000000d1.0.0.0"


@given("a store with {megabytes:g} MB of submissions behind a link of {mbps:g} Mbit/s")
def filled_store(context, megabytes, mbps):
    context.rig = ThinRig(mbps)
    context.jobs = context.rig.fill(megabytes)


@given("a store behind a link of {mbps:d} Mbit/s")
def empty_store(context, mbps):
    context.rig = ThinRig(mbps)


@given("a store behind a link of {mbps:d} Mbit/s, taken for one of {known:d}")
def misjudged_link(context, mbps, known):
    context.rig = ThinRig(mbps, known)


def take_over_through_link(context, stops_after_s=None):
    context.log = RecordingLog()
    context.led_after_s = context.stopped_at = context.gave_up_at = None

    async def script(address, link):
        store = context.rig.store(address)
        sources = Sources(
            store, None, CONFIG_TOPIC, BOX_TOPIC, decode_directive, decode_entry
        )
        claim = await take_over(store, 1, "this incarnation")
        session = context.session = Session(
            sources, claim, SchedulerParameters(), context.log, NodeMetrics()
        )
        began = time.monotonic()

        async def stop_link():
            await anyio.sleep(stops_after_s)
            context.stopped_at = time.monotonic()
            link.cut_off_answers()

        async with anyio.create_task_group() as tasks:

            def ready():
                context.led_after_s = time.monotonic() - began
                tasks.cancel_scope.cancel()

            if stops_after_s is not None:
                tasks.start_soon(stop_link)
            await session.run(ready)
            context.gave_up_at = time.monotonic()
            tasks.cancel_scope.cancel()

    context.rig.run(script)


@when("a process takes over through the link")
def takes_over_through_link(context):
    take_over_through_link(context)


@when(
    "a process takes over through the link, which carries nothing after {seconds:g} second"
)
def takes_over_until(context, seconds):
    take_over_through_link(context, seconds)


@then("it leads with all jobs after at most {seconds:g} seconds")
def leads_with_all(context, seconds):
    assert context.led_after_s is not None, context.log.events
    assert context.log.single("took_over")["jobs"] == context.jobs
    assert context.led_after_s <= seconds, context.led_after_s


@then("it gives up {least:g} to {most:g} seconds after that")
def gives_up(context, least, most):
    assert context.led_after_s is None
    assert context.log.single("take_over_failed")["topic"] == JOBS_TOPIC
    took_s = context.gave_up_at - context.stopped_at
    assert least <= took_s <= most, took_s


def records_of(name, count, size):
    return [Record(f"{name}/{number}", bytes(size)) for number in range(count)]


@when("a leader writes {count:d} records of {size:d} bytes at once")
def writes_at_once(context, count, size):
    write_through_link(context, count, size, ("first",))


@when("a leader writes {count:d} records of {size:d} bytes at once, two times")
def writes_twice(context, count, size):
    write_through_link(context, count, size, ("first", "second"))


def write_through_link(context, count, size, names):
    context.took_s, context.repeats = [], []

    async def script(address, link):
        writing = context.writing = Writing(context.rig, address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writing.journal.run)
            tasks.start_soon(writing.watch)
            for name in names:
                before = writing.journal.repeats
                records = records_of(name, count, size)
                context.took_s.append(await writing.write(records))
                context.repeats.append(writing.journal.repeats - before)
            tasks.cancel_scope.cancel()

    context.rig.run(script)


@then("they are in the store within {seconds:g} seconds the first time")
def stored_within(context, seconds):
    assert context.took_s[0] <= seconds, context.took_s


@then("they are in the store within {seconds:g} seconds, each appended once")
def stored_once_within(context, seconds):
    assert context.took_s[0] <= seconds, context.took_s
    assert context.repeats[0] == 0, context.repeats


@then("the second time within {seconds:g} seconds, each appended once")
def stored_again_within(context, seconds):
    assert context.took_s[1] <= seconds, context.took_s
    assert context.repeats[1] == 0, context.repeats


@then(
    "it was confirmed at least every {pause:g} seconds, and never counted as without the "
    "store"
)
def confirmed_every(context, pause):
    assert 0.0 < context.writing.longest_pause_s <= pause, (
        context.writing.longest_pause_s
    )
    overdue_s = context.writing.overdue_s
    assert overdue_s <= STORE_UNAVAILABLE_AFTER_S, overdue_s


@when("it falls silent and a leader writes a record of {size:d} bytes")
def falls_silent(context, size):
    async def script(address, link):
        writing = Writing(context.rig, address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writing.journal.run)
            await writing.write(records_of("first", 1, size))
            link.cut_off_answers()
            writing.pending = records_of("second", 1, size)
            writing.journal.request_batch()
            began = time.monotonic()
            while True:
                since = writing.journal.status.waiting_since
                now = time.monotonic()
                if since is not None and now - since > STORE_UNAVAILABLE_AFTER_S:
                    break
                await anyio.sleep(0.005)
            context.noticed_s = now - began
            tasks.cancel_scope.cancel()

    context.rig.run(script)


@then("the leader counts as without the store after {least:g} to {most:g} seconds")
def counts_as_without(context, least, most):
    assert least <= context.noticed_s <= most, context.noticed_s


class LongBox:
    """Answers each call of a box as its tasks' checkpoints say; ``None`` for no answer."""

    def __init__(self, checkpoints):
        self.checkpoints = checkpoints
        self.started = []
        self.port = free_port()

    async def serve(self):
        server = await asyncio.start_server(self.connected, IP, self.port, limit=2**24)
        async with server:
            await server.serve_forever()

    async def connected(self, reader, writer):
        try:
            while True:
                await self.answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length: ")[2].split("\r\n")[0])
        body = json.loads(await reader.readexactly(length))
        if self.checkpoints is None:
            await anyio.sleep_forever()
        if "checkpoint" in body:
            self.started.append(len(body["checkpoint"]))
            answer = {"clock_ms": 1}
        else:
            running = [
                [f"00000000000000d1.0.0.{number}", 1, text, 0, 0]
                for number, text in enumerate(self.checkpoints)
            ]
            answer = {"clock_ms": 1, "running": running, "finished": []}
        content = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(content))
        writer.write(content)
        await writer.drain()


@given(
    "a box behind a link of {mbps:d} Mbit/s whose tasks have {count:d} checkpoints of "
    "{size:d} characters"
)
def long_box(context, mbps, count, size):
    context.rate = mbps * MBPS
    context.box = LongBox([f"{number}" * size for number in range(count)])


@given("a box behind a link of {mbps:d} Mbit/s that never answers")
def silent_box(context, mbps):
    context.rate = mbps * MBPS
    context.box = LongBox(None)


def call_box(context, call):
    async def main():
        link, port = ThinLink(context.rate), free_port()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.box.serve)
            tasks.start_soon(link.forward, (IP, port), (IP, context.box.port))
            await anyio.sleep(0.1)
            boxes = PlatformBoxes(Caller(link_bytes_per_s=context.rate), context.rate)
            began = time.monotonic()
            with anyio.fail_after(LIMIT_S):
                context.outcome = await call(boxes, f"{IP}:{port}")
            context.took_s = time.monotonic() - began
            tasks.cancel_scope.cancel()

    anyio.run(main)


@when("it is polled")
def polled(context):
    async def poll(boxes, address):
        return await boxes.poll("b1", address, 1, 0, 1000, 0)

    call_box(context, poll)


@when("a task with a checkpoint of {size:d} characters starts there")
def started(context, size):
    async def start(boxes, address):
        command = TaskCommand("b1", address, TASK, 2)
        return await boxes.start(command, 1, "spec", 1000, "c" * size, "")

    context.size = size
    call_box(context, start)


@then("all checkpoints are known")
def checkpoints_known(context):
    assert isinstance(context.outcome, PollResult), context.outcome
    known = [task.checkpoint for task in context.outcome.running]
    assert known == context.box.checkpoints


@then("the box has carried out the start")
def carried_out(context):
    assert isinstance(context.outcome, CommandAccepted), context.outcome
    assert context.box.started == [context.size], context.box.started


@then("it is silent after {least:g} to {most:g} seconds")
def is_silent(context, least, most):
    assert isinstance(context.outcome, BoxNoAnswer), context.outcome
    assert least <= context.took_s <= most, context.took_s


@when("the configuration has {size:d} bytes")
def long_config(context, size):
    async def script(address, link):
        model = context.rig.model
        start = model.end(CONFIG_TOPIC)
        model.append(CONFIG_TOPIC, [Record("config", bytes(size))], None)
        began = time.monotonic()
        store = context.rig.store(address)
        context.outcome = await store.read(CONFIG_TOPIC, start, 0.0)
        context.took_s = time.monotonic() - began

    context.rig.run(script)


@then("it is read within {seconds:g} seconds")
def config_read(context, seconds):
    assert isinstance(context.outcome, Records), context.outcome
    assert context.took_s <= seconds, context.took_s


class LongAnswers(LongBox):
    """Answers as the log and as a box of the project's own interface."""

    async def answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().partition("content-length: ")[2].split("\r\n")[0])
        await reader.readexactly(length)
        if "/exchange" in head:
            tasks = [
                {"task": f"t{number}", "attempt": 1, "epoch": 1, "state": "running"}
                | {"checkpoint": text}
                for number, text in enumerate(self.checkpoints)
            ]
            content = json.dumps({"results": [], "tasks": tasks}).encode()
        else:
            content = json.dumps(
                {"first": 0, "next": 0, "pad": self.checkpoints}
            ).encode()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(content))
        writer.write(content)
        await writer.drain()


@given(
    "a server behind a link of {mbps:d} Mbit/s that answers with {count:d} texts of "
    "{size:d} characters"
)
def long_answers(context, mbps, count, size):
    context.rate = mbps * MBPS
    context.box = LongAnswers([f"{number}" * size for number in range(count)])


@when("{what} is read from it")
def read_from_it(context, what):
    async def read(boxes, address):
        caller = Caller(link_bytes_per_s=context.rate)
        if what == "a box's report":
            return await BoxLink(address, caller).exchange(CommandBox("b", address, ()))
        return await LogClient(address, caller).read("s", 0, 0.0)

    call_box(context, read)


@then("all texts are known")
def texts_known(context):
    if isinstance(context.outcome, LogPage):
        assert context.took_s > 2.0, context.took_s
        return
    assert isinstance(context.outcome, BoxAnswered), context.outcome
    known = [task.checkpoint for task in context.outcome.report.tasks]
    assert known == context.box.checkpoints
