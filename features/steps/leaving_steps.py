"""Steps for starts that wait to be sent, and for the leader lease they need."""

import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.commandwindow import BEST_EFFORT
from granitetrestle.commandwindow import SHORT
from granitetrestle.commandwindow import URGENT
from granitetrestle.commandwindow import CommandWindow
from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativestore import StoreModel
from session_world import LongPollStore
from session_world import SessionWorld

# Long enough for all pending commands to be sent.
SETTLE_S = 1.5


def job(tasks, name="1"):
    step = Step(count=tasks, cpu=500, memory_mb=10, estimate_ms=200)
    return Submission(name.rjust(16, "0"), "q", "pool", "s", (step,))


@given("a leader, and a box that takes {seconds:g} seconds to answer each start")
def slow_box(context, seconds):
    context.world = SessionWorld(LongPollStore(StoreModel()), 1, context.folder)
    boxes = context.world.boxes
    start = boxes.start
    context.arrived = []

    async def slow_start(command, *rest):
        context.arrived.append(time.monotonic())
        outcome = await start(command, *rest)
        await anyio.sleep(seconds)
        return outcome

    boxes.start = slow_start


def claim_epoch_for_successor(context):
    """Claim a newer epoch for another process, which has not reached the box yet."""
    record = EpochClaim.record(2, "another")
    context.world.store.model.append(JOBS_TOPIC, [record], Writer(2, 1))


def block_process(seconds):
    """Block the whole process, as a signal or a busy machine does."""
    time.sleep(seconds)


async def wait_for_starts(context, starts):
    with anyio.fail_after(5.0):
        while len(context.arrived) < starts:
            await anyio.sleep(0.005)


def run_session(context, tasks, meanwhile):
    async def script():
        async with context.world.session(1) as session:
            async with anyio.create_task_group() as group:
                group.start_soon(session.call, "r", SubmitJob(job(tasks)))
                await wait_for_starts(context, 1)
            await meanwhile(session)
            context.since = time.monotonic()
            await anyio.sleep(SETTLE_S)
            context.stepped_down = session.over

    anyio.run(script)


@when(
    "it has {tasks:d} tasks to start there, stalls for {seconds:g} seconds, and "
    "another process takes over meanwhile"
)
def stalls_during_take_over(context, tasks, seconds):
    async def meanwhile(session):
        claim_epoch_for_successor(context)
        block_process(seconds)

    run_session(context, tasks, meanwhile)


@when("it has {tasks:d} tasks to start there, and stalls for {seconds:g} seconds")
def stalls_without_take_over(context, tasks, seconds):
    async def meanwhile(session):
        block_process(seconds)
        # Covers eight starts, four at a time, and the run time of the tasks.
        await anyio.sleep(2.0)

    run_session(context, tasks, meanwhile)


@when(
    "it has {tasks:d} tasks to start there, and learns of a newer epoch that was "
    "claimed at the store"
)
def newer_epoch_observed(context, tasks):
    async def meanwhile(session):
        claim_epoch_for_successor(context)
        session.observe_epoch(2)

    run_session(context, tasks, meanwhile)


@when(
    "it stalls for {seconds:g} seconds while the answer to its record is in "
    "flight, and another process takes over meanwhile"
)
def stalls_before_answer(context, seconds):
    store = context.world.store
    append = store.append

    async def delayed_answer(topic, records, writer, timeout_s):
        outcome = await append(topic, records, writer, timeout_s)
        started = any(record.key.startswith("t/") for record in records)
        if started and isinstance(outcome, Appended):
            claim_epoch_for_successor(context)
            block_process(seconds)
            context.since = time.monotonic()
        return outcome

    store.append = delayed_answer

    async def script():
        async with context.world.session(1) as session:
            with anyio.move_on_after(SETTLE_S + seconds):
                await session.call("r", SubmitJob(job(8)))
                await anyio.sleep(SETTLE_S)
            context.stepped_down = session.over

    anyio.run(script)


@when("it starts {tasks:d} tasks in one job after another")
def starts_many(context, tasks):
    async def script():
        async with context.world.session(1) as session:
            context.waits = []
            wait_until_valid = session._leader_lease.wait_until_valid

            async def measured_wait():
                started_at = time.perf_counter()
                await wait_until_valid()
                context.waits.append(time.perf_counter() - started_at)

            session._leader_lease.wait_until_valid = measured_wait
            for number in range(tasks // 8):
                submission = job(8, f"{number + 1}")
                await session.call(f"r{number}", SubmitJob(submission))
                await wait_for_starts(context, 8 * (number + 1))

    anyio.run(script)


@then("no command of it reaches the box after that, and it has stepped down")
def nothing_arrives(context):
    late_starts_s = [
        round(at - context.since, 3) for at in context.arrived if at > context.since
    ]
    assert not late_starts_s, (
        f"{len(late_starts_s)} starts reached the box, after {late_starts_s} s"
    )
    assert context.stepped_down


@then("each of the {tasks:d} tasks runs once")
def runs_once(context, tasks):
    runs = [(task, run) for task, run, _ in context.world.boxes.runs()]
    assert len({task for task, _ in runs}) == len(runs) == tasks, runs


@then(
    "half of its starts waited {median_ms:g} ms or less for the leader lease, "
    "and 99 in 100 {p99_ms:g} ms or less"
)
def waits_are_short(context, median_ms, p99_ms):
    waits = sorted(1000.0 * wait for wait in context.waits)
    assert len(waits) >= 100, len(waits)
    assert waits[len(waits) // 2] <= median_ms, waits
    assert waits[len(waits) * 99 // 100] <= p99_ms, waits


@given("a command window that lets nothing pass")
def closed_window(context):
    class Closed(CommandWindow):
        @property
        def size(self):
            return 0

    context.window = Closed()


@when("starts wait for boxes a and b, and a is closed")
def starts_wait(context):
    context.granted = []

    async def start(priority, incarnation):
        async with context.window.turn(priority, incarnation):
            context.granted.append((priority, incarnation))

    async def run():
        async with anyio.create_task_group() as tasks:
            for priority, incarnation in (
                (SHORT, "a"),
                (BEST_EFFORT, "a"),
                (URGENT, "a"),
                (SHORT, "b"),
            ):
                tasks.start_soon(start, priority, incarnation)
            await anyio.wait_all_tasks_blocked()
            assert context.granted == []
            context.window.release_starts({"a"})
            await anyio.wait_all_tasks_blocked()
            context.waiting = context.window.waiting
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the starts for a get their turn now, stops and those for b keep waiting")
def starts_released(context):
    assert sorted(context.granted) == [(SHORT, "a"), (BEST_EFFORT, "a")], (
        context.granted
    )
    assert context.waiting == 2
