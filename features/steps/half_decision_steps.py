"""Steps of the scenarios on leaders that fail half way through a decision."""

import unittest.mock

import anyio
from behave import given
from behave import then
from behave import when
from failing_leader_steps import BAD
from failing_leader_steps import OTHERS
from failing_leader_steps import UnforeseenError
from failing_leader_steps import submission

from granitetrestle.dispatch import Dispatcher
from granitetrestle.fleet import Fleet
from granitetrestle.forwarding import Deposed
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle_standins.nativestore import StoreModel
from session_world import LongPollStore
from session_world import SessionWorld

# Longer than a leader's journal waits between batches.
PAUSE_S = 0.1


@given("a leader that has taken another job")
def leader_about_to_write(context):
    context.world = SessionWorld(LongPollStore(StoreModel()), 1, context.folder)
    context.has_failed = False
    context.known = set()


async def submit(session, job):
    """Submit a job; no answer is given if the leader fails."""
    try:
        await session.call(f"r{job}", SubmitJob(submission(job)))
    except Deposed:
        return


async def submit_both(session):
    """Submit two jobs in one turn of the loop: the first wakes the journal."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(submit, session, OTHERS[1])
        tasks.start_soon(submit, session, BAD)


async def submit_in_poll(session):
    """Submit two jobs while a poll is handled: the first wakes the journal."""

    def handle_poll_outcome(fleet, *_):
        session.scheduler.handle_call("a", SubmitJob(submission(OTHERS[1])), 0.0)
        session._journal.request_batch()
        session.scheduler.handle_call("b", SubmitJob(submission(BAD)), 0.0)

    with unittest.mock.patch.object(Fleet, "handle_poll_outcome", handle_poll_outcome):
        while not session.over:
            await anyio.sleep(PAUSE_S)


SOURCES = {"a client account": submit_both, "a poll of a box": submit_in_poll}


@when("it fails half way through a job that it gets from {source}")
def fails_half_way(context, source):
    record_submission = Dispatcher.record_submission

    def fail_half_way(dispatcher, workflow):
        record_submission(dispatcher, workflow)
        if workflow.submission.job == BAD:
            context.has_failed = True
            raise UnforeseenError(BAD)

    async def run():
        with unittest.mock.patch.object(Dispatcher, "record_submission", fail_half_way):
            async with context.world.session(1) as session:
                await submit(session, OTHERS[0])
                await anyio.sleep(PAUSE_S)
                await SOURCES[source](session)
                await anyio.sleep(PAUSE_S)

    async def take_over():
        async with context.world.session(2) as session:
            context.known = set(session.scheduler.state.workflows)

    try:
        anyio.run(run)
    except* UnforeseenError:
        pass
    assert context.has_failed
    anyio.run(take_over)


@then("the store holds nothing of that job, and only the other one after a take-over")
def nothing_of_it(context):
    records = context.world.store.model.topics[JOBS_TOPIC]
    assert not [record.key for record in records if BAD in record.key], records
    assert context.known == {OTHERS[0]}, context.known
