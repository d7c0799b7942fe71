"""Steps of the scenarios about headroom, the breakdown of a job's duration by phase,
quarantine, and mechanisms that are switched off."""

import json
import math
import random
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from granitetrestle.boxes import BoxView
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StartTask
from granitetrestle.errors import UnknownMechanism
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import RunningTask
from granitetrestle.interference import Interference
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.mechanisms import parse_switched_off
from granitetrestle.overload import tolerable_slowdown
from granitetrestle.progress import Progress
from granitetrestle.scheduler import Scheduler
from granitetrestle.serviceload import MEAN_BUSY_SHARE
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.tasktimes import PHASES
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow

QUEUE = Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1000.0)
CONFIG = Config(1, (QUEUE,), {"pool": True}, 262144)
SERVING = Step(
    count=30, cpu=15_000, memory_mb=100, long_running=True, image="s", target_ms=50.0
)
SHORT = Step(count=1, cpu=19_000, memory_mb=100, estimate_ms=800)


class SchedulerHarness:
    """A scheduler with boxes that carry out each command at once."""

    def __init__(self, boxes, off=frozenset()):
        self.now = 10.0
        self.scheduler = Scheduler(SchedulerParameters(off=off), self.now)
        self.scheduler.apply_config(CONFIG)
        self.entries = {
            f"b{number}": BoxEntry(
                f"b{number}",
                f"a{number}",
                "pool",
                "h",
                "r",
                frozenset(),
                64_000,
                256_000,
                0,
                False,
                None,
            )
            for number in range(boxes)
        }
        self.scheduler.fleet.update_boxes(self.entries, self.now)
        self.ends = 0
        self.log_events = []
        for incarnation in self.entries:
            self.poll(incarnation)

    def poll(self, incarnation, ended=()):
        box = self.scheduler.state.boxes[incarnation]
        over = {row.task for row in ended}
        running = tuple(
            RunningTask(task.name, task.run, "", 0, 0.0)
            for task in box.tasks.values()
            if task.name not in over
        )
        outcome = PollResult(1000, running, tuple(ended))
        self.apply(
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, self.now, self.now, outcome
            )
        )

    def end(self, task, how):
        self.ends += 1
        row = EndedRun(self.ends, task.name, task.run, how, "")
        self.poll(task.box, [row])

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, StartTask):
                self.scheduler.handle_start_outcome(
                    decision.incarnation,
                    decision.task,
                    decision.run,
                    CommandAccepted(1),
                    self.now,
                )
            elif isinstance(decision, LogEvent):
                self.log_events.append(decision)

    def submit(self, job, *steps):
        call = SubmitJob(Submission(job, "q", "pool", "", steps))
        self.apply(self.scheduler.handle_call("r", call, self.now))
        self.decide()
        return self.scheduler.state.workflows[job]

    def decide(self):
        self.apply(self.scheduler.decide(self.now, int(self.now * 1000)))

    def wait(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.decide()

    def placed(self, job):
        return sum(
            task.placed for task in self.scheduler.state.workflows[job].tasks.values()
        )


@given("four boxes of 64 cores, full of long-running tasks except for the headroom")
def full_except_headroom(context):
    context.harness = SchedulerHarness(4)
    context.harness.submit("first", SERVING)
    assert 10 <= context.harness.placed("first") < 16, context.harness.placed("first")
    context.before = context.harness.placed("first")


@given("four boxes of 64 cores without headroom, full of long-running tasks")
def full(context):
    context.harness = SchedulerHarness(4, frozenset({Mechanism.HEADROOM}))
    context.harness.submit("first", SERVING)
    assert context.harness.placed("first") == 16


@when("a short job of 19 cores a task is submitted")
def short_submitted(context):
    context.harness.submit("short", SHORT)


@then("its tasks start at once")
def short_starts(context):
    assert context.harness.placed("short") == 1


@then("waiting long-running tasks start nowhere meanwhile")
def long_running_wait(context):
    assert context.harness.placed("first") == context.before


@when("no short job is submitted for {seconds:g} seconds")
def no_short_submitted(context, seconds):
    context.harness.wait(seconds)


@then("waiting long-running tasks have taken all room")
def long_running_start(context):
    assert context.harness.placed("first") == 16


@when("short tasks use the headroom for half a second after a second")
def short_uses_headroom(context):
    harness = context.harness
    step = Step(count=3, cpu=19_000, memory_mb=100, estimate_ms=500)
    harness.wait(1.0)
    workflow = harness.submit("moment", step)
    assert all(task.placed for task in workflow.tasks.values())
    harness.wait(0.5)
    for task in list(workflow.tasks.values()):
        harness.end(task, "done")


@then("waiting long-running tasks have started within 0.8 seconds more")
def long_running_started(context):
    context.harness.wait(0.8)
    assert context.harness.placed("first") > context.before


@then("its tasks wait")
def short_waits(context):
    context.harness.wait(2.0)
    assert context.harness.placed("short") == 0


@given("two boxes of 64 cores")
def two_boxes(context):
    context.harness = SchedulerHarness(2, frozenset({Mechanism.HEADROOM}))


@when("one serving task of image a, two of image b and one more of a are submitted")
def serving_submitted(context):
    for job, (image, count) in enumerate((("a", 1), ("b", 2), ("a", 1))):
        step = Step(
            count=count, cpu=13_000, long_running=True, image=image, target_ms=50.0
        )
        context.harness.submit(str(job), step)


@then("each box serves one image")
def one_image_each(context):
    images = [
        {task.spec.image for task in box.serving.values()}
        for box in context.harness.scheduler.state.boxes.values()
    ]
    assert sorted(map(sorted, images)) == [["a"], ["b"]], images


@given("a job of two steps that waited, failed once and was slowed")
def eventful_job(context):
    harness = context.harness = SchedulerHarness(0)
    steps = (
        Step(count=1, cpu=1000, memory_mb=100),
        Step(count=1, cpu=1000, memory_mb=100, depends_on=(0,)),
    )
    context.workflow = harness.submit("job", *steps)
    first, second = context.workflow.tasks.values()
    harness.now += 1.0
    harness.__dict__.update(entries={"b0": SchedulerHarness(1).entries["b0"]})
    harness.scheduler.fleet.update_boxes(harness.entries, harness.now)
    harness.poll("b0")
    harness.decide()
    harness.now += 2.0
    harness.end(first, "failed")
    harness.decide()
    harness.now += 3.0
    harness.end(first, "done")
    harness.decide()
    second.set_pace(50, harness.now)
    harness.now += 1.0
    harness.end(second, "done")


@then(
    "its log line adds up to the time it took: {room:g} s for room, {failed:g} s"
    " failed, {run:g} s run, {slowed:g} s slowed"
)
def line_adds_up(context, room, failed, run, slowed):
    (log_event,) = [
        log_event
        for log_event in context.harness.log_events
        if log_event.event == "job_completed"
    ]
    spent = {
        key: value for key, value in log_event.inputs.items() if key.endswith("_s")
    }
    assert abs(spent["took_s"] - 7.0) < 0.01, spent
    expected = {"room_s": room, "failed_s": failed, "run_s": run, "slowed_s": slowed}
    for key, seconds in expected.items():
        assert abs(spent[key] - seconds) < 0.01, (key, spent)


@then('switching off "{text}" names two mechanisms')
def two_named(context, text):
    assert parse_switched_off(text) == {Mechanism.PACING, Mechanism.MOVES}
    assert parse_switched_off("") == frozenset()


@then('switching off "{text}" is refused, naming luck and every known one')
def refused(context, text):
    try:
        parse_switched_off(text)
    except UnknownMechanism as error:
        assert error.unknown == ("luck",)
        assert all(mechanism.value in error.message for mechanism in Mechanism)
    else:
        raise AssertionError("taken")


@given(
    "a serving image whose unloaded tail is {unloaded:g} of its target, busy a fifth"
    " at least"
)
def unloaded_tail(context, unloaded):
    context.unloaded, context.interference = unloaded, Interference()
    draw = random.Random(1)
    for tick in range(32):
        load = 0.45 - 0.25 * math.cos(tick * 0.5 * math.pi / 3.5)
        for number in range(30):
            busy = load * (1.3 if number % 3 == 0 else 1.0)
            level = unloaded / (1.0 - busy) + draw.gauss(0.0, 0.01)
            context.interference.unloaded_tails.observe("s", level)


@then(
    "after 16 seconds of polls the estimate is right within {within:g}, also if slowed"
)
def unloaded_tail_known(context, within):
    estimate = context.interference.unloaded_tails.tail_share("s")
    assert abs(estimate - context.unloaded) <= within, estimate


@then("the tolerable slowdown keeps its tasks within their target")
def keeps_target(context):
    step = Step(count=1, cpu=1000, long_running=True, image="s", target_ms=50.0)
    workflow = Workflow(Submission("1", "q", "pool", "", (step,)), 0.0)
    (task,) = workflow.tasks.values()
    entry = SchedulerHarness(1).entries["b0"]
    slowdown = tolerable_slowdown(BoxView(entry, 0.0), task, context.interference, 10.0)
    busy = (1.0 + slowdown) * MEAN_BUSY_SHARE
    assert context.unloaded / (1.0 - busy) <= 1.1, (busy, context.unloaded)


@given("a log in which two jobs ended, one of them 2 s late after 3 s for room")
def two_ended(context):
    phases = dict.fromkeys((f"{phase}_s" for phase in PHASES), 0.0)
    common = {"event": "job_completed", "node": "n1", "queue": "q", "took_s": 4.0}
    lines = [
        {**common, **phases, "timestamp": "T10:00:00.0Z", "late_s": -1.0},
        {**common, **phases, "timestamp": "T10:00:01.0Z", "late_s": 2.0, "room_s": 3.0},
        {"event": "started", "node": "n1", "timestamp": "T10:00:02.0Z"},
    ]
    context.log = write_log(lines)


def write_log(lines):
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
        log.writelines(json.dumps(line) + "\n" for line in lines)
    return log.name


def explain_all(path):
    command = [sys.executable, "-m", "granitetrestle.cli", "explain", "all"]
    return subprocess.run(
        [*command, "--logs", path, "--json"],
        capture_output=True,
        text=True,
        check=False,
    )


@then(
    "the command line summarizes it: {jobs:d} jobs, {late:d} late, {room:g} s for room"
)
def jobs_summarized(context, jobs, late, room):
    done = explain_all(context.log)
    (queue,) = json.loads(done.stdout)
    assert (queue["jobs"], queue["late"]) == (jobs, late), queue
    assert queue["phases"]["room"] == room and queue["took_s"] == 4.0, queue
    assert queue["late_phases"]["room"] == 3.0, queue


@then("a log in which no job ended is refused as not found")
def nothing_ended(context):
    done = explain_all(write_log([]))
    assert done.returncode != 0 and "no job ended" in done.stderr, done


def end_of_job(harness, number, how):
    """Submit a job of one task, and end its first run."""
    step = Step(count=1, cpu=1000, memory_mb=100)
    workflow = harness.submit(f"job{number}", step)
    (task,) = workflow.tasks.values()
    if task.placed:
        harness.end(task, how)


@given("a box on which one run in 20 fails, by chance three of three jobs in a row")
def usual_failures(context):
    context.harness = SchedulerHarness(1)
    for number in range(200):
        end_of_job(context.harness, number, "failed" if number % 20 == 0 else "done")
        context.harness.wait(0.1)
    for number in range(200, 203):
        end_of_job(context.harness, number, "failed")


@then("it still takes work")
def takes_work(context):
    (box,) = context.harness.scheduler.state.boxes.values()
    assert box.open_for_work(context.harness.now)


@when("every run there fails")
def every_run_fails(context):
    (box,) = context.harness.scheduler.state.boxes.values()
    context.failures = 0
    while box.open_for_work(context.harness.now) and context.failures < 10:
        end_of_job(context.harness, 300 + context.failures, "failed")
        context.failures += 1


@then("it is quarantined after {count:d} more failures at most")
def quarantined(context, count):
    assert context.failures <= count, context.failures


@given("a leader with a box, and two tasks of a job, one of which was requeued")
def waits_again(context):
    harness = context.harness = SchedulerHarness(1)
    workflow = harness.submit("job", Step(count=2, cpu=1000, memory_mb=10))
    context.task, context.other = workflow.tasks.values()
    context.incarnation = context.task.box
    # As after the latest time at which its lease can expire.
    Progress(harness.scheduler.state).requeue(context.task, harness.now)


@when("the end of its last run is listed after all, as done")
def listed_done(context):
    harness = context.harness
    harness.ends += 1
    harness.poll(
        context.incarnation, [EndedRun(harness.ends, context.task.name, 1, "done", "")]
    )


@then("the next pass starts nothing, and the job completes with the other task")
def starts_nothing(context):
    harness = context.harness
    harness.wait(1.0)
    assert context.task.run == 1
    harness.end(context.other, "done")
    assert harness.scheduler.state.workflows["job"].state == "completed"
