"""Steps of the scenarios about the records that a successor reads."""

import collections

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.interfaces import NumberTaken
from granitetrestle.nodelog import NodeLog
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import StateReader
from granitetrestle.succession import StateUnavailable
from granitetrestle.succession import take_over
from granitetrestle_standins.nativestore import StoreModel
from session_world import CountingModel
from session_world import LongPollStore
from session_world import SessionWorld
from session_world import StaleReadStore
from session_world import TruncatedReadStore

# Longer than a leader without news waits before it confirms its lease by an append.
IDLE_PAUSE_S = 0.6


@given("a store that counts only appends with records, and {boxes:d} boxes")
def plain_store(context, boxes):
    store = LongPollStore(StoreModel())
    context.world = SessionWorld(store, boxes, context.folder)


@given("a store that counts the numbers of empty appends, and {boxes:d} boxes")
def counting_store(context, boxes):
    store = LongPollStore(CountingModel())
    context.world = SessionWorld(store, boxes, context.folder)


@given(
    "a store that shows records as they were {behind:g} seconds ago, for {readings:d} "
    "reads, and {boxes:d} boxes"
)
def late_store(context, behind, readings, boxes):
    store = StaleReadStore(StoreModel(), behind, 0)
    context.world = SessionWorld(store, boxes, context.folder)
    context.readings = readings


@given(
    "a store that leaves out the last half of the records, for {readings:d} reads, "
    "and {boxes:d} boxes"
)
def short_store(context, readings, boxes):
    store = TruncatedReadStore(StoreModel(), 0)
    context.world = SessionWorld(store, boxes, context.folder)
    context.readings = readings


@when(
    "a leader runs jobs of {tasks:d} tasks with pauses between, is killed, and another "
    "process takes over"
)
def change_of_leader(context, tasks):
    world = context.world

    async def script():
        async with world.session(1) as session:
            for _ in range(3):
                await world.run_job(session, tasks)
                await anyio.sleep(IDLE_PAUSE_S)
            await world.run_job(session, tasks)
        world.store._readings = getattr(context, "readings", 0)
        async with world.session(2) as session:
            await anyio.sleep(1.5)
            await world.run_job(session, tasks)
            context.states = {
                job: workflow.state
                for job, workflow in session.scheduler.state.workflows.items()
            }

    anyio.run(script)


@when(
    "a process claims an epoch, runs {jobs:d} jobs of {tasks:d} tasks, is killed, and "
    "claims it again in a new incarnation"
)
def same_epoch(context, jobs, tasks):
    world = context.world

    async def script():
        async with world.session(1, "first incarnation") as session:
            for _ in range(jobs):
                await world.run_job(session, tasks)
        context.taken = await take_over(world.store, 1, "second incarnation")
        if isinstance(context.taken, EpochClaim):
            log = NodeLog(descriptor=2)
            context.read = await StateReader(world.store, context.taken, log).run()

    anyio.run(script)


@then("the new incarnation finds the epoch used, and does not lead in it")
def finds_epoch_used(context):
    if isinstance(context.taken, EpochClaim):
        assert isinstance(context.read, StateUnavailable), context.read
        assert "first incarnation" in context.read.reason
    else:
        assert isinstance(context.taken, NumberTaken), context.taken


@then("each task ran once, and the successor knows each job as completed")
def ran_once(context):
    world = context.world
    runs = collections.Counter(task for task, _, _ in world.boxes.runs())
    repeated = sorted(task for task, count in runs.items() if count > 1)
    assert not repeated, f"started again: {repeated}; {world.lines('append_not_kept')}"
    known = dict.fromkeys(world.completed, "completed")
    assert context.states == known, f"known: {context.states}, of {world.completed}"
