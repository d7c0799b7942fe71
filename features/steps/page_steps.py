"""Steps of the scenarios about a store that returns its newest records in pages."""

import collections
import gc
import json
import random
import time
import urllib.parse
import weakref

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.calls import Reply
from granitetrestle.interfaces import BoxCalls
from granitetrestle.interfaces import NewestRecords
from granitetrestle.interfaces import Record
from granitetrestle.newestread import read_newest
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import decode_directive
from granitetrestle.platform.store import BOX_TOPIC
from granitetrestle.platform.store import CONFIG_TOPIC
from granitetrestle.platform.store import PlatformStore
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle.workflows import STARTING
from granitetrestle_bench.takeover import BOXES
from granitetrestle_bench.takeover import Filling
from granitetrestle_standins.nativeplatform import StoreServer
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.storereadings import PLAIN

# The record of a completed job, in MessagePack.
ENDED = b"\x92\xa9completed\xa4work"
TAKE_OVER_TIMEOUT_S = 30.0


def ended_record(number):
    return Record(f"e/{number:016x}", ENDED)


class PagedCaller(Caller):
    """Calls a model of the store without a connection, and counts requested job pages.

    :ivar page_changes: page number -> function that changes the answer.
    :ivar requests_of_page: page number -> number of requests.
    """

    def __init__(self, count, size):
        super().__init__()
        self.model = StoreModel(PLAIN._replace(page_size=size))
        self.server = StoreServer(self.model, random.Random(1))
        self.page_changes = {}
        self.requests_of_page = collections.Counter()
        ended = [ended_record(n) for n in range(count)]
        written = [
            *DigestTracker().with_digest(ended),
            EpochClaim.record(0, "a predecessor"),
        ]
        self.model.append(JOBS_TOPIC, written, None)
        keys = sorted(record.key for record in written)
        self.last_keys = [
            keys[min(len(keys), first + size) - 1]
            for first in range(0, len(keys), size)
        ]
        self.pages = len(self.last_keys)

    async def call(self, address, path, headers=(), body=b"", *args, **options):
        route, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        # Like a real call, lets other tasks run before the store answers.
        await anyio.sleep(0.001)
        reply = await self.server.handle(route, query, body)
        if route == "/api/log-newest" and query["topic"] == JOBS_TOPIC:
            number = self._number(query.get("depends_on"))
            self.requests_of_page[number] += 1
            reply = self.page_changes.get(number, lambda reply: reply)(reply)
        return Reply(reply.status, (), reply.body)

    def _number(self, after):
        """Return the number of the page after a key; all pages beyond the first records
        count as one."""
        if after is None:
            return 0
        known = after in self.last_keys
        return self.last_keys.index(after) + 1 if known else self.pages


class RecordingLog:
    """Keeps the events that a session logs."""

    def __init__(self):
        self.events = []

    def event(self, event, /, **fields):
        self.events.append((event, fields))

    def single(self, wanted):
        (fields,) = [fields for event, fields in self.events if event == wanted]
        return fields


class FailingPage:
    """Refuses a page the given number of times."""

    def __init__(self, times):
        self.times = times

    def __call__(self, reply):
        self.times -= 1
        return Reply(503, (), b"{}") if self.times >= 0 else reply


def ending_with(key):
    def change(reply):
        page = json.loads(reply.body)
        page["items"][-1]["key"] = key
        return Reply(200, (), json.dumps(page).encode())

    return change


def empty_page(reply):
    page = {**json.loads(reply.body), "items": [], "more": True}
    return Reply(200, (), json.dumps(page).encode())


@given("a store with {count:d} records of ended jobs on pages of {size:d}")
def paged_store(context, count, size):
    context.count = count
    context.caller = PagedCaller(count, size)


@given("a fourth page that {what}")
def fourth_page(context, what):
    keys = context.caller.last_keys
    changes = {
        "ends with the third's key": ending_with(keys[2]),
        "ends with the first's key": ending_with(keys[0]),
        "is empty, with more to come": empty_page,
    }
    context.caller.page_changes[3] = changes[what]


@given("its fourth page fails {times:d} times")
def fourth_fails(context, times):
    context.caller.page_changes[3] = FailingPage(times)


@given("its fourth page fails {fourth:d} times, and its seventh {seventh:d} times")
def two_fail(context, fourth, seventh):
    context.caller.page_changes[3] = FailingPage(fourth)
    context.caller.page_changes[6] = FailingPage(seventh)
    context.refused = {3: fourth, 6: seventh}


@given("a store with the records of {tasks:d} running tasks on {boxes:d} boxes")
def running_store(context, tasks, boxes):
    context.caller = caller = PagedCaller(0, 500)
    filling = Filling(caller.model, boxes / BOXES, seed=1)
    filling.fill(ended=500)
    assert filling.boxes == boxes


class SilentBoxes(BoxCalls):
    """Boxes that never answer."""

    async def poll(self, *args):
        await anyio.sleep_forever()

    start = stop = pace = poll


class LoopWatch:
    """Measures the processor time between two turns of the event loop.

    :ivar longest_s: longest such time in seconds.
    """

    def __init__(self):
        self.longest_s = 0.0
        self.last = time.process_time()

    def record_turn(self):
        now = time.process_time()
        self.longest_s = max(self.longest_s, now - self.last)
        self.last = now

    async def run(self):
        while True:
            self.record_turn()
            await anyio.sleep(0.005)


@when("a process takes over")
def takes_over(context):
    context.log = RecordingLog()
    context.loop_watch = LoopWatch()
    store = PlatformStore("store", context.caller)
    boxes = SilentBoxes()
    sources = Sources(
        store, boxes, CONFIG_TOPIC, BOX_TOPIC, decode_directive, decode_entry
    )

    async def run():
        claim = await take_over(store, 1, "this incarnation")
        session = context.session = Session(
            sources, claim, SchedulerParameters(), context.log, NodeMetrics()
        )
        with anyio.fail_after(TAKE_OVER_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:

                def ready():
                    context.loop_watch.record_turn()
                    started_at = time.process_time()
                    gc.collect()
                    context.collecting_s = time.process_time() - started_at
                    tasks.cancel_scope.cancel()

                async def decide():
                    await session.run(ready)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(context.loop_watch.run)
                tasks.start_soon(decide)

    anyio.run(run)


@then("it knows all jobs, and requested each page once")
def knows_all(context):
    context.refused = {}
    knows_all_but_failed(context)


@then("it knows all jobs, and requested each page once except for those that failed")
def knows_all_but_failed(context):
    assert context.log.single("took_over")["jobs"] == context.count
    caller = context.caller
    wanted = {n: 1 + context.refused.get(n, 0) for n in range(caller.pages)}
    assert dict(caller.requests_of_page) == wanted, caller.requests_of_page


@then(
    "it knows {count:d} running tasks and never blocked its event loop for more than "
    "{seconds:g} seconds"
)
def never_long(context, count, seconds):
    workflows = context.session.scheduler.state.workflows.values()
    running = [
        task
        for workflow in workflows
        for task in workflow.tasks.values()
        if task.box and task.state == STARTING
    ]
    # The last job of a kind may have some more tasks.
    assert count <= len(running) < count + 200, len(running)
    assert context.loop_watch.longest_s <= seconds, (
        "at once",
        context.loop_watch.longest_s,
    )


@then("the garbage collection afterwards took at most {seconds:g} seconds")
def collecting(context, seconds):
    assert context.collecting_s <= seconds, ("collecting", context.collecting_s)


@when("it is deposed")
def deposed(context):
    state = context.session.scheduler.state
    tasks = [t for w in state.workflows.values() for t in w.tasks.values()]
    assert len(tasks) >= 1000, len(tasks)
    known = [state, *state.workflows.values(), *state.boxes.values()]
    context.known = [weakref.ref(each) for each in known]
    context.session = None


@then("none of its state is left")
def nothing_left(context):
    gc.collect()
    assert not any(ref() for ref in context.known)


@then('that fails for "{why}", after {pages:d} pages with {records:d} records')
def fails_for(context, why, pages, records):
    fields = context.log.single("take_over_failed")
    assert why in fields["reason"], fields
    assert fields["topic"] == JOBS_TOPIC, fields
    assert (fields["pages"], fields["records"]) == (pages, records), fields


@then("{times:d} pages were requested from the store")
def requested_pages(context, times):
    assert context.caller.requests_of_page.total() == times, (
        context.caller.requests_of_page
    )


@when("all newest records are read, while a record is added with each page")
def read_while_added(context):
    caller = context.caller
    failing_page = caller.page_changes[3]

    def adding(number):
        def change(reply):
            caller.model.append(JOBS_TOPIC, [ended_record(1000 + number)], None)
            return failing_page(reply) if number == 3 else reply

        return change

    caller.page_changes = {number: adding(number) for number in range(caller.pages)}
    context.end = caller.model.end(JOBS_TOPIC)
    store = PlatformStore("store", caller)
    context.newest = anyio.run(read_newest, store, JOBS_TOPIC)


@then("changes are read from the end offset of the first page")
def goes_on_from_first(context):
    newest = context.newest
    assert isinstance(newest, NewestRecords), newest
    assert newest.end == context.end, newest.end
    keys = [record.key for record in newest.records]
    assert len(keys) == len(set(keys)), keys
    assert {ended_record(n).key for n in range(context.count)} <= set(keys), keys


@when("records of ended jobs fill {pages:d} pages and the leader is killed")
def fill_and_kill(context, pages):
    cluster = context.cluster
    context.ended = pages * 2
    value = "kqljb21wbGV0ZWSkd29yaw=="
    for number in range(context.ended):
        key = urllib.parse.quote(ended_record(number + 1).key)
        cluster.store(f"/test/write?topic={JOBS_TOPIC}&key={key}&value={value}")
    cluster.kill(cluster.leader())


@then(
    "another process takes over with all of them within {seconds:g} seconds, "
    "and a job completes"
)
def other_takes_over(context, seconds):
    cluster = context.cluster
    (name,) = [n for n in cluster.nodes() if cluster.processes[n].poll() is None]

    def took_over():
        return [line for line in cluster.log(name) if line["event"] == "took_over"]

    (line,) = cluster.wait(took_over, "another leader", seconds)
    assert line["jobs"] == context.ended, line
    job = "00000000000000f1"
    cluster.submit(job, [{"count": 2, "cpu": 1000, "mem_mb": 100}], name)
    cluster.wait(lambda: cluster.state(job, name) == "completed", job)
