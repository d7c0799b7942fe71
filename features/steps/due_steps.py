"""Steps for long-running tasks that are due and wait for room."""

from behave import given
from behave import then
from behave import when
from room_steps import SchedulerHarness

from granitetrestle.jobcalls import CancelJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.workflows import Step

NO_HEADROOM = frozenset({Mechanism.HEADROOM})
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
    assert latest["box"] == "b0" and latest["rule"] == "head_start", line
    assert 5.0 <= latest["waited_s"] <= 5.3, line
