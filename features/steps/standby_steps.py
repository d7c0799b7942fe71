"""Steps of the scenarios on copies of the state that likely successors keep."""

import time
import unittest.mock

import anyio
from behave import given
from behave import then
from behave import when
from leadership_steps import status
from msgspec.structs import replace
from page_steps import RecordingLog
from page_steps import SilentBoxes
from page_steps import ended_record

from granitetrestle import standby
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import RecordsGone
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.leadership import Leadership
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import decode_directive
from granitetrestle.platform.store import BOX_TOPIC
from granitetrestle.platform.store import CONFIG_TOPIC
from granitetrestle.platform.store import PlatformStore
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.standby import Standby
from granitetrestle.statedigest import DigestTracker
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over

LATER = 5000


class Following:
    """A process that keeps a copy of the records.

    :ivar copy: the copy that was taken from it.
    """

    def __init__(self, caller):
        self.caller = caller
        self.store = PlatformStore("store", caller)
        self.log = RecordingLog()
        self.standby = Standby(self.store, JOBS_TOPIC, self.log)

    def run(self, script):
        """Run an async function while the copy is kept."""

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.standby.run)
                await script()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def wait_for_copy(self):
        self.standby.update(True, False)
        while not self.standby.following:
            await anyio.sleep(0.01)


def jobs_of(records):
    return sum(record.key.startswith("e/") for record in records)


@given("a process with a copy of them")
def process_with_copy(context):
    following = context.following = Following(context.caller)
    following.run(following.wait_for_copy)
    context.copy = following.standby.take()
    assert jobs_of(context.copy.newest.records) == context.count
    context.caller.requests_of_page.clear()


@given("a process with a copy of them that is one of the first successors")
def successor_with_copy(context):
    context.following = Following(context.caller)
    context.following.run(context.following.wait_for_copy)


@given("the copy lacks a record")
def lacks_record(context):
    del context.copy._records[ended_record(7).key]


@given("the copy has an earlier value")
def earlier_value(context):
    key = ended_record(7).key
    context.copy._records[key] = Record(key, b"earlier")


@given("the store has dropped its history")
def dropped_history(context):
    context.unreadable = RecordsGone()


@given("the store reads no records for long")
def reads_nothing(context):
    context.unreadable = StoreUnavailable("503")


def write_later(context, count, first=LATER):
    """Let a predecessor write further records and delete one."""
    model = context.caller.model
    known = model.newest(JOBS_TOPIC).records
    later = [ended_record(first + number) for number in range(count)]
    if first == LATER:
        later.append(Record(ended_record(3).key, None))
    model.append(JOBS_TOPIC, DigestTracker(known).with_digest(later), None)


def session_with_copy(context, claim):
    """Return a session of the process with the copy, which logs to the context."""
    store = context.following.store
    sources = Sources(
        store, SilentBoxes(), CONFIG_TOPIC, BOX_TOPIC, decode_directive, decode_entry
    )
    return Session(
        sources,
        claim,
        SchedulerParameters(),
        context.log,
        NodeMetrics(),
        copy=context.copy,
    )


@when("{count:d} records follow and one is deleted, and the process takes over")
def later_and_take_over(context, count):
    write_later(context, count)
    store = context.following.store
    if hasattr(context, "unreadable"):

        async def read(topic, start, wait_s):
            return context.unreadable

        store.read = read
    context.log = RecordingLog()

    async def run():
        claim = await take_over(store, 1, "this incarnation")
        session = session_with_copy(context, claim)
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:

                async def lead():
                    await session.run(tasks.cancel_scope.cancel)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(lead)

    anyio.run(run)


@then("it knows {count:d} jobs by its copy, and no page was requested for that")
def knows_by_copy(context, count):
    fields = context.log.single("took_over")
    assert (fields["jobs"], fields["standby"]) == (count, True), fields
    assert not context.caller.requests_of_page, context.caller.requests_of_page


@then('it knows {count:d} jobs by a read of all pages, and says "{event}"')
def knows_by_pages(context, count, event):
    fields = context.log.single("took_over")
    assert (fields["jobs"], fields["standby"]) == (count, False), fields
    assert context.log.single(event)
    # Two records beside those of the jobs, on pages of 50.
    pages = -(-(count + 2) // 50)
    assert context.caller.requests_of_page.total() == pages


@when("it claims an epoch, and another process claims a newer one")
def claims_twice(context):
    store = context.following.store
    context.log = RecordingLog()

    async def run():
        claim = await take_over(store, 1, "this incarnation")
        await take_over(store, 2, "another incarnation")
        session = session_with_copy(context, claim)
        context.led = False

        def lead():
            context.led = True

        await session.run(lead)

    anyio.run(run)


@then("the first doesn't lead, and no page was requested for that")
def first_does_not_lead(context):
    assert not context.led
    assert "over" in str(context.log.events), context.log.events
    assert not context.caller.requests_of_page, context.caller.requests_of_page


@when("{count:d} records follow and one is deleted")
def later(context, count):
    write_later(context, count)


@when("the store drops its history, and {count:d} records follow")
def dropped_then_later(context, count):
    write_later(context, count, first=2 * LATER)
    context.caller.model.drop_history(JOBS_TOPIC)


@then("within {seconds:g} seconds the copy has {count:d} jobs")
def copy_has(context, seconds, count):
    following = context.following
    began = time.monotonic()

    def known():
        copy = following.standby._copy
        return jobs_of(copy.newest.records) if copy else None

    async def wait():
        while known() != count and time.monotonic() - began < seconds:
            following.standby.update(True, False)
            await anyio.sleep(0.02)

    following.run(wait)
    assert known() == count, known()


@when("it is none of them for longer than copies are kept")
def no_successor(context):
    following = context.following

    async def wait():
        following.standby.update(True, False)
        began = time.monotonic()
        while following.standby.following and time.monotonic() - began < 3.0:
            following.standby.update(False, False)
            await anyio.sleep(0.02)

    with unittest.mock.patch.object(standby, "KEEP_S", 0.1):
        following.run(wait)


@then("it has no copy")
def has_no_copy(context):
    assert not context.following.standby.following


@given("a leader with {count:d} processes in each of {halls:d} data halls")
def leader_with_halls(context, count, halls):
    names = [f"h{hall}-{number}" for hall in range(halls) for number in range(count)]
    context.processes = {name: Leadership(name, 0.0, 0.5) for name in names}
    leader = context.processes[names[0]] = Leadership(names[0], 0.0, 0.5, "h0")
    for name in names[1:]:
        report = replace(status(name, 5, names[0]), hall=name.partition("-")[0])
        leader.record_report(report, 10.0)
    report = status(names[0], 5, names[0], leader.rank_successors(10.1))
    for name in names[1:]:
        context.processes[name].record_report(report, 10.2)


@then("exactly {count:d} of them keep a copy, in the other data halls")
def keep_copies(context, count):
    likely = [n for n, p in context.processes.items() if p.is_likely_successor]
    halls = {name.partition("-")[0] for name in likely}
    assert len(likely) == count and halls == {"h1", "h2"}, likely
