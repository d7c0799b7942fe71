"""Steps for long-running tasks that wait for long, and for quarantined boxes."""

import msgspec
from behave import given
from behave import then
from behave import when
from room_steps import CONFIG
from room_steps import SERVING
from room_steps import SchedulerHarness

from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import HallDirective
from granitetrestle.mechanisms import Mechanism
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step

LARGE = Step(count=30, cpu=1000, memory_mb=100_000, long_running=True)
ONE = msgspec.structs.replace(SERVING, count=1)
SMALL = Step(count=1, cpu=1000, memory_mb=100, estimate_ms=800)
OFF = frozenset({Mechanism.HEADROOM})


def wait_for_processors(harness):
    harness.submit("job", SERVING)


def wait_for_memory(harness):
    harness.submit("job", LARGE)


def wait_for_quarantine(harness):
    for box in harness.scheduler.state.boxes.values():
        box.closed_until = harness.now + 60.0
    harness.submit("job", SERVING)


def wait_for_hall(harness):
    harness.apply(
        harness.scheduler.evacuation.apply_directives(
            [HallDirective("h", True)], harness.now
        )
    )
    harness.submit("job", SERVING)


def wait_for_lease(harness):
    harness.submit("job", ONE)
    (task,) = harness.scheduler.state.workflows["job"].tasks.values()
    lost = BoxNoAnswer("no answer")
    harness.apply(
        harness.scheduler.fleet.handle_poll_outcome(
            task.box, harness.now, harness.now, lost
        )
    )


def wait_for_predecessor(harness):
    harness.submit("job", ONE)
    records = harness.scheduler.take_writes()
    harness.scheduler = Scheduler(SchedulerParameters(), harness.now)
    harness.scheduler.apply_config(CONFIG)
    harness.apply(harness.scheduler.restore(records, harness.now))


def wait_for_operators(harness):
    harness.scheduler.evacuation.record_read(harness.now)
    harness.now += 3.0
    harness.submit("job", SERVING)


REASONS = {
    "processor time": wait_for_processors,
    "memory": wait_for_memory,
    "quarantined boxes": wait_for_quarantine,
    "evacuated data halls": wait_for_hall,
    "the lease of a silent box": wait_for_lease,
    "a box that a predecessor used": wait_for_predecessor,
    "operators' directives not read": wait_for_operators,
}


@given("four boxes of 64 cores, where long-running tasks wait for {reason}")
def long_running_tasks_wait(context, reason):
    context.harness = SchedulerHarness(4, OFF)
    REASONS[reason](context.harness)


@when("{seconds:g} seconds pass in which nothing frees room")
def nothing_frees_room(context, seconds):
    context.harness.log_events.clear()
    context.harness.wait(seconds)


@then("every 2 seconds from 3 on the log gives the cause of the wait as {cause}")
def cause_reported(context, cause):
    log_events = [
        log_event
        for log_event in context.harness.log_events
        if log_event.event == "lasting_waits"
    ]
    causes = [log_event.inputs["cause"] for log_event in log_events]
    assert 1 <= len(causes) <= 3 and set(causes) == {cause}, log_events
    causes = context.harness.scheduler.long_running_waits.causes
    counted = {counted.value for counted, tasks in causes.items() if tasks}
    assert counted == {cause}, causes


@given("a box of 64 cores, where three long-running tasks of 40 cores wait for room")
def three_large_tasks(context):
    context.harness = SchedulerHarness(1, OFF)
    step = Step(count=3, cpu=40_000, memory_mb=100, long_running=True)
    context.workflow = context.harness.submit("job", step)


@when("a second box is added after {seconds:g} seconds")
def second_box(context, seconds):
    harness = context.harness
    harness.wait(seconds)
    entry = harness.entries["b0"]._replace(incarnation="b1", address="a1")
    harness.entries["b1"] = entry
    harness.scheduler.fleet.update_boxes(harness.entries, harness.now)
    harness.poll("b1")
    harness.decide()
    placed = [task for task in context.workflow.tasks.values() if task.placed]
    assert len(placed) == 2, placed


@then("{seconds:g} seconds later the log gives a wait of at least {least:g} seconds")
def wait_logged(context, seconds, least):
    harness = context.harness
    harness.log_events.clear()
    harness.wait(seconds)
    waits = [
        event.inputs["waited_s"]
        for event in harness.log_events
        if event.event == "lasting_waits"
    ]
    assert waits and max(waits) >= least, waits


class FailingBox:
    """A scheduler with one box, where every run soon fails while ``fails`` is set."""

    def __init__(self):
        self.harness = SchedulerHarness(1, OFF)
        self.fails = True
        self.long_running = self.harness.submit("lasting", ONE)
        self.long_running_starts = []
        self.short_starts = []
        self._recorded = set()
        self._jobs = 0

    def _record_start(self, task):
        if (task.name, task.run) not in self._recorded:
            self._recorded.add((task.name, task.run))
            starts = (
                self.long_running_starts
                if task.spec.long_running
                else self.short_starts
            )
            starts.append(self.harness.now)

    def step(self):
        """Let 0.1 s pass; a run ends in the step after the one in which it started."""
        harness = self.harness
        before = self._tasks()
        harness.wait(0.1)
        for task in self._tasks():
            self._record_start(task)
        for task in before:
            if task.placed and (self.fails or not task.spec.long_running):
                harness.end(task, "failed" if self.fails else "done")

    def _tasks(self):
        (box,) = self.harness.scheduler.state.boxes.values()
        return list(box.tasks.values())

    def submit_short(self, count):
        for _ in range(count):
            self._jobs += 1
            self.harness.submit(f"short{self._jobs}", SMALL)


@given("a box on which tasks of eight jobs run")
def eight_jobs(context):
    context.harness = SchedulerHarness(1, OFF)
    for number in range(8):
        context.harness.submit(f"job{number}", SMALL)
    (context.box,) = context.harness.scheduler.state.boxes.values()
    assert len(context.box.tasks) == 8


@when("all of them fail at once")
def fail_at_once(context):
    harness = context.harness
    tasks = list(context.box.tasks.values())
    first = harness.ends + 1
    harness.ends += len(tasks)
    rows = [
        EndedRun(first + number, task.name, task.run, "failed", "")
        for number, task in enumerate(tasks)
    ]
    harness.poll(context.box.incarnation, rows)
    assert not context.box.open_for_work(harness.now)


@then("the box takes work again after {seconds:g} seconds")
def takes_work_after(context, seconds):
    now = context.harness.now
    assert not context.box.open_for_work(now + seconds - 0.2)
    assert context.box.open_for_work(now + seconds + 0.2)


@given("a long-running task that has room only on a box where every run fails")
def only_failing_box(context):
    context.failing = FailingBox()
    context.failing.submit_short(6)
    context.failing.step()
    context.failing.step()
    (context.box,) = context.failing.harness.scheduler.state.boxes.values()
    assert not context.box.open_for_work(context.failing.harness.now)


@when("every run on the box fails for {seconds:g} seconds")
def fails_for(context, seconds):
    failing = context.failing
    failing.submit_short(40)
    failing.long_running_starts.clear()
    context.quarantined_steps = []
    for _ in range(round(seconds / 0.1)):
        closed = not context.box.open_for_work(failing.harness.now)
        starts = len(failing.short_starts), len(failing.long_running_starts)
        failing.step()
        if closed and not context.box.open_for_work(failing.harness.now):
            now = len(failing.short_starts), len(failing.long_running_starts)
            context.quarantined_steps.append((now[0] - starts[0], now[1] - starts[1]))
    failing.fails = False


@then(
    "meanwhile it was started there at most once every 2 seconds, and no short job was"
)
def starts_limited(context):
    assert not any(short for short, _ in context.quarantined_steps)
    tried = sum(long_running for _, long_running in context.quarantined_steps)
    assert tried <= len(context.quarantined_steps) * 0.1 / 2.0 + 1, tried


@then(
    "the long-running task starts there within {seconds:g} seconds more, and keeps "
    "running"
)
def keeps_running(context, seconds):
    failing = context.failing
    (task,) = failing.long_running.tasks.values()
    started_at = failing.harness.now
    while not task.placed and failing.harness.now - started_at < 30.0:
        failing.step()
    took = failing.harness.now - started_at
    assert took <= seconds, took
    for _ in range(50):
        failing.step()
        assert task.placed
