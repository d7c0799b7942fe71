"""Steps for waits that go on through hand-overs."""

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.interfaces import Config
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.timeline import timeline
from granitetrestle.waitingorder import count_waiting_tasks
from granitetrestle.workflows import PENDING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardprocess import JOBS_TOPIC
from granitetrestle_standins.shardworld import ShardWorld

SHORT = (Step(count=1, cpu=500, memory_mb=10),)
LONG_RUNNING = Step(count=1, cpu=500, memory_mb=10, long_running=True)
# How long a shard has no leader after the last one was killed.
LEADERLESS_S = 0.9


def change_leader(world, leaves):
    if leaves == "hands over":
        world.hand_over()
    else:
        world.kill()
        world.advance(LEADERLESS_S)
        world.take_over()


def records_of(world, job):
    newest = world.store.newest(JOBS_TOPIC).records
    return [record for record in newest if job in record.key]


@given("a shard of {boxes:d} boxes among models that keeps ended jobs for {keep:g} s")
def shard_that_keeps(context, boxes, keep):
    context.keep_s = keep
    world = context.world = ShardWorld(7, boxes)
    world.parameters = world.parameters._replace(keep_s=keep)
    world.hand_over()


@when("a job completes, and the leader {leaves} every {gap:g} s for {seconds:g} s")
def completes_amid(context, leaves, gap, seconds):
    world = context.world
    context.job = world.submit(SHORT)
    world.settle(20.0)
    workflow = world.leader.scheduler.state.workflows[context.job]
    context.ended_at, began = workflow.ended_at, world.now
    while world.now - began < seconds:
        changed_at = world.now
        change_leader(world, leaves)
        while world.now - changed_at < gap:
            world.advance(0.5)
            if context.job in world.leader.scheduler.state.workflows:
                context.known_at = world.now


@then("the job was known for at least {seconds:g} s after its end")
def known_for(context, seconds):
    known_s = context.known_at - context.ended_at
    assert known_s >= seconds, known_s


@then("the store holds no record of it")
def no_record(context):
    left = records_of(context.world, context.job)
    assert not left, left


class EndedRowOfOlder(msgspec.Struct, frozen=True, array_like=True):
    """The record of an ended job, as versions without times read it."""

    state: str
    queue: str


@then("a version that knows no times of ends reads the same state and queue")
def older_reads(context):
    (record,) = records_of(context.world, context.job)
    assert len(msgspec.msgpack.decode(record.value)) == 3, record
    row = msgspec.msgpack.decode(record.value, type=EndedRowOfOlder)
    assert row == EndedRowOfOlder("completed", "q"), row


@when(
    "a successor finds the record of an ended job with {what}, after {seconds:g} s of "
    "others"
)
def finds_record(context, what, seconds):
    world = context.world
    world.submit(SHORT)
    world.settle(20.0)
    world.advance(seconds)
    world.kill()
    context.job = "0" * 15 + "a"
    times = [] if what.startswith("no time") else [10**9]
    value = msgspec.msgpack.encode(["completed", "q", *times])
    epoch = world.leader.epoch + 1
    world.store.append(JOBS_TOPIC, (), Writer(epoch, 1))
    record = Record(f"e/{context.job}", value)
    world.store.append(JOBS_TOPIC, [record], Writer(epoch, 2))
    world.leader.epoch = epoch
    world.take_over()


@then("it knows the job for {least:g} to {most:g} s")
def knows_for(context, least, most):
    world = context.world
    began = world.now
    while context.job in world.leader.scheduler.state.workflows:
        world.advance(0.5)
        assert world.now - began <= most
    assert world.now - began >= least, world.now - began


@when(
    "a job waits for room for {seconds:g} s, and the leader hands over every {gap:g} s"
)
def waits_amid(context, seconds, gap):
    world = context.world
    context.holder = world.submit((Step(count=1, cpu=3000, long_running=True),))
    world.advance(2.0)
    context.job = world.submit((Step(count=1, cpu=2000),))
    world.advance(gap)
    for _ in range(round(seconds / gap) - 1):
        world.hand_over()
        world.advance(gap)


@then("the leader counts it as too late")
def counted_too_late(context):
    world = context.world
    waiting = world.leader.scheduler.state.waiting.values()
    counts = count_waiting_tasks(waiting, world.now)
    assert (counts["late"], counts["too_late"]) == (0, 1), counts


def end_event(context):
    (event,) = [
        event
        for event in context.world.leader.log_events
        if event.event == "job_completed" and event.subject == context.job
    ]
    return event.inputs


@then(
    "once there is room its end is logged as at least {least:g} s after it was accepted"
)
def logged_after(context, least):
    context.world.cancel(context.holder)
    context.world.advance(4.0)
    inputs = end_event(context)
    assert inputs["took_s"] >= least, inputs
    assert inputs["late_s"] >= least - 1.0, inputs


@when("a job of 5 s runs, and the leader hands over after {seconds:g} s")
def runs_through(context, seconds):
    world = context.world
    # Tasks with the index 2 take 5 s in the model.
    context.job = world.submit((Step(count=3, cpu=100, estimate_ms=5000),))
    world.advance(seconds)
    world.hand_over()
    world.advance(6.0)


@then(
    "its end is logged as {least:g} to {most:g} s after it was accepted, and as in time"
)
def logged_in_time(context, least, most):
    inputs = end_event(context)
    assert least <= inputs["took_s"] <= most, inputs
    assert inputs["late_s"] < 0.0, inputs


class SubmissionOfOlder(msgspec.Struct, frozen=True, array_like=True):
    """The record of a job, as versions without times read it."""

    job: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


def decode_older(record):
    return msgspec.msgpack.decode(record.value, type=SubmissionOfOlder)


@then("a version that knows no times of acceptance reads the same job")
def older_reads_job(context):
    (record,) = records_of(context.world, f"s/{context.job}")
    context.older = decode_older(record)
    expected = SubmissionOfOlder(
        context.job, "q", "pool", f"spec-{context.job}", (Step(count=1, cpu=2000),)
    )
    assert len(msgspec.msgpack.decode(record.value)) == 10, record
    assert context.older == expected, context.older


@then("a job that such a version accepted is as old as the take-over")
def older_accepted(context):
    world = context.world
    world.kill()
    job = "0" * 15 + "a"
    submission = msgspec.structs.replace(context.older, job=job)
    record = Record(f"s/{job}", msgspec.msgpack.encode(submission))
    epoch = world.leader.epoch + 1
    world.store.append(JOBS_TOPIC, (), Writer(epoch, 1))
    world.store.append(JOBS_TOPIC, [record], Writer(epoch, 2))
    world.leader.epoch = epoch
    world.take_over()
    workflows = world.leader.scheduler.state.workflows
    assert workflows[job].accepted_at == world.now
    assert world.now - workflows[context.job].accepted_at > 9.0


def run_with_changes(world, leaves, gap, seconds):
    began = world.now
    while world.now - began < seconds:
        change_leader(world, leaves)
        world.advance(gap)


def only_task(world, job):
    (task,) = world.leader.scheduler.state.workflows[job].tasks.values()
    return task


@when(
    "a long-running task runs for {seconds:g} s, the leader {leaves} every {gap:g} s, and "
    "then its box crashes"
)
def crashes_after(context, seconds, leaves, gap):
    world = context.world
    context.job = world.submit((LONG_RUNNING,))
    world.advance(gap)
    run_with_changes(world, leaves, gap, seconds)
    change_leader(world, leaves)
    world.advance(0.3)
    box = only_task(world, context.job).box
    world.crash_box(sorted(world.entries).index(box))
    world.advance(8.0)


@when(
    "a suspected long-running task runs for {seconds:g} s, the leader hands over every "
    "{gap:g} s, and then the run fails"
)
def fails_after(context, seconds, gap):
    world = context.world
    context.job = world.submit((LONG_RUNNING,))
    world.advance(2.0)
    task = only_task(world, context.job)
    task.suspicion = 3
    world.leader.scheduler.state.mark_task_changed(task)
    run_with_changes(world, "hands over", gap, seconds)
    task = only_task(world, context.job)
    assert task.suspicion == 3
    world.boxes[task.box].end(task.name, "failed", world.now)
    world.advance(1.0)


@then("the task has no points of suspicion")
def no_points(context):
    task = only_task(context.world, context.job)
    assert task.run == 2, task.run
    assert task.suspicion == 0, task.suspicion


@when(
    "a checkpointing task of 10 s runs for {seconds:g} s, the leader hands over, and the "
    "box is to leave in {left:g} s"
)
def box_to_leave(context, seconds, left):
    world = context.world
    # Tasks with the index 2 take 5 s in the model.
    step = Step(count=3, cpu=100, estimate_ms=10000, checkpointing=True)
    context.job = world.submit((step,))
    world.advance(seconds)
    world.hand_over()
    world.advance(0.3)
    task = world.leader.scheduler.state.workflows[context.job].tasks[(0, 0, 2)]
    context.run, context.box = task.run, task.box
    entry = world.entries[task.box]
    world.entries[task.box] = entry._replace(draining=True, leaving_in_s=left)
    world.advance(0.5)


@then("the task runs on where it is")
def runs_on(context):
    box = context.world.boxes[context.box]
    assert f"{context.job}.0.0.2" in box.running
    assert box.running[f"{context.job}.0.0.2"].run == context.run == 1


@when(
    "a long-running task fails and waits for room, and the leader hands over every "
    "{gap:g} s for {seconds:g} s"
)
def fails_and_waits(context, gap, seconds):
    world = context.world
    step = Step(count=1, cpu=4000, memory_mb=10, long_running=True)
    context.job = world.submit((step,))
    world.advance(2.0)
    task = only_task(world, context.job)
    entry = world.entries[task.box]
    world.entries[task.box] = entry._replace(cpu=1000)
    world.boxes[task.box].end(task.name, "failed", world.now)
    context.logged = []
    began = world.now
    while world.now - began < seconds:
        world.advance(gap)
        context.logged += world.leader.log_events
        world.hand_over()


@then("a leader has logged that it waited for over {seconds:g} s")
def logged_wait(context, seconds):
    waited = [
        event.inputs["waited_s"]
        for event in context.logged
        if event.event == "lasting_waits"
    ]
    assert max(waited, default=0.0) > seconds, waited


class TaskRowOfOlder(msgspec.Struct, frozen=True, array_like=True):
    """The record of a task, as versions without times read it."""

    index: int
    run: int
    state: int
    box: str = ""
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    suspicion: int = 0


@then("a version that knows no times reads the same state of the task")
def older_reads_task(context):
    (record,) = records_of(context.world, f"t/{context.job}")
    assert len(msgspec.msgpack.decode(record.value)[0]) == 8, record
    rows = msgspec.msgpack.decode(record.value, type=list[TaskRowOfOlder])
    assert rows == [TaskRowOfOlder(0, 1, PENDING)], rows


@when(
    "a successor restores a waiting job of a queue of priority {priority:d} and an "
    "objective of {seconds:g} s, and then reads the configuration"
)
def config_after_jobs(context, priority, seconds):
    queue = Queue("q", "host", "/q/", "pool", priority, 3, 1.0, seconds * 1000.0)
    config = Config(1, (queue,), {"pool": True}, 262144)
    leader = Scheduler(SchedulerParameters(), 10.0)
    leader.apply_config(config)
    call = SubmitJob(Submission("1", "q", "pool", "s", (Step(count=1),)))
    leader.handle_call("r", call, 10.0)
    successor = Scheduler(SchedulerParameters(), 500.0)
    successor.restore(leader.take_writes(), 500.0)
    successor.apply_config(config)
    (context.entry,) = successor.state.waiting.values()


@then(
    "the job waits with the priority {priority:d}, and is due {seconds:g} s after it was "
    "accepted"
)
def keeps_objective(context, priority, seconds):
    entry = context.entry
    assert entry.priority == priority, entry.priority
    assert entry.workflow.due_at == entry.workflow.accepted_at + seconds
    assert entry.latest_start == entry.workflow.due_at
    useful_s = entry.latest_useful_start - entry.workflow.accepted_at
    assert useful_s == 3.0 * seconds, useful_s


class LogCollector:
    """Collects the lines of all leaders of a shard, as their machines write them."""

    def __init__(self, world):
        self.lines = []
        self._world = world
        self._read = {}

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self._world.advance(0.05)
            for process in self._world.processes:
                node = f"n{process.epoch}"
                if process.epoch not in self._read:
                    self._add(node, "took_over", "", {})
                first = self._read.get(process.epoch, 0)
                for event in process.log_events[first:]:
                    self._add(node, event.event, event.subject, event.inputs)
                self._read[process.epoch] = len(process.log_events)

    def _add(self, node, event, subject, inputs):
        minutes, seconds = divmod(self._world.now, 60.0)
        timestamp = f"2026-01-01T00:{int(minutes):02}:{seconds:06.3f}Z"
        common = {"node": node, "event": event, "timestamp": timestamp}
        self.lines.append({**inputs, "subject": subject, **common})


@when(
    "a long-running task loses its box, the leader hands over, and there is room "
    "{seconds:g} s after the loss and two more hand-overs"
)
def loses_box(context, seconds):
    world = context.world
    collector = context.collector = LogCollector(world)
    step = Step(count=1, cpu=4000, memory_mb=10, long_running=True)
    context.job, other = world.submit((step,)), world.submit((step,))
    collector.advance(2.0)
    task = only_task(world, context.job)
    context.lost, lost_at = task.box, world.now
    world.cut_until[context.lost] = world.now + 1000.0
    collector.advance(2.0)
    for _ in range(3):
        world.hand_over()
        collector.advance(6.0 if world.leader.epoch == 2 else 2.0)
    collector.advance(seconds - (world.now - lost_at))
    world.cancel(other)
    collector.advance(3.0)


@then(
    "the job's timeline tells the time from the silence of its box to its next run, and "
    "{count:d} leaders"
)
def timeline_tells(context, count):
    (silent, *_) = [
        line
        for line in context.collector.lines
        if line["event"] == "box_silent" and line["subject"] == context.lost
    ]
    (next_run,) = [
        run
        for box in context.world.boxes.values()
        for run in box.history
        if run.task.startswith(context.job) and box.incarnation != context.lost
    ]
    minutes, seconds = silent["timestamp"][14:-1].split(":")
    expected_s = next_run.began - (60 * int(minutes) + float(seconds))
    entries = timeline(context.job, context.collector.lines)
    (over,) = [entry for entry in entries if entry.event == "lasting_wait_over"]
    without_run_s = over.inputs["without_run_s"]
    assert expected_s > 12.0, expected_s
    assert abs(without_run_s - expected_s) < 0.2, (without_run_s, expected_s)
    assert over.inputs["leaders"] == [f"n{n + 1}" for n in range(count)], over
    waits = [entry for entry in entries if entry.event == "lasting_waits"]
    assert waits, entries
    assert all(
        entry.inputs["without_run_s"] >= entry.inputs["waited_s"] for entry in waits
    )
