"""Steps for records whose length depends on what client accounts send."""

import collections
import unittest.mock

from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import ShardState
from granitetrestle.slices import run_to_completion
from granitetrestle.workflows import PENDING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import CONFIG
from granitetrestle_standins.shardworld import ShardWorld

JOB = "b" * 16
TASKS = 16
# Kinds of keys that versions before the checkpoints of single tasks read.
OLDER_KINDS = ("s/", "p/", "t/", "e/", "i/", "l/", "c/")


class Topic:
    """What the store holds of a scheduler's records, and the longest of them."""

    def __init__(self):
        self.values = {}
        self.longest = 0

    def write(self, records):
        """Store records; returns their bytes."""
        for record in records:
            size = 1 + len(record.key.encode()) + len(record.value or b"")
            self.longest = max(self.longest, size)
            self.values.pop(record.key, None)
            if record.value is not None:
                self.values[record.key] = record.value
        return sum(len(r.key) + len(r.value or b"") for r in records)

    def records(self):
        """Return the newest records, those of rows last."""
        return tuple(Record(key, self.values[key]) for key in sorted(self.values))


class Leader:
    """A scheduler with boxes that list what it starts."""

    def __init__(self, boxes):
        self.world = ShardWorld(1, boxes)
        self.now = 0.0
        self.topic = Topic()
        self.scheduler = Scheduler(self.world.parameters, 0.0)
        self.scheduler.apply_config(CONFIG)
        self.scheduler.evacuation.replace_directives([], (), 0.0)
        self.runs = collections.defaultdict(dict)
        self.list_boxes(self.world.entries)

    def list_boxes(self, entries):
        """Let the scheduler know boxes, which answer at once."""
        self.scheduler.fleet.update_boxes(entries, self.now)
        for incarnation in entries:
            self.poll(incarnation, "")

    def poll(self, incarnation, checkpoint):
        """Let a box list its tasks."""
        running = tuple(
            RunningTask(task, run, checkpoint and task + checkpoint, 10, 0.0)
            for task, run in self.runs[incarnation].items()
        )
        poll = PollResult(int(self.now * 1000) + 100, running, ())
        self.scheduler.fleet.handle_poll_outcome(
            incarnation, self.now, self.now + 0.01, poll
        )

    def decide(self):
        """Decide, and write; returns the bytes written."""
        self.now += 0.1
        self.scheduler.evacuation.record_read(self.now)
        for decision in self.scheduler.decide(self.now, int(self.now * 1000)):
            if isinstance(decision, StartTask):
                self.runs[decision.incarnation][decision.task] = decision.run
        return self.topic.write(self.scheduler.take_writes())

    def lose(self):
        """Lose all boxes."""
        for incarnation in list(self.scheduler.state.boxes):
            self.runs.pop(incarnation, None)
            self.now += 0.01
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, self.now, self.now, BoxReplaced()
            )
        self.scheduler.fleet.update_boxes({}, self.now)
        self.topic.write(self.scheduler.take_writes())

    def lose_one(self, keep=frozenset()):
        """Lose a box with tasks, but none of ``keep``; returns their names, and the bytes
        written."""
        incarnation = next(
            name for name, runs in self.runs.items() if runs and not keep & set(runs)
        )
        lost = set(self.runs.pop(incarnation))
        self.now += 0.01
        self.scheduler.fleet.handle_poll_outcome(
            incarnation, self.now, self.now, BoxReplaced()
        )
        return lost, self.topic.write(self.scheduler.take_writes())

    def tasks(self):
        """Return the tasks of the job."""
        return list(self.scheduler.state.workflows[JOB].tasks.values())


def successor(context):
    scheduler = Scheduler(context.leader.world.parameters, 0.0)
    context.events = scheduler.restore(context.leader.topic.records(), 0.0)
    return scheduler


@given(
    "16 long-running tasks whose checkpoints have {size:d} characters each",
)
def tasks_with_checkpoints(context, size):
    leader = context.leader = Leader(5)
    step = Step(
        count=TASKS,
        cpu=100,
        memory_mb=1,
        checkpointing=True,
        per_box=4,
        long_running=True,
    )
    leader.scheduler.handle_call(
        "r", SubmitJob(Submission(JOB, "q", "pool", "", (step,))), 0.1
    )
    for _ in range(20):
        leader.decide()
    assert sum(map(len, leader.runs.values())) == TASKS, leader.runs
    context.checkpoint = "." * size
    for incarnation in list(leader.runs):
        leader.poll(incarnation, context.checkpoint)


@when("all their boxes are lost, and a successor takes over from what was written")
def lost_and_taken_over(context):
    context.leader.lose()
    context.successor = successor(context)


@then("no record had more than {most:d} bytes, and the successor has each checkpoint")
def short_and_whole(context, most):
    assert context.leader.topic.longest <= most, context.leader.topic.longest
    has_each_checkpoint(context)


@then("no record had more than {most:d} bytes, and the successor knows each task's run")
def short_and_known(context, most):
    assert context.leader.topic.longest <= most, context.leader.topic.longest
    tasks = context.successor.state.workflows[JOB].tasks.values()
    assert [(task.run, task.state) for task in tasks] == [(1, PENDING)] * TASKS


def has_each_checkpoint(context):
    assert not context.events, context.events
    tasks = list(context.successor.state.workflows[JOB].tasks.values())
    assert [(task.run, task.state) for task in tasks] == [(1, PENDING)] * TASKS
    wrong = [
        (task.name, len(task.checkpoint))
        for task in tasks
        if task.checkpoint != task.name + context.checkpoint
    ]
    assert not wrong, wrong


@when("one of their boxes is lost")
def one_box_lost(context):
    context.lost, context.written = context.leader.lose_one()
    assert len(context.lost) == 4, context.lost


@then("a successor knows the checkpoints of the 4 tasks that ran there")
def knows_those_lost(context):
    tasks = successor(context).state.workflows[JOB].tasks.values()
    known = {t.name for t in tasks if t.checkpoint == t.name + context.checkpoint}
    assert known >= context.lost, known


@when("one of their boxes is lost, and its tasks run on with longer checkpoints")
def run_on(context):
    leader = context.leader
    context.restarted, _ = leader.lose_one()
    for _ in range(20):
        leader.decide()
    context.earlier = context.checkpoint
    context.checkpoint += "." * 1000
    for incarnation in list(leader.runs):
        leader.poll(incarnation, context.checkpoint)
    running = {name for runs in leader.runs.values() for name in runs}
    assert len(running) == TASKS, running


@when("another box is lost")
def another_box_lost(context):
    context.lost, context.written = context.leader.lose_one(keep=context.restarted)


@then("a successor knows an earlier checkpoint of each task that was started again")
def knows_earlier(context):
    tasks = successor(context).state.workflows[JOB].tasks
    for task in tasks.values():
        if task.name in context.lost:
            assert task.checkpoint == task.name + context.checkpoint
        elif task.name in context.restarted:
            assert task.checkpoint == task.name + context.earlier


@when("all their boxes are lost, and one of the tasks changes")
def one_changes(context):
    leader = context.leader
    leader.lose()
    task = leader.tasks()[0]
    task.suspicion += 1
    leader.scheduler.state.mark_task_changed(task)
    context.written = leader.topic.write(leader.scheduler.take_writes())


@then("less than {most:d} bytes are written for that")
def few_bytes(context, most):
    assert 0 < context.written < most, context.written


@when("all their boxes are lost, and checkpoints of {size:d} characters follow")
def shorter_follow(context, size):
    leader = context.leader
    leader.lose()
    context.checkpoint = "." * size
    for task in leader.tasks():
        task.checkpoint = task.name + context.checkpoint
        leader.scheduler.state.mark_task_changed(task)
    leader.topic.write(leader.scheduler.take_writes())
    context.successor = successor(context)


@then(
    "the store holds only the rows of the tasks, and the successor has each checkpoint"
)
def only_rows(context):
    keys = [key for key in context.leader.topic.values if JOB in key]
    assert keys and all(key.startswith(("s/", "t/")) for key in keys), keys
    has_each_checkpoint(context)


def older_version(context):
    """Let a version that knows no records of single checkpoints take over."""
    topic = context.leader.topic
    records = tuple(r for r in topic.records() if r.key.startswith(OLDER_KINDS))
    parameters = context.leader.world.parameters._replace(record_bytes=10**9)
    with unittest.mock.patch("granitetrestle.jobrecords.MAX_GROUP_BYTES", 10**9):
        older = Scheduler(parameters, 0.0)
    assert not older.restore(records, 0.0)
    return older


@when("all their boxes are lost, and an older version writes checkpoints of its own")
def older_version_writes(context):
    context.leader.lose()
    older = older_version(context)
    context.checkpoint = "." * 15_000
    for task in older.state.workflows[JOB].tasks.values():
        task.checkpoint = task.name + context.checkpoint
        older.state.mark_task_changed(task)
    context.leader.topic.write(older.take_writes())
    context.successor = successor(context)


@then("the successor has each checkpoint of the older version")
def has_older_ones(context):
    has_each_checkpoint(context)


@when("all their boxes are lost, and an older version removes the job")
def older_version_removes(context):
    context.leader.lose()
    older = older_version(context)
    older.state.retire(older.state.workflows[JOB])
    older.state.drop(JOB)
    context.leader.topic.write(older.take_writes())


@then("the successor's first records remove all checkpoints")
def removes_all(context):
    topic = context.leader.topic
    assert [key for key in topic.values if JOB in key], topic.values.keys()
    topic.write(successor(context).take_writes())
    assert not [key for key in topic.values if JOB in key], topic.values.keys()


def learn(interference, serving, filling):
    interference.observe(serving, 0.7, 0.5, 0.01, {filling: 0.3})


@given(
    "a leader that has learned how an image whose name has {size:d} bytes slows down "
    "another"
)
def learned_of_filling(context, size):
    # Two bytes for each character but the last ones.
    context.name = "\u00e9" * (size // 2) + "x" * (size % 2)
    context.state = ShardState(ShardWorld(1, 1).parameters)
    learn(context.state.interference, "other", context.name)


@given("how images slow down one whose name has {size:d} bytes")
def learned_of_serving(context, size):
    learn(context.state.interference, context.name, "filling")


@given(
    "a leader that has learned how {count:d} images with names of {size:d} bytes slow "
    "down another"
)
def learned_of_many(context, count, size):
    context.state = ShardState(ShardWorld(1, 1).parameters)
    context.names = [f"{number:0{size}d}" for number in range(count)]
    for name in context.names:
        learn(context.state.interference, "other", name)


@when("it writes that, and a successor takes over")
def learned_written(context):
    context.state.record_interference()
    context.records = context.state.take_writes()
    context.successor = ShardState(context.state.parameters)
    restored = run_to_completion(context.successor.restore(context.records, 0.0))
    assert not restored.unreadable


@then("each record has a key of at most {most:d} bytes, and the successor has {kept}")
def short_keys(context, most, kept):
    assert all(len(r.key.encode()) <= most for r in context.records), context.records
    interference = context.successor.interference
    assert interference.is_observed("other", context.name)
    both = kept == "what was learned of both"
    assert interference.is_observed(context.name, "filling") == both


@then(
    "no record had more than {most:d} bytes, and the successor has the {count:d} newest"
)
def newest_kept(context, most, count):
    assert max(record.size for record in context.records) <= most
    interference = context.successor.interference
    known = [name for name in context.names if interference.is_observed("other", name)]
    assert known == context.names[-len(known) :], len(known)
    assert len(known) == count, len(known)
