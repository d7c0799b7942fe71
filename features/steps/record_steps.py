"""Steps for the records of jobs in the store."""

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.jobrecords import GROUP_TASKS
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import DONE
from granitetrestle.workflows import RUNNING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_bench.deciding import Load
from granitetrestle_standins.shardprocess import JOBS_TOPIC


def written_bytes(count):
    """Return the bytes written for a job whose tasks run one by one on one box."""
    load = Load(1, 1)
    load.scheduler = Scheduler(SchedulerParameters(), load.now)
    total = 0
    scheduler = load.scheduler
    load.__init__(1, 1)
    scheduler = load.scheduler
    step = Step(count=count, cpu=32000, memory_mb=100, estimate_ms=100)
    submission = Submission("a" * 16, "short", "pool", "s", (step,))
    scheduler.handle_call("r", SubmitJob(submission), load.now)
    for _ in range(count):
        load.now += 0.2
        for decision in scheduler.decide(load.now, 0):
            if isinstance(decision, StartTask):
                load._start(decision)
        total += size(scheduler)
        for incarnation, tasks in load.running.items():
            for task, (run, _) in list(tasks.items()):
                load._end(incarnation, task, run, "done")
            load._poll(incarnation)
        total += size(scheduler)
    return total


def size(scheduler):
    return sum(len(r.key) + len(r.value or b"") for r in scheduler.take_writes())


@given(
    "the bytes written for jobs of {few:d} and of {many:d} tasks that run one by one"
)
def bytes_written(context, few, many):
    context.written = written_bytes(few), written_bytes(many)


@then("the larger job's are at most {most:g} times the smaller one's")
def at_most(context, most):
    few, many = context.written
    assert few > 1000 and many <= most * few, context.written


WIDE = (Step(count=40, cpu=500, memory_mb=10),)


@when("a job of 40 tasks completes and {seconds:g} seconds pass")
def job_completes(context, seconds):
    world = context.world
    context.job = world.submit(WIDE)
    world.settle(60.0)
    world.advance(seconds)


def records_of(context, job):
    newest = context.world.store.newest(JOBS_TOPIC).records
    return [record for record in newest if job in record.key]


@then("one record of at most {most:d} bytes remains of it")
def one_record(context, most):
    left = records_of(context, context.job)
    assert len(left) == 1, [record.key for record in left]
    assert len(left[0].key) + len(left[0].value) <= most, left


@then(
    "a successor reports it as {state} and treats a second submission as the same job"
)
def successor_tells(context, state):
    world = context.world
    world.take_over()
    workflows = world.leader.scheduler.state.workflows
    assert workflows[context.job].state == state
    submission = Submission(context.job, "q", "pool", "s", WIDE)
    world.send_call(SubmitJob(submission), context.job)
    world.advance(1.0)
    assert workflows[context.job].state == state


@given(
    "a job of 40 tasks, half of which are done, in the record format of an older version"
)
def older_form(context):
    world = context.world
    world.kill()
    context.job = "0" * 15 + "a"
    submission = Submission(context.job, "q", "pool", f"spec-{context.job}", WIDE)
    world._calls[context.job] = SubmitJob(submission)
    world.accepted[context.job] = submission
    rows = []
    for index in range(40):
        task = f"{context.job}.0.0.{index}"
        if index < 20:
            rows.append((0, 0, index, 1, DONE, "b1", [], ""))
            world._done[task] = world.now
        elif index < 22:
            rows.append((0, 0, index, 2, RUNNING, "b2", [1], "saved"))
    encode = msgspec.msgpack.encode
    records = [
        Record(f"s/{context.job}", encode(submission)),
        Record(f"p/{context.job}", encode(["", rows])),
    ]
    epoch = world.leader.epoch + 1
    world.store.append(JOBS_TOPIC, (), Writer(epoch, 1))
    world.store.append(JOBS_TOPIC, records, Writer(epoch, 2))
    world.leader.epoch = epoch


@when("leaders take over and die after {count:d} appends each, {times:d} times")
def take_over_and_die(context, count, times):
    world = context.world
    for _ in range(times):
        world.take_over()
        for _ in range(count):
            world.advance(0.05)
        world.kill()
    world.take_over()


@then("each task that was done stays done, and the job completes")
def stays_done(context):
    # The world itself raises when a task that was done starts again.
    context.world.settle(60.0)
    assert (
        context.world.leader.scheduler.state.workflows[context.job].state == "completed"
    )


@when(
    "two jobs run, a record of the first job's tasks is overwritten, "
    "and a successor takes over"
)
def overwritten(context):
    world = context.world
    step = Step(count=GROUP_TASKS + 4, cpu=200, memory_mb=10)
    context.job, context.second = world.submit((step,)), world.submit((step,))
    world.advance(0.1)
    world.kill()
    epoch = world.leader.epoch + 1
    world.store.append(JOBS_TOPIC, (), Writer(epoch, 1))
    context.key = f"t/{context.job}/0.0.0"
    record = Record(context.key, b"\xc1not a record")
    world.store.append(JOBS_TOPIC, [record], Writer(epoch, 2))
    world.leader.epoch = epoch
    context.ran_before = starts(context)
    context.noted = []
    # The events that a session logs at a take-over.
    restored = Scheduler(SchedulerParameters(), world.now).restore(
        world.store.newest(JOBS_TOPIC).records, world.now
    )
    context.noted = [note for note in restored if isinstance(note, LogEvent)]
    world.take_over()


def starts(context):
    return sum(
        run.task.startswith(context.job)
        for box in context.world.boxes.values()
        for run in box.history
    )


@then("the record's key is logged as unreadable, with the error's text")
def logged(context):
    (note,) = context.noted
    assert (note.event, note.subject) == ("record_unreadable", context.key), note
    assert context.key in note.inputs["error"]


@then("the second job completes while no further task of the first starts")
def second_completes(context):
    world = context.world
    state = world.leader.scheduler.state
    world.advance(4.0)
    known = state.workflows[context.second]
    left = [t.name for t in known.tasks.values() if t.state != DONE]
    assert len(left) <= 8, left
    assert starts(context) == context.ran_before


@when("a long-running job is cancelled, and the leader dies before any stop is sent")
def cancelled_then_dies(context):
    world = context.world
    # Tasks whose index ends in 2 run for five seconds.
    step = Step(count=3, cpu=500, memory_mb=10, long_running=True)
    context.job = world.submit((step,))
    world.advance(0.3)
    leader = world.leader
    leader.apply(leader.scheduler.handle_call("c", CancelJob(context.job), world.now))
    world._calls["c"] = CancelJob(context.job)
    records = leader.scheduler.take_writes()
    writer = Writer(leader.epoch, leader.sequence + 1)
    world.store.append(JOBS_TOPIC, records, writer)
    world.kill()
    world.take_over()


@then("its successor stops all its tasks within a second")
def stops_all(context):
    world = context.world
    world.advance(1.0)
    running = [run for box in world.boxes.values() for run in box.running.values()]
    assert not running, running
    how = {run.how for box in world.boxes.values() for run in box.history}
    assert "stopped" in how, how


@when(
    "a gang of 20 is done, the leader writes that and dies before starting the next step"
)
def gang_done(context):
    world = context.world
    gang = Step(count=20, cpu=500, memory_mb=10, gang=True)
    after = Step(count=1, cpu=4000, memory_mb=10, depends_on=(0,))
    context.job = world.submit((gang, after))
    world.advance(0.2)
    leader = world.leader
    workflow = leader.scheduler.state.workflows[context.job]
    assert all(task.placed for task in workflow.step_tasks(0, 0))
    first = workflow.tasks[(0, 0, 0)]
    for box in world.boxes.values():
        for run in list(box.running.values()):
            if run.task == first.name:
                box.end(run.task, "done", world.now)
                context.incarnation = box.incarnation
    poll = world.poll(leader, context.incarnation, 0, None)
    leader.apply(
        leader.scheduler.fleet.handle_poll_outcome(
            context.incarnation, world.now, world.now, poll
        )
    )
    records = leader.scheduler.take_writes()
    world.store.append(JOBS_TOPIC, records, Writer(leader.epoch, leader.sequence + 1))
    world.kill()
    restored = context.successor = Scheduler(SchedulerParameters(), world.now)
    restored.restore(world.store.newest(JOBS_TOPIC).records, world.now)


@then("its successor restores all 20 as done, and enqueues only the next step")
def knows_gang(context):
    workflow = context.successor.state.workflows[context.job]
    states = {task.state for task in workflow.step_tasks(0, 0)}
    assert states == {DONE}, states
    (waiting,) = context.successor.state.waiting.values()
    assert waiting.step == 1, waiting.step
