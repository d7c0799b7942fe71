"""Steps of the scenarios over lasting work that waits for long."""

import msgspec
from behave import given
from behave import then
from behave import when
from room_steps import CONFIG
from room_steps import SERVING
from room_steps import Desk

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


def wait_for_processors(desk):
    desk.submit("job", SERVING)


def wait_for_memory(desk):
    desk.submit("job", LARGE)


def wait_for_quarantine(desk):
    for box in desk.scheduler.state.boxes.values():
        box.closed_until = desk.now + 60.0
    desk.submit("job", SERVING)


def wait_for_hall(desk):
    desk.take(
        desk.scheduler.evacuation.apply_directives([HallDirective("h", True)], desk.now)
    )
    desk.submit("job", SERVING)


def wait_for_lease(desk):
    desk.submit("job", ONE)
    (task,) = desk.scheduler.state.workflows["job"].tasks.values()
    lost = BoxNoAnswer("no answer")
    desk.take(desk.scheduler.fleet.poll_answered(task.box, desk.now, desk.now, lost))


def wait_for_predecessor(desk):
    desk.submit("job", ONE)
    records = desk.scheduler.take_writes()
    desk.scheduler = Scheduler(SchedulerParameters(), desk.now)
    desk.scheduler.configured(CONFIG)
    desk.take(desk.scheduler.restore(records, desk.now))


def wait_for_operators(desk):
    desk.scheduler.evacuation.record_read(desk.now)
    desk.now += 3.0
    desk.submit("job", SERVING)


REASONS = {
    "processor time": wait_for_processors,
    "memory": wait_for_memory,
    "boxes that fail what they start": wait_for_quarantine,
    "evacuated data halls": wait_for_hall,
    "the lease of a silent box": wait_for_lease,
    "a box that a predecessor used": wait_for_predecessor,
    "operators' orders not known": wait_for_operators,
}


@given("four boxes of 64 cores, where lasting work waits for {reason}")
def long_running_tasks_wait(context, reason):
    context.desk = Desk(4, OFF)
    REASONS[reason](context.desk)


@when("{seconds:g} seconds pass in which nothing frees room")
def nothing_frees_room(context, seconds):
    context.desk.notes.clear()
    context.desk.wait(seconds)


@then("every 2 seconds from 3 on it is told that it waits for {cause}")
def cause_reported(context, cause):
    notes = [note for note in context.desk.notes if note.event == "lasting_waits"]
    causes = [note.inputs["cause"] for note in notes]
    assert 1 <= len(causes) <= 3 and set(causes) == {cause}, notes
    causes = context.desk.scheduler.long_running_waits.causes
    counted = {counted.value for counted, tasks in causes.items() if tasks}
    assert counted == {cause}, causes


class FailingBox:
    """A decider with one box, where every run fails after a moment while ``fails``."""

    def __init__(self):
        self.desk = Desk(1, OFF)
        self.fails = True
        self.long_running = self.desk.submit("lasting", ONE)
        self.long_running_starts = []
        self.short_starts = []
        self._seen = set()
        self._jobs = 0

    def _note(self, task):
        if (task.name, task.run) not in self._seen:
            self._seen.add((task.name, task.run))
            starts = (
                self.long_running_starts
                if task.spec.long_running
                else self.short_starts
            )
            starts.append(self.desk.now)

    def step(self):
        """Let 0.1 s pass; each run ends in the step after the one it began in."""
        desk = self.desk
        before = self._tasks()
        desk.wait(0.1)
        for task in self._tasks():
            self._note(task)
        for task in before:
            if task.placed and (self.fails or not task.spec.long_running):
                desk.end(task, "failed" if self.fails else "done")

    def _tasks(self):
        (box,) = self.desk.scheduler.state.boxes.values()
        return list(box.tasks.values())

    def submit_short(self, count):
        for _ in range(count):
            self._jobs += 1
            self.desk.submit(f"short{self._jobs}", SMALL)


@given("a box on which tasks of eight jobs run")
def eight_jobs(context):
    context.desk = Desk(1, OFF)
    for number in range(8):
        context.desk.submit(f"job{number}", SMALL)
    (context.box,) = context.desk.scheduler.state.boxes.values()
    assert len(context.box.tasks) == 8


@when("all of them fail at once")
def fail_at_once(context):
    desk = context.desk
    tasks = list(context.box.tasks.values())
    first = desk.ends + 1
    desk.ends += len(tasks)
    rows = [
        EndedRun(first + number, task.name, task.run, "failed", "")
        for number, task in enumerate(tasks)
    ]
    desk.poll(context.box.incarnation, rows)
    assert not context.box.open_for_work(desk.now)


@then("the box takes work again after {seconds:g} seconds")
def takes_work_after(context, seconds):
    now = context.desk.now
    assert not context.box.open_for_work(now + seconds - 0.2)
    assert context.box.open_for_work(now + seconds + 0.2)


@given("a lasting task that has room only on a box where every run fails")
def only_failing_box(context):
    context.failing = FailingBox()
    context.failing.submit_short(6)
    context.failing.step()
    context.failing.step()
    (context.box,) = context.failing.desk.scheduler.state.boxes.values()
    assert not context.box.open_for_work(context.failing.desk.now)


@when("the box fails what it starts for {seconds:g} seconds")
def fails_for(context, seconds):
    failing = context.failing
    failing.submit_short(40)
    failing.long_running_starts.clear()
    context.quarantined_steps = []
    for _ in range(round(seconds / 0.1)):
        closed = not context.box.open_for_work(failing.desk.now)
        starts = len(failing.short_starts), len(failing.long_running_starts)
        failing.step()
        if closed and not context.box.open_for_work(failing.desk.now):
            now = len(failing.short_starts), len(failing.long_running_starts)
            context.quarantined_steps.append((now[0] - starts[0], now[1] - starts[1]))
    failing.fails = False


@then("meanwhile it was tried there at most once every 2 seconds, and no short job was")
def tried_seldom(context):
    assert not any(short for short, _ in context.quarantined_steps)
    tried = sum(lasting for _, lasting in context.quarantined_steps)
    assert tried <= len(context.quarantined_steps) * 0.1 / 2.0 + 1, tried


@then("the lasting task runs there for good within {seconds:g} seconds more")
def runs_for_good(context, seconds):
    failing = context.failing
    (task,) = failing.long_running.tasks.values()
    began = failing.desk.now
    while not task.placed and failing.desk.now - began < 30.0:
        failing.step()
    took = failing.desk.now - began
    assert took <= seconds, took
    for _ in range(50):
        failing.step()
        assert task.placed
