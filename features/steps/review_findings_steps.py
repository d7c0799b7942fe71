"""Steps of the scenarios on what a leader verifies before it relies on it."""

import collections
import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import PaceTask
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopPolling
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import NewestRecords
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.scheduler import Scheduler
from granitetrestle.session import Session
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import StateReader
from granitetrestle.succession import take_over
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativestore import StoreModel
from session_world import CONFIG
from session_world import PARAMETERS
from session_world import LongPollStore
from session_world import SessionWorld

# The most ends that a box lists in one answer.
MAX_ENDS_LISTED = 500
# Delay of a poll on its way to a box.
POLL_DELAY_S = 0.003


def read_refused(newest_read, log):
    return StoreUnavailable("503", not_applied=True)


def without_tasks(newest_read, log):
    """Leave out the records of tasks, and of the progress of jobs."""
    kept = (r for r in newest_read.records if r.key[:2] not in ("t/", "p/"))
    return newest_read._replace(records=tuple(kept))


def without_digest(newest_read, log):
    """Leave out the state digest as well."""
    records = tuple(
        r for r in without_tasks(newest_read, log).records if r.key != DIGEST_KEY
    )
    return newest_read._replace(records=records)


def with_first_values(newest_read, log):
    """Show the first value of each task's record in place of the newest."""
    first = {r.key: r for r in reversed(log) if r.value and r.key.startswith("t/")}
    records = tuple(first.get(r.key, r) for r in newest_read.records)
    return newest_read._replace(records=records)


FAULTY_READS = {
    "11 refusals, then 1 without tasks": [*[read_refused] * 11, without_tasks],
    "15 without tasks": [without_tasks] * 15,
    "3 without tasks and without the digest": [without_digest] * 3,
    "3 with tasks as they were at first": [with_first_values] * 3,
}


class FaultyReadStore(LongPollStore):
    """Answers the first reads of a successor with the faults in ``_faulty_reads``."""

    _faulty_reads = ()

    async def newest_page(self, topic, after, timeout_s):
        """See :meth:`LongPollStore.newest_page`."""
        newest_read = await super().newest_page(topic, after, timeout_s)
        if topic != JOBS_TOPIC or not self._faulty_reads:
            return newest_read
        first, *self._faulty_reads = self._faulty_reads
        return first(newest_read, self.model.topics[topic])


class UnansweredReadStore(LongPollStore):
    """Gives no answer to reads of the jobs."""

    async def newest_page(self, topic, after, timeout_s):
        """See :meth:`LongPollStore.newest_page`."""
        if topic != JOBS_TOPIC:
            return await super().newest_page(topic, after, timeout_s)
        await anyio.sleep(timeout_s)
        return StoreUnavailable("no answer")


class StoreLostAfterTasks(LongPollStore):
    """Delays the first append with tasks in it, and answers none after that."""

    def __init__(self, model, took_s):
        super().__init__(model)
        self._took_s = took_s
        self._last = None

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`LongPollStore.append`."""
        if topic != JOBS_TOPIC or writer is None:
            return await super().append(topic, records, writer, timeout_s)
        if self._last is None and any(r.key.startswith("t/") for r in records):
            self._last = writer.sequence
        if self._last is None:
            return await super().append(topic, records, writer, timeout_s)
        if writer.sequence > self._last:
            await anyio.sleep(timeout_s)
            return StoreUnavailable("no answer")
        await anyio.sleep(self._took_s)
        return await super().append(topic, records, writer, timeout_s)


class SlowStore(LongPollStore):
    """Delays each append of a leader."""

    def __init__(self, model, took_s):
        super().__init__(model)
        self._took_s = took_s

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`LongPollStore.append`."""
        if writer is not None:
            await anyio.sleep(self._took_s)
        return await super().append(topic, records, writer, timeout_s)


def submission(tasks, cpu):
    step = Step(count=tasks, cpu=cpu, memory_mb=1, estimate_ms=200)
    return Submission("1".rjust(16, "0"), "q", "pool", "s", (step,))


@given(
    "{boxes:d} boxes, and a store that answers the first reads of a successor with "
    "{faulty_reads}"
)
def faulty_read_store(context, boxes, faulty_reads):
    context.world = SessionWorld(FaultyReadStore(StoreModel()), boxes, context.folder)
    context.faulty_reads = FAULTY_READS[faulty_reads]


@when(
    "a leader runs {jobs:d} jobs of {tasks:d} tasks one after the other, is killed, "
    "and another takes over"
)
def leader_replaced_after_jobs(context, jobs, tasks):
    world = context.world

    async def script():
        # Shorter than the time for which the details of ended jobs are kept.
        async with world.session(1) as session:
            for _ in range(jobs):
                await world.run_job(session, tasks)
        world.store._faulty_reads = context.faulty_reads
        async with world.session(2) as session:
            await anyio.sleep(1.5)
            context.states = {
                job: workflow.state
                for job, workflow in session.scheduler.state.workflows.items()
            }

    anyio.run(script)


@when(
    "a leader has completed the first {tasks:d} tasks of a job and started the last, "
    "is killed, and another takes over"
)
def leader_replaced_during_job(context, tasks):
    world = context.world
    first = Step(count=tasks, cpu=500, memory_mb=1, estimate_ms=200)
    last = Step(count=1, cpu=500, memory_mb=1, estimate_ms=200, depends_on=(0,))
    job = Submission("1".rjust(16, "0"), "q", "pool", "s", (first, last))

    async def script():
        async with world.session(1) as session:
            await session.call("r", SubmitJob(job))
            with anyio.fail_after(5.0):
                while len(world.boxes.runs()) <= tasks:
                    await anyio.sleep(0.005)
            await session.drain()
        world.store._faulty_reads = context.faulty_reads
        async with world.session(2):
            await anyio.sleep(1.5)

    anyio.run(script)


@then("each of the first {tasks:d} tasks ran once")
def first_ran_once(context, tasks):
    runs = collections.Counter(task for task, _, _ in context.world.boxes.runs())
    first = {task: n for task, n in runs.items() if task.split(".")[2] == "0"}
    assert len(first) == tasks, first
    again = sorted(task for task, count in first.items() if count > 1)
    assert not again, f"started again: {again}"


@when(
    "a process claims an epoch, and another claims a newer one before the first "
    "has read"
)
def newer_epoch_claimed(context):
    store = context.world.store

    async def script():
        epoch_claim = await take_over(store, 1, "first")
        await take_over(store, 2, "second")
        started_at = time.monotonic()
        context.outcome = await StateReader(
            store, epoch_claim, NodeLog(descriptor=2)
        ).run()
        context.took_s = time.monotonic() - started_at

    anyio.run(script)


@then("the first process ends its attempt within {seconds:g} second")
def attempt_ends(context, seconds):
    assert not isinstance(context.outcome, NewestRecords), context.outcome
    assert context.took_s < seconds, f"{context.took_s:.2f} s: {context.outcome}"


@given(
    "a store that does not answer a process from when it claimed an epoch, and "
    "{boxes:d} boxes"
)
def unanswered_read_store(context, boxes):
    context.world = SessionWorld(
        UnansweredReadStore(StoreModel()), boxes, context.folder
    )


@when("that process starts to lead")
def session_starts(context):
    world = context.world

    async def script():
        epoch_claim = await take_over(world.store, 1, "life")
        log = NodeLog(descriptor=2)
        session = Session(world._sources, epoch_claim, PARAMETERS, log, NodeMetrics())
        with anyio.move_on_after(6.0):
            context.started_at = time.monotonic()
            await session.run(lambda: None)
            context.took_s = time.monotonic() - context.started_at
            return
        context.took_s = None

    anyio.run(script)


@then("it ends its attempt within {seconds:g} seconds")
def session_ends(context, seconds):
    assert context.took_s is not None, "its attempt has not ended after 6 s"
    assert context.took_s < seconds, context.took_s


@given("a box that lists 500 ends at a time")
def listing_box(context):
    context.world = SessionWorld(LongPollStore(StoreModel()), 1, context.folder)
    model = context.world.boxes.models["b0"]
    poll = model.poll

    def limited_poll(*args):
        outcome = poll(*args)
        ended = getattr(outcome, "ended", ())
        return outcome._replace(ended=ended[:MAX_ENDS_LISTED]) if ended else outcome

    model.poll = limited_poll


@when(
    "a leader starts {tasks:d} short tasks there and is killed, and another takes over"
)
def killed_after_starts(context, tasks):
    world = context.world
    job = submission(tasks, 10)

    async def script():
        async with world.session(1) as session:
            await session.call("r", SubmitJob(job))
            with anyio.fail_after(15.0):
                while len(world.boxes.runs()) < tasks:
                    await anyio.sleep(0.005)
        # All end before the successor's first poll.
        await anyio.sleep(0.7)
        async with world.session(2) as session:
            with anyio.fail_after(15.0):
                while session.scheduler.state.workflows[job.job].state != "completed":
                    await anyio.sleep(0.01)

    model = world.boxes.models["b0"]
    poll = world.boxes.poll

    async def poll_after_take_over(incarnation, address, token, *rest):
        # The first leader sees no ends, so that it records none.
        if token == 1:
            poll_result = model.poll(0, rest[1], token, time.monotonic())
            await anyio.sleep(0.05)
            return poll_result
        await anyio.sleep(POLL_DELAY_S)
        return await poll(incarnation, address, token, *rest)

    world.boxes.poll = poll_after_take_over
    anyio.run(script)


@then("each of the {tasks:d} tasks ran once, by the box's own record")
def ran_once_there(context, tasks):
    runs = collections.Counter(task for task, _, _ in context.world.boxes.runs())
    again = sorted(task for task, count in runs.items() if count > 1)
    assert len(runs) == tasks, len(runs)
    assert not again, f"{len(again)} tasks that were done were started again: {again}"


def entry(incarnation):
    room = (8000, 8000, 0)
    return BoxEntry(
        incarnation, "a:1", "pool", "h", "r", frozenset(), *room, False, None
    )


@given("a box whose earlier incarnation ended, and whose present one runs a task")
def two_incarnations(context):
    scheduler = context.scheduler = Scheduler(PARAMETERS, 0.0)
    scheduler.apply_config(CONFIG)
    scheduler.fleet.update_boxes({"first": entry("first")}, 0.0)
    scheduler.fleet.handle_poll_outcome("first", 0.1, 0.1, PollResult(100, (), ()))
    both = {"first": entry("first"), "second": entry("second")}
    scheduler.fleet.update_boxes(both, 1.0)
    scheduler.fleet.handle_poll_outcome("first", 1.1, 1.1, BoxReplaced())
    scheduler.fleet.handle_poll_outcome("second", 1.1, 1.1, PollResult(100, (), ()))
    scheduler.handle_call("r", SubmitJob(submission(1, 100)), 1.2)
    (start,) = [d for d in scheduler.decide(1.2, 1200) if isinstance(d, StartTask)]
    assert start.incarnation == "second", start
    running = (RunningTask(start.task, start.run, "", 10, 0.0),)
    scheduler.fleet.handle_poll_outcome(
        "second", 1.3, 1.3, PollResult(300, running, ())
    )


@when("the list of boxes shows only the earlier incarnation")
def only_earlier_listed(context):
    fleet = context.scheduler.fleet
    context.decisions = fleet.update_boxes({"first": entry("first")}, 1.5)


@then("the present incarnation does not count as ended")
def not_ended(context):
    assert StopPolling("second") not in context.decisions, context.decisions


@when(
    "{waiting:d} of its {tasks:d} starts wait for a new confirmation, it stalls for "
    "{seconds:g} seconds while the answer to that is in flight, and another takes over "
    "meanwhile"
)
def stalls_while_confirmed(context, waiting, tasks, seconds):
    store = context.world.store
    append = store.append
    numbers = []

    async def delayed_answer(topic, records, writer, timeout_s):
        outcome = await append(topic, records, writer, timeout_s)
        if topic != JOBS_TOPIC or writer is None:
            return outcome
        if writer.sequence not in numbers:
            numbers.append(writer.sequence)
        if writer.sequence == numbers[0]:
            # Until the first starts are answered and the others are next to be sent.
            await anyio.sleep(0.5)
        elif context.since is None:
            record = EpochClaim.record(2, "another")
            store.model.append(JOBS_TOPIC, [record], Writer(2, 1))
            time.sleep(seconds)
            context.since = time.monotonic()
        return outcome

    async def script():
        context.since = None
        async with context.world.session(1) as session:
            await session.call("r", SubmitJob(submission(tasks, 500)))
            with anyio.fail_after(5.0):
                while len(context.arrived) < tasks - waiting:
                    await anyio.sleep(0.005)
            store.append = delayed_answer
            session.observe_epoch(2)
            await anyio.sleep(seconds + 2.0)
            context.stepped_down = session.over

    anyio.run(script)


@given(
    "a store that takes {seconds:g} second for an append and then becomes unavailable, "
    "and {boxes:d} boxes"
)
def store_lost_after_tasks(context, seconds, boxes):
    store = StoreLostAfterTasks(StoreModel(), seconds)
    context.world = SessionWorld(store, boxes, context.folder)


@when(
    "{tasks:d} starts for a box wait because others follow a newer epoch, and a task "
    "there is to be slowed down"
)
def pace_meanwhile(context, tasks):
    world = context.world
    context.paced = []
    pace = world.boxes.pace

    async def recorded_pace(command, token, percent):
        context.paced.append(time.monotonic())
        return await pace(command, token, percent)

    world.boxes.pace = recorded_pace

    async def script():
        async with world.session(1) as session:
            async with anyio.create_task_group() as group:
                group.start_soon(session.call, "r", SubmitJob(submission(tasks, 100)))
                await anyio.sleep(0.3)
                session.observe_epoch(2)
            # The starts' record is confirmed, and the leader lease is not.
            await anyio.sleep(1.0)
            context.asked = time.monotonic()
            session._apply([PaceTask("b0", "1".rjust(16, "0") + ".0.0.0", 1, 50)])
            await anyio.sleep(1.5)

    anyio.run(script)


@then("the command reaches the box within {seconds:g} seconds")
def reaches_box(context, seconds):
    assert not context.world.boxes.runs(), "the starts did not wait"
    assert context.paced, "the command has not arrived after 1.5 s"
    assert context.paced[0] - context.asked < seconds, context.paced


@given("a store that takes {seconds:g} seconds for each append, and {boxes:d} boxes")
def slow_store(context, seconds, boxes):
    store = SlowStore(StoreModel(), seconds)
    context.world = SessionWorld(store, boxes, context.folder)


@when("a job of {tasks:d} tasks is submitted")
def job_submitted(context, tasks):
    context.tasks = tasks


@then("all of them have started within {seconds:g} seconds")
def all_started(context, seconds):
    world = context.world
    start = world.boxes.start

    async def delayed_start(*command):
        await anyio.sleep(0.02)
        return await start(*command)

    world.boxes.start = delayed_start

    async def script():
        async with world.session(1) as session:
            with anyio.move_on_after(seconds):
                job = SubmitJob(submission(context.tasks, 100))
                await session.call("r", job)
                while len(started_tasks()) < context.tasks:
                    await anyio.sleep(0.01)

    def started_tasks():
        return {task for task, _, _ in world.boxes.runs()}

    anyio.run(script)
    assert len(started_tasks()) == context.tasks, (
        f"{len(started_tasks())} of {context.tasks}"
    )
