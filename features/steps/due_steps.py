"""Steps for long-running tasks that are due and wait for room."""

import msgspec
from behave import given
from behave import then
from behave import when
from room_steps import CONFIG
from room_steps import SchedulerHarness

from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandNotSent
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import CancelJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step

NO_HEADROOM = frozenset({Mechanism.HEADROOM})
# How long a short task runs, and how many others wait meanwhile.
SHORT_TASK_S = 1.2
MOST_WAITING = 5
LARGE = Step(count=1, cpu=40_000, memory_mb=100, long_running=True)


def cancel(harness, job):
    harness.apply(harness.scheduler.handle_call("r", CancelJob(job), harness.now))
    for task in list(harness.scheduler.state.workflows[job].tasks.values()):
        if task.placed:
            harness.end(task, "stopped")


@given(
    "a box of 64 cores, full, and two long-running tasks of 40 cores that wait"
    " for {seconds:g} seconds"
)
def two_wait(context, seconds):
    harness = context.harness = SchedulerHarness(1, NO_HEADROOM)
    for job in ("first", "one", "two"):
        harness.submit(job, LARGE)
    harness.wait(seconds)
    assert [harness.placed(job) for job in ("first", "one", "two")] == [1, 0, 0]


@when("room for one of them frees")
def room_frees(context):
    cancel(context.harness, "first")
    context.harness.log_events.clear()
    context.harness.wait(0.1)


@then(
    "{seconds:g} seconds later the log says of the other that its room was taken, and"
    " by which task"
)
def taker_logged(context, seconds):
    harness = context.harness
    harness.wait(seconds)
    (started,) = (job for job in ("one", "two") if harness.placed(job))
    (waiting,) = {"one", "two"} - {started}
    (line,) = (
        event for event in harness.log_events if event.event == "lasting_room_taken"
    )
    assert line.subject == f"{waiting}.0.0", line
    assert line.inputs["taken"] == {"lasting": 1} and line.inputs["kept"] == 0, line
    latest = line.inputs["latest"]
    assert latest["task"] == f"{started}.0.0.0" and latest["kind"] == "lasting"
    assert latest["box"] == "b0" and latest["rule"] == "due", line
    assert 5.0 <= latest["waited_s"] <= 5.3, line


def lose(harness, incarnation):
    """Remove a box that gives no more answers."""
    del harness.entries[incarnation]
    harness.scheduler.fleet.update_boxes(harness.entries, harness.now)
    lost = BoxNoAnswer("no answer")
    harness.apply(
        harness.scheduler.fleet.handle_poll_outcome(
            incarnation, harness.now, harness.now, lost
        )
    )


def is_lease_over(harness):
    return any(event.event == "box_over" for event in harness.log_events)


@given(
    "three boxes of 64 cores, one of them reserved for short tasks, the others with two"
    " long-running tasks each"
)
def one_reserved(context):
    harness = context.harness = SchedulerHarness(3)
    step = Step(count=4, cpu=8_000, memory_mb=100, long_running=True, per_box=2)
    context.workflow = harness.submit("job", step)
    boxes = harness.scheduler.state.boxes
    reserved = [
        name
        for name, box in boxes.items()
        if harness.scheduler.dispatcher.headroom.is_reserved(box)
    ]
    placed = {name: len(box.tasks) for name, box in boxes.items()}
    assert len(reserved) == 1, reserved
    assert sorted(placed.values()) == [0, 2, 2] and placed[reserved[0]] == 0, placed
    context.lost = next(name for name, tasks in placed.items() if tasks)


@when("one of these two boxes is lost until its lease has ended")
def box_lost(context):
    harness = context.harness
    lose(harness, context.lost)
    while not is_lease_over(harness):
        harness.now += 0.1
        harness.apply(harness.scheduler.fleet.expire_leases(harness.now))
    assert harness.placed("job") == 2


@when(
    "one of these two boxes is lost until its lease has ended, and another leader takes"
    " over"
)
def box_lost_and_leader_changed(context):
    harness = context.harness
    box_lost(context)
    running = [task for task in context.workflow.tasks.values() if task.placed]
    harness.scheduler.state.record_time(harness.now)
    records = harness.scheduler.take_writes()
    harness.scheduler = Scheduler(SchedulerParameters(), harness.now)
    harness.scheduler.apply_config(CONFIG)
    harness.apply(harness.scheduler.restore(records, harness.now))
    harness.scheduler.fleet.update_boxes(harness.entries, harness.now)
    context.workflow = harness.scheduler.state.workflows["job"]
    for incarnation in harness.entries:
        there = [task for task in running if task.box == incarnation]
        rows = tuple(RunningTask(task.name, task.run, "", 0, 0.0) for task in there)
        harness.apply(
            harness.scheduler.fleet.handle_poll_outcome(
                incarnation, harness.now, harness.now, PollResult(1000, rows, ())
            )
        )


@then("{seconds:g} seconds later its tasks run again")
def run_again(context, seconds):
    context.harness.wait(seconds)
    assert context.harness.placed("job") == 4


@when("one of these two boxes is evacuated")
def box_leaves(context):
    harness = context.harness
    for task in list(harness.scheduler.state.boxes[context.lost].tasks.values()):
        harness.end(task, "stopped")
    harness.scheduler.state.boxes[context.lost].evacuated = True
    assert harness.placed("job") == 2


@then(
    "{early:g} seconds later its tasks wait, and {late:g} seconds later they run again"
)
def run_later(context, early, late):
    harness = context.harness
    harness.wait(early)
    assert harness.placed("job") == 2
    harness.wait(late - early)
    assert harness.placed("job") == 4


class BusyShard(SchedulerHarness):
    """A scheduler with short tasks of which others always wait."""

    def __init__(self, boxes, off, short):
        super().__init__(boxes, off)
        self._short = short
        self._jobs = 0

    def keep_busy(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            for task in self._short_tasks():
                if self.now - task.started_at >= SHORT_TASK_S - 0.01:
                    self.end(task, "done")
            while self._waiting() < MOST_WAITING:
                self._jobs += 1
                self.submit(f"short{self._jobs}", self._short)
            self.decide()

    def short_running(self):
        return len(self._short_tasks())

    def _waiting(self):
        return sum(
            not entry.spec.long_running
            for entry in self.scheduler.state.waiting.values()
        )

    def _short_tasks(self):
        boxes = self.scheduler.state.boxes.values()
        return [
            task
            for box in boxes
            for task in list(box.tasks.values())
            if not task.spec.long_running
        ]


@given(
    "two boxes of 64 cores, one with a long-running task of 40 cores, the other with as"
    " much room"
)
def as_much_room(context):
    short = Step(count=1, cpu=30_000, memory_mb=100, estimate_ms=1200)
    harness = context.harness = BusyShard(1, NO_HEADROOM, short)
    for job, cpu in (("other", 24_000), ("filler", 10_000)):
        harness.submit(job, msgspec.structs.replace(LARGE, cpu=cpu))
    harness.submit("large", LARGE)
    entry = harness.entries["b0"]._replace(incarnation="b1", address="a1")
    harness.entries["b1"] = entry
    harness.scheduler.fleet.update_boxes(harness.entries, harness.now)
    harness.poll("b1")
    harness.decide()
    (task,) = harness.scheduler.state.workflows["large"].tasks.values()
    assert task.box == "b1", task.box
    cancel(harness, "filler")


@when(
    "short tasks of 30 cores use that room in turn, and the first box is lost until its"
    " lease has ended"
)
def used_in_turn(context):
    harness = context.harness
    harness.keep_busy(5.0)
    assert harness.short_running() == 1
    lose(harness, "b1")
    while not is_lease_over(harness):
        harness.keep_busy(0.1)


@then("{seconds:g} seconds later its task runs on the other box")
def runs_on_other(context, seconds):
    context.harness.keep_busy(seconds)
    (task,) = context.harness.scheduler.state.workflows["large"].tasks.values()
    assert task.box == "b0"


@then("short tasks use the room in turn again once that task is cancelled")
def used_again(context):
    harness = context.harness
    assert harness.short_running() == 0
    cancel(harness, "large")
    harness.keep_busy(0.1)
    assert harness.short_running() == 1


@given(
    "a box of 64 cores, full, and a task of 40 cores that has not run for {longer:g}"
    " seconds, and one for {shorter:g} that waits as long"
)
def not_run_for(context, longer, shorter):
    harness = context.harness = SchedulerHarness(1, NO_HEADROOM)
    for job in ("first", "shorter", "longer"):
        harness.submit(job, LARGE)
    state = harness.scheduler.state
    for job, seconds in (("shorter", shorter), ("longer", longer)):
        entry = state.waiting[(job, 0, 0)]
        (task,) = entry.tasks.values()
        entry.idle_since = task.idle_since = harness.now - seconds


@then("the one that has not run for 9 seconds starts")
def longer_starts(context):
    harness = context.harness
    assert (harness.placed("longer"), harness.placed("shorter")) == (1, 0)


@when(
    "one of these two boxes is lost until its lease has ended, and the next starts are"
    " withdrawn"
)
def starts_withdrawn(context):
    harness = context.harness
    box_lost(context)
    decisions = harness.scheduler.decide(harness.now, int(harness.now * 1000))
    starts = [entry for entry in decisions if isinstance(entry, StartTask)]
    assert len(starts) == 2, decisions
    for start in starts:
        harness.apply(
            harness.scheduler.handle_start_outcome(
                start.incarnation,
                start.task,
                start.run,
                CommandNotSent("the box refuses connections"),
                harness.now,
            )
        )
    assert harness.placed("job") == 2


@given(
    "a box of 64 cores with 40 cores left, and two long-running tasks of 30 cores that"
    " wait as they start only together"
)
def start_together(context):
    harness = context.harness = SchedulerHarness(1, NO_HEADROOM)
    harness.submit("first", msgspec.structs.replace(LARGE, cpu=24_000))
    step = msgspec.structs.replace(LARGE, cpu=30_000, count=2, gang=True)
    harness.submit("both", step)
    harness.wait(5.0)
    assert harness.placed("both") == 0


@when("short tasks of 5 cores start there for {seconds:g} seconds")
def short_tasks_start(context, seconds):
    harness = context.harness
    harness.log_events.clear()
    step = Step(count=1, cpu=5_000, memory_mb=100, estimate_ms=100)
    for number in range(round(seconds / 0.1)):
        workflow = harness.submit(f"short{number}", step)
        harness.wait(0.1)
        (task,) = workflow.tasks.values()
        assert task.placed
        harness.end(task, "done")


@then("the log says of no task that it took room")
def no_taker_logged(context):
    events = [event.event for event in context.harness.log_events]
    assert "lasting_waits" in events and "lasting_room_taken" not in events, events
