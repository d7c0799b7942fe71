"""Steps for submissions that come after their cancel."""

from behave import given
from behave import then
from behave import when
from long_record_steps import Leader

from granitetrestle.decisions import AnswerCall
from granitetrestle.earlycancels import EARLY_CANCEL_KEY
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import GetState
from granitetrestle.jobcalls import JobAccepted
from granitetrestle.jobcalls import JobRefused
from granitetrestle.jobcalls import NoSuchJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.nodelog import NodeLog
from granitetrestle.scheduler import Scheduler
from granitetrestle.standstills import Standstills
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission

JOB = "c" * 16
TICK_S = 0.1


def outcome(scheduler, call, now):
    """Return the answer to a call."""
    (answer,) = (
        decision
        for decision in scheduler.handle_call("r", call, now)
        if isinstance(decision, AnswerCall)
    )
    return answer.outcome


def submission():
    return SubmitJob(Submission(JOB, "q", "pool", "", (Step(count=1, cpu=100),)))


def cancels(leader):
    return [key for key in leader.topic.values if key.startswith(EARLY_CANCEL_KEY)]


@given("a leader that was asked to cancel a job that it doesn't know")
def cancelled_early(context):
    leader = context.leader = Leader(2)
    context.answers = [outcome(leader.scheduler, CancelJob(JOB), 0.1)]
    leader.decide()


@when("a successor takes over from what was written, and the job comes")
def comes_to_successor(context):
    leader = context.leader
    leader.scheduler = Scheduler(leader.world.parameters, 0.0)
    leader.now = 0.0
    leader.scheduler.restore(leader.topic.records(), 0.0)
    context.answers.append(outcome(leader.scheduler, GetState(JOB), 1.0))
    context.outcome = outcome(leader.scheduler, submission(), 1.1)


@then("both have answered that there is no such job, and the successor refuses it")
def refused(context):
    assert context.answers == [NoSuchJob(), NoSuchJob()], context.answers
    assert context.outcome == JobRefused("cancelled before it came"), context.outcome


@then("no successor knows it, and nothing is started")
def unknown(context):
    leader = context.leader
    assert outcome(leader.scheduler, GetState(JOB), 1.2) == NoSuchJob()
    for _ in range(20):
        leader.decide()
    assert not any(leader.runs.values()), leader.runs
    restored = Scheduler(leader.world.parameters, 0.0)
    restored.restore(leader.topic.records(), 0.0)
    assert not restored.state.workflows
    assert outcome(restored, submission(), 0.1) == JobRefused(
        "cancelled before it came"
    )


@when("{seconds:d} seconds pass, and the job comes")
def comes_late(context, seconds):
    leader = context.leader
    for _ in range(seconds * 10):
        leader.decide()
    context.outcome = outcome(leader.scheduler, submission(), leader.now)


@then("it is accepted, and no record of the cancel is left")
def forgotten(context):
    assert context.outcome == JobAccepted(), context.outcome
    assert not cancels(context.leader)


@when("it is asked to cancel {count:d} more")
def many_cancels(context, count):
    leader = context.leader
    for number in range(count):
        assert (
            outcome(leader.scheduler, CancelJob(f"{number:016x}"), 0.2) == NoSuchJob()
        )
        if not number % 100:
            leader.topic.write(leader.scheduler.take_writes())
    leader.topic.write(leader.scheduler.take_writes())
    context.newest = f"{count - 1:016x}"


@then("the records of {count:d} are left, the newest among them")
def limited(context, count):
    left = cancels(context.leader)
    assert len(left) == count, len(left)
    assert EARLY_CANCEL_KEY + context.newest in left
    assert EARLY_CANCEL_KEY + JOB not in left


@when("a request is read {after:g} seconds after a standstill of {stood:g} seconds")
def read_after(context, after, stood):
    now = [100.0]
    standstills = Standstills(NodeLog(descriptor=2), lambda: now[0])
    for _ in range(10):
        now[0] += TICK_S
        standstills.tick()
    now[0] += stood
    if after:
        standstills.tick()
    for _ in range(round(after / TICK_S)):
        now[0] += TICK_S
        standstills.tick()
    context.waited_s = standstills.held_up_s()


@then("it may have waited for up to {waited:g} seconds")
def may_have_waited(context, waited):
    assert abs(context.waited_s - waited) < 1e-6, context.waited_s
