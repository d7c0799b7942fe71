"""Steps for a stop that a box rejects as unhealthy."""

from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import PollResult
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from session_world import CONFIG
from session_world import PARAMETERS

ROOM = (8000, 8000, 0)


def entry(incarnation):
    return BoxEntry(
        incarnation,
        f"{incarnation}:1",
        "pool",
        "h",
        "r",
        frozenset(),
        *ROOM,
        False,
        None,
    )


@given("a task whose start got no answer, so that it is being stopped")
def being_stopped(context):
    scheduler = context.scheduler = Scheduler(PARAMETERS, 0.0)
    scheduler.apply_config(CONFIG)
    scheduler.fleet.update_boxes({"b1": entry("b1")}, 0.0)
    scheduler.fleet.handle_poll_outcome("b1", 0.1, 0.1, PollResult(100, (), ()))
    step = Step(count=1, cpu=500, memory_mb=1, estimate_ms=200)
    job = Submission("1".rjust(16, "0"), "q", "pool", "s", (step,))
    scheduler.handle_call("r", SubmitJob(job), 0.2)
    (start,) = [d for d in scheduler.decide(0.2, 200) if isinstance(d, StartTask)]
    context.start = start
    doubt = BoxNoAnswer("no answer in time", True)
    stops = scheduler.handle_start_outcome("b1", start.task, start.run, doubt, 0.6)
    assert any(isinstance(d, StopTask) for d in stops), stops


def poll_box(context, now):
    """Poll the box, which lists nothing, and return the decisions after it."""
    scheduler = context.scheduler
    effects = scheduler.fleet.handle_poll_outcome(
        "b1", now, now, PollResult(int(now * 1000), (), ())
    )
    return [*effects, *scheduler.decide(now, int(now * 1000))]


@when("the box rejects the stop as unhealthy, and polls do not list the task")
def refuses(context):
    start, refused = context.start, CommandRejected("unhealthy")
    context.scheduler.handle_stop_outcome("b1", start.task, start.run, refused, 0.7)
    context.decisions = [*poll_box(context, 0.8), *poll_box(context, 1.5)]


@then("the task is not started again, and the stop is repeated")
def not_again(context):
    decisions = context.decisions
    assert not any(isinstance(d, StartTask) for d in decisions), decisions
    assert any(isinstance(d, StopTask) for d in decisions), decisions


@then("once the box has accepted the stop, the task is started again")
def then_started(context):
    start, taken = context.start, CommandAccepted(1600)
    context.scheduler.handle_stop_outcome("b1", start.task, start.run, taken, 1.6)
    starts = [d for d in poll_box(context, 1.8) if isinstance(d, StartTask)]
    assert [d.run for d in starts] == [start.run + 1], starts
