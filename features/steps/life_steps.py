"""Steps for how a scheduler tracks the incarnations of a box."""

import json

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.calls import Reply
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.incarnations import box_id_of
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.platform.advice import PlatformAdvisor
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import RUNNING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from session_world import CONFIG
from session_world import PARAMETERS

JOB = "1".rjust(16, "0")
TASK = f"{JOB}.0.0.0"
STEP = Step(count=1, cpu=500, memory_mb=1, estimate_ms=200)
NOTHING = PollResult(100, (), ())


def entry(incarnation):
    room = (8000, 8000, 0)
    return BoxEntry(
        incarnation,
        "b:1",
        "pool",
        "h",
        "r",
        frozenset(),
        *room,
        False,
        None,
        box_id=box_id_of(incarnation),
    )


def new_scheduler(now):
    scheduler = Scheduler(PARAMETERS, now)
    scheduler.apply_config(CONFIG)
    return scheduler


def list_box(scheduler, incarnation, now):
    return scheduler.fleet.update_boxes({incarnation: entry(incarnation)}, now)


def decide(scheduler, now):
    return scheduler.decide(now, int(now * 1000))


@given(
    "a leader that placed a task on the incarnation {incarnation} of box b, alone in "
    "its list"
)
def placed(context, incarnation):
    scheduler = new_scheduler(0.0)
    list_box(scheduler, incarnation, 0.0)
    scheduler.fleet.handle_poll_outcome(incarnation, 0.1, 0.1, NOTHING)
    job = Submission(JOB, "q", "pool", "s", (STEP,))
    scheduler.handle_call("r", SubmitJob(job), 0.2)
    (start,) = [d for d in decide(scheduler, 0.2) if isinstance(d, StartTask)]
    scheduler.handle_start_outcome(
        incarnation, start.task, start.run, CommandAccepted(200), 0.3
    )
    context.stored_records = scheduler.take_writes()
    context.scheduler = scheduler


def takes_over(context, incarnation):
    context.scheduler = scheduler = new_scheduler(1.0)
    scheduler.restore(context.stored_records, 1.0)
    context.effects = list_box(scheduler, incarnation, 1.0)


def poll_box(context, incarnation, outcome, now):
    context.effects = context.scheduler.fleet.handle_poll_outcome(
        incarnation, now, now, outcome
    )
    context.effects += decide(context.scheduler, now)


RUNS_IT = PollResult(100, (RunningTask(TASK, 1, "", 10, 0.0),), ())


@when(
    "box b starts again as b@2, a successor takes over, and b@2 answers its first poll"
)
def starts_again(context):
    takes_over(context, "b@2")
    poll_box(context, "b@2", NOTHING, 1.1)


@when(
    "a successor takes over, whose list still shows b@1, and another incarnation "
    "answers"
)
def outdated_list(context):
    takes_over(context, "b@1")
    poll_box(context, "b@1", BoxReplaced(), 1.1)


@when("b@2 is listed, answers, and runs it")
def then_listed(context):
    list_box(context.scheduler, "b@2", 1.2)
    poll_box(context, "b@2", RUNS_IT, 1.3)


@when("a successor takes over, whose list shows b@2, which {shows} at its first poll")
def shows(context, shows):
    takes_over(context, "b@2")
    poll_box(context, "b@2", RUNS_IT if shows == "runs it" else NOTHING, 1.1)


def starts(context):
    return [d for d in context.effects if isinstance(d, StartTask)]


@then("at once the task is started on {incarnation}, as run {run:d}")
@then("the task is started on {incarnation}, as run {run:d}")
def started(context, incarnation, run):
    assert [(d.incarnation, d.run) for d in starts(context)] == [(incarnation, run)], (
        context.effects
    )


@then("the task waits")
def waits(context):
    assert not starts(context), context.effects
    assert context.scheduler.state.find_task(TASK).run == 1


@then("the task runs on {incarnation}, as run {run:d}")
def runs(context, incarnation, run):
    task = context.scheduler.state.find_task(TASK)
    assert not any(isinstance(d, StartTask | StopTask) for d in context.effects)
    assert (task.state, task.box, task.run) == (RUNNING, incarnation, run)


@when("the list shows b@2 in its place, at another address")
def moved(context):
    moved = entry("b@2")._replace(address="b:2")
    context.effects = context.scheduler.fleet.update_boxes({"b@2": moved}, 0.4)


@then("the incarnation b@1 has ended, and its task waits")
def over(context):
    over = [d.subject for d in context.effects if getattr(d, "event", "") == "box_over"]
    assert over == ["b@1"], context.effects
    assert context.scheduler.state.find_task(TASK).box == ""


class AdviceService(Caller):
    """Answers each call with the same rows."""

    def __init__(self, rows):
        super().__init__()
        self.answer = json.dumps({"good": rows, "valid_ms": 1000}).encode()
        self.asked = []

    async def call(self, address, path, headers=(), body=b"", *args, **options):
        """See :class:`Caller`."""
        self.asked += json.loads(body)["workers"]
        return Reply(200, (), self.answer)


@given(
    'an advice service that names box {box} with the ticket "{ticket}", and box {other}'
)
def advice_service(context, box, ticket, other):
    context.service = AdviceService([[box, ticket], [other, "y"]])


@when("it is asked about the incarnations {first} and {second}")
def asked_about(context, first, second):
    advisor = PlatformAdvisor("address", context.service)
    context.advice = anyio.run(advisor.advise, "job.0.0", (first, second), 1.0)


@then(
    "it was asked about b and c, and only the incarnation {incarnation} has a ticket, "
    '"{ticket}"'
)
def has_ticket(context, incarnation, ticket):
    assert context.service.asked == ["b", "c"], context.service.asked
    assert context.advice.tickets == {incarnation: ticket}, context.advice
