"""Steps of the scenarios about the interpretations of the store's specification. The
journal and the scheduler are the real ones; the store is a model."""

import random
import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle.journal import Journal
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle.workflows import Step
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import OutOfSequence
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardworld import ShardWorld
from granitetrestle_standins.storereadings import READINGS

TEST_TOPIC = "keyed.t"
RECORD = Record("p/1", b"x")
ONE_TASK = (Step(1, 500, 100, 0, 300),)


@given(
    "a writer that appended nothing under number 2, on a store with the reading "
    '"{name}"'
)
def appended_nothing(context, name):
    context.model = StoreModel(READINGS[name])
    context.model.append(TEST_TOPIC, (), Writer(1, 1))
    context.model.append(TEST_TOPIC, (), Writer(1, 2))


@when("it appends a record under number 2")
def appends_record(context):
    context.answer = context.model.append(TEST_TOPIC, [RECORD], Writer(1, 2))


@then("the store answered that it ends at {end:d}, and holds {count:d} records")
def answered(context, end, count):
    assert context.answer == Appended(end), context.answer
    assert len(context.model.topics[TEST_TOPIC]) == count


@given('a store with the reading "{name}" and {count:d} keys')
def keys(context, name, count):
    context.model = StoreModel(READINGS[name], random.Random(3))
    context.keys = [f"k{number:02d}" for number in range(count)]
    write_all(context, b"old")


def write_all(context, value):
    records = [Record(key, value) for key in context.keys]
    context.model.append(TEST_TOPIC, records, None)


@when("every key changes after the first page was read")
def all_change(context):
    page = context.model.page(TEST_TOPIC, "")
    context.first = page.records
    context.later = []
    write_all(context, b"new")
    while page.more:
        page = context.model.page(TEST_TOPIC, page.records[-1].key)
        context.later += page.records


@then("the first page is old, and later pages show old and new values")
def old_and_new(context):
    assert [record.value for record in context.first] == [b"old"] * 2
    seen = [record.key for record in (*context.first, *context.later)]
    assert seen == context.keys, seen
    assert {record.value for record in context.later} == {b"old", b"new"}


@given(
    "a store on which an append under number 2 got no answer and is carried out later"
)
def late_append(context):
    context.model = StoreModel(READINGS["late"])
    context.model.append(TEST_TOPIC, (), Writer(1, 1))
    context.model.append_later(1.5, TEST_TOPIC, [RECORD], Writer(1, 2))


@when("{before}, and then the late append is due")
def late_append_due(context, before):
    context.model.tick(1.4)
    assert context.model.end(TEST_TOPIC) == 0
    if before == "the same append is retried":
        context.model.append(TEST_TOPIC, [RECORD], Writer(1, 2))
    elif before == "a newer epoch begins":
        context.model.append(TEST_TOPIC, (), Writer(2, 1))
    context.model.tick(1.6)


@then("the store holds {count:d} records of it")
def holds(context, count):
    assert context.model.topics[TEST_TOPIC] == [RECORD] * count


@given("a writer that appended records under the numbers 2 to 9")
def appended_many(context):
    context.model = StoreModel()
    for number in range(2, 10):
        context.model.append(TEST_TOPIC, [RECORD], Writer(1, number))


@when("it repeats the numbers 5 and 4")
def repeats(context):
    context.answers = [
        context.model.append(TEST_TOPIC, [RECORD], Writer(1, number))
        for number in (5, 4)
    ]


@then(
    "5 gets its first answer again, and 4 is answered with the expected number, "
    "{wanted:d}"
)
def repeats_answered(context, wanted):
    assert context.answers == [Appended(4), OutOfSequence(wanted)], context.answers
    assert len(context.model.topics[TEST_TOPIC]) == 8


@given("a journal on a store where an empty append takes its number")
def journal(context):
    context.model = StoreModel(READINGS["numbered"])
    context.model.append(TEST_TOPIC, (), Writer(1, 1))


@when(
    "it only confirms its epoch for a while, and then a decision is written and "
    "released"
)
def confirms_and_writes(context):
    context.released = []
    due = []

    def pop_due():
        popped = list(due)
        due.clear()
        return popped

    async def play():
        journal = Journal(
            MemoryStore(context.model),
            TEST_TOPIC,
            1,
            pop_due,
            context.released.extend,
            time.monotonic,
            lambda reason, waiting_s: None,
        )
        with anyio.move_on_after(3.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                # Long enough for a confirmation by an empty append.
                await anyio.sleep(1.0)
                due.append(RECORD)
                journal.hold("effect")
                while not context.released:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(play)


@then("the store holds the released decision")
def decision_held(context):
    assert context.released == ["effect"], context.released
    held = [r for r in context.model.topics[TEST_TOPIC] if r.key != DIGEST_KEY]
    assert held == [RECORD], f"released, and the store holds {held}"


@given("a model world whose store gives empty appends numbers")
def numbered_world(context):
    context.world = ShardWorld(7, 3, reading=READINGS["numbered"])


@when("a job is accepted after a second without news, and another process takes over")
def accepted_then_taken_over(context):
    world = context.world
    world.advance(1.0)
    context.job = world.submit(ONE_TASK)
    world.advance(0.2)
    assert context.job in world.accepted
    world.kill()
    world.take_over()


@then("the successor knows the job")
def successor_knows(context):
    known = context.world.leader.scheduler.state.workflows
    assert context.job in known, f"accepted, and the successor knows {list(known)}"
