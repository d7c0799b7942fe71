"""Steps for job steps that have waited for long."""

from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.startlimits import StartLimits
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from session_world import CONFIG
from session_world import PARAMETERS

PASS_S = 0.05
WIDE = Step(count=20, cpu=500, memory_mb=1, estimate_ms=60_000)
# Fits on no box.
HUGE = Step(count=1, cpu=500, memory_mb=90_000, estimate_ms=200)
# Submitted all the time, and first in the order.
URGENT = Step(count=1, cpu=10, memory_mb=1, estimate_ms=100)


class LimitedScheduler:
    """A scheduler with a limit of starts in a pass, while urgent jobs are submitted."""

    def __init__(self, boxes, max_starts):
        self.now = 0.0
        self.most = max_starts
        self.jobs = 0
        self.started_at = {}
        self.scheduler = Scheduler(PARAMETERS, 0.0)
        self.scheduler.apply_config(CONFIG)
        self.scheduler.evacuation.record_read(0.0)
        entries = {f"b{n}": entry(n) for n in range(boxes)}
        self.scheduler.fleet.update_boxes(entries, 0.0)
        for incarnation in entries:
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, 0.0, 0.0, PollResult(100, (), ())
            )

    def submit(self, step):
        self.jobs += 1
        job = f"{self.jobs:016x}"
        submission = Submission(job, "q", "pool", "s", (step,))
        self.scheduler.handle_call(f"r{job}", SubmitJob(submission), self.now)
        return job

    def run_passes(self, passes):
        for _ in range(passes):
            self.now += PASS_S
            self.scheduler.evacuation.record_read(self.now)
            for _ in range(2 * self.most):
                self.submit(URGENT)
            wall_ms = int(self.now * 1000)
            for decision in self.scheduler.decide(
                self.now, wall_ms, StartLimits(self.most)
            ):
                if isinstance(decision, StartTask):
                    self.start(decision)

    def start(self, decision):
        self.started_at.setdefault(decision.task.split(".")[0], self.now)
        accepted = CommandAccepted(100)
        self.scheduler.handle_start_outcome(
            decision.incarnation, decision.task, decision.run, accepted, self.now
        )


def entry(number):
    room = (2**30, 80_000, 0)
    incarnation = f"b{number}"
    return BoxEntry(
        incarnation,
        f"{incarnation}:1",
        "pool",
        "h",
        "r",
        frozenset(),
        *room,
        False,
        None,
    )


@given(
    "{boxes:d} boxes with room, and a limit of {most:d} starts in a pass while urgent "
    "jobs are submitted"
)
def limited(context, boxes, most):
    context.limited = LimitedScheduler(boxes, most)


@when(
    "a job that fits nowhere waits for {seconds:g} seconds, and {count:d} others "
    "behind it"
)
def fits_nowhere(context, seconds, count):
    limited = context.limited
    limited.submit(HUGE)
    limited.run_passes(1)
    context.waiting = [limited.submit(WIDE) for _ in range(count)]
    limited.run_passes(round(seconds / PASS_S))


@when("{count:d} jobs wait for {seconds:g} seconds")
def jobs_wait(context, count, seconds):
    limited = context.limited
    context.waiting = [limited.submit(WIDE) for _ in range(count)]
    limited.run_passes(round(seconds / PASS_S))


@then("each of the others has started")
@then("each of them has started")
def each_has_started(context):
    started_at = context.limited.started_at
    missing = [job for job in context.waiting if job not in started_at]
    assert not missing, (len(missing), len(context.waiting))


@then("{part:g} of the starts went to urgent jobs")
def rest_is_urgent(context, part):
    limited = context.limited
    starts = sum(job not in context.waiting for job in limited.started_at)
    passes = round(limited.now / PASS_S)
    assert starts >= part * passes * limited.most, (starts, passes * limited.most)
