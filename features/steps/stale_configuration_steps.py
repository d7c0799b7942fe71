"""Steps for configurations that may be out of date."""

import json
import time

import anyio
from behave import then
from behave import when

from granitetrestle import steadyclock
from granitetrestle.feeds import OperatorFeed
from granitetrestle.feeds import Sources
from granitetrestle.forwarding import ClientCall
from granitetrestle.interfaces import NewestRecords
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.jobcalls import NoSuchJob
from granitetrestle.platform import front
from granitetrestle.platform.server import FrontResponder
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters

ROUTE = {"name": "a", "host": "h", "path_prefix": "/a/", "service": "pool"}
LATER = {"name": "b", "host": "h", "path_prefix": "/b/", "service": "pool"}
LONGER = {"name": "c", "host": "h", "path_prefix": "/a/c/", "service": "pool"}


def record(version, *routes):
    config = {"version": version, "routes": routes, "services": [{"name": "pool"}]}
    return Record("config", json.dumps(config).encode())


class Quiet:
    def event(self, event, /, **fields):
        """See :class:`.nodelog.NodeLog`."""


class HeldStore:
    """A store whose answers to reads come when the test says so."""

    def __init__(self):
        self.waits = []
        self.released = anyio.Event()

    async def read(self, topic, start, wait_s):
        """See :class:`.interfaces.Store`."""
        self.waits.append(wait_s)
        released = self.released
        await released.wait()
        return Records((), start)

    async def release(self):
        """Answer the open read, and let its reader handle the answer."""
        self.released.set()
        self.released = anyio.Event()
        for _ in range(5):
            await anyio.sleep(0)


def feed_of(store):
    scheduler = Scheduler(SchedulerParameters(), time.monotonic())
    sources = Sources(store, None, "op", "boxes", front.decode_directive, None)
    return OperatorFeed(sources, scheduler, lambda decisions: None, Quiet())


async def followed(context, late_s, loaded_s_ago):
    store = context.store = HeldStore()
    feed = feed_of(store)
    newest = NewestRecords((record(1, ROUTE),), 1)
    if loaded_s_ago:
        feed.load(newest, steadyclock.now() - loaded_s_ago)
    else:
        feed.load(newest)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(feed.follow)
        await anyio.sleep(0.01)
        if late_s:
            # The first read is answered at once, the next one when the machine wakes.
            await store.release()
            assert feed.fresh
            await anyio.sleep(late_s)
            await store.release()
        context.fresh = [feed.fresh]
        await store.release()
        context.fresh.append(feed.fresh)
        tasks.cancel_scope.cancel()


@when("a leader that stands still handles the answer to its read 3 seconds late")
def late_answer(context):
    anyio.run(followed, context, 3.0, 0.0)


@when("a leader loads a configuration that was read 2 seconds ago, and follows it")
def late_load(context):
    anyio.run(followed, context, 0.0, 2.0)


@then("its configuration is not fresh, until the next read is answered")
def not_fresh(context):
    assert context.fresh == [False, True], (context.fresh, context.store.waits)


@then("that read did not wait for a record")
def did_not_wait(context):
    assert context.store.waits[0] == 0.0, context.store.waits


class SlowStore:
    """A store whose answers take half a second, beside the wait for a record."""

    async def read(self, topic, start, wait_s):
        """See :class:`.interfaces.Store`."""
        await anyio.sleep(wait_s + 0.5)
        return Records((), start)


@when("a leader follows the configuration of such a store for {seconds:d} seconds")
def slow_store(context, seconds):
    async def follow():
        feed = feed_of(SlowStore())
        feed.load(NewestRecords((record(1, ROUTE),), 1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(feed.follow)
            for _ in range(seconds * 100):
                await anyio.sleep(0.01)
                context.fresh.append(feed.fresh)
            tasks.cancel_scope.cancel()

    context.fresh = []
    anyio.run(follow)


@then("its configuration was fresh all the time")
def fresh_all_the_time(context):
    assert all(context.fresh), context.fresh.count(False)


class Leading:
    """A session in which a configuration comes into force during the confirmation."""

    over = False
    serving = True
    store_unavailable = False
    retry_after_s = 1

    def __init__(self, before, after):
        self.config, self._after = before, after
        self.scheduler = Scheduler(SchedulerParameters(), 0.0)

    async def confirm(self):
        """See :class:`.session.Session`."""
        await anyio.sleep(0)
        self.config = self._after
        return True

    async def call(self, request, call):
        """See :class:`.session.Session`."""
        return NoSuchJob()


@when("a request {what} waits, and a configuration with its queue comes into force")
def waits(context, what):
    path = "/b/" if what == "for a job's state" else "/a/c/"
    before = front.decode_directive(record(1, ROUTE))
    after = front.decode_directive(record(2, ROUTE, LATER, LONGER))
    call = ClientCall("GET", "h", f"{path}{'0' * 16}", b"")
    session = Leading(before, after)
    context.answer = anyio.run(FrontResponder().answer, session, "r", call)


@then("its answer is {status:d}")
def answered(context, status):
    assert context.answer.status == status, context.answer
