"""Steps for jobs whose route is removed."""

import msgspec
from behave import given
from behave import then
from behave import when
from long_record_steps import Leader

from granitetrestle.decisions import AskAdvice
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import Advice
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.platform import front
from granitetrestle.scheduler import Scheduler
from granitetrestle_standins.shardworld import CONFIG

JOB = "d" * 16
BODY = b'{"spec":"s","steps":[{"count":1,"cpu":100}]}'


def submit(context, **changes):
    """Submit a job to a route as a client does."""
    leader = context.leader = Leader(2)
    queue = CONFIG.queues[0]._replace(**changes)
    config = CONFIG._replace(version=CONFIG.version + 1, queues=(queue,))
    leader.scheduler.apply_config(config)
    index = front.QueueIndex(config)
    call = front.decode_call(index, "POST", queue.host, queue.prefix + JOB, BODY)
    assert isinstance(call, SubmitJob), call
    leader.scheduler.handle_call("r", call, leader.now)


def remove_route(scheduler):
    config = CONFIG._replace(version=CONFIG.version + 2, queues=())
    assert scheduler.apply_config(config)


def take_over(leader):
    """Let another leader go on; it learns the boxes anew."""
    leader.topic.write(leader.scheduler.take_writes())
    leader.scheduler = Scheduler(leader.world.parameters, leader.now)
    leader.scheduler.restore(leader.topic.records(), leader.now)
    remove_route(leader.scheduler)
    leader.scheduler.evacuation.replace_directives([], (), leader.now)
    leader.list_boxes(leader.world.entries)


@given("a job of a route with {most:d} attempts")
def with_attempts(context, most):
    submit(context, max_attempts=most)


def fail_runs(context):
    """Let each run fail until the job has ended."""
    leader = context.leader
    context.runs = 0
    workflow = leader.scheduler.state.workflows[JOB]
    (task,) = workflow.tasks.values()
    while not workflow.terminal and leader.now < 60.0:
        leader.decide()
        if not task.placed:
            continue
        context.runs = task.run
        ended = (EndedRun(task.run, task.name, task.run, "failed", ""),)
        incarnation, leader.now = task.box, leader.now + 0.1
        leader.runs[incarnation].clear()
        leader.scheduler.fleet.handle_poll_outcome(
            incarnation, leader.now, leader.now, PollResult(1000, (), ended)
        )
    context.state = workflow.state


@when("the route is removed, under the same leader, and each run of its task fails")
def removed_and_fails(context):
    remove_route(context.leader.scheduler)
    fail_runs(context)


@when(
    "the route is removed, before another leader takes over, and each run of its task "
    "fails"
)
def removed_and_taken_over(context):
    take_over(context.leader)
    fail_runs(context)


@then("the job fails with run {run:d}")
def fails_with(context, run):
    assert (context.state, context.runs) == ("failed", run), (
        context.state,
        context.runs,
    )


@given("a job of a route with advice")
def with_advice(context):
    submit(context, advised=True, advice_valid_ms=5000.0)


@when("the route is removed under the same leader")
def removed(context):
    remove_route(context.leader.scheduler)


@then("its task is started with a ticket alone")
def started_with_ticket(context):
    leader = context.leader
    starts = []
    for _ in range(30):
        leader.now += 0.1
        leader.scheduler.evacuation.record_read(leader.now)
        for decision in leader.scheduler.decide(leader.now, 0):
            if isinstance(decision, AskAdvice):
                tickets = dict.fromkeys(decision.incarnations, "ticket")
                advice = Advice(tickets, 5.0)
                leader.scheduler.apply_advice(decision, advice, leader.now)
            elif isinstance(decision, StartTask):
                starts.append(decision)
    assert [start.ticket for start in starts] == ["ticket"], starts


@when("the route is removed, and the job is cancelled, and a config follows")
def removed_and_cancelled(context):
    scheduler = context.leader.scheduler
    remove_route(scheduler)
    assert scheduler.state.queues
    scheduler.handle_call("c", CancelJob(JOB), 1.0)
    scheduler.apply_config(CONFIG._replace(version=CONFIG.version + 3, queues=()))


@then("nothing of the route is left")
def nothing_left(context):
    assert not context.leader.scheduler.state.queues


@given("a job that an older version accepted, of a route that is removed")
def of_older_version(context):
    submit(context, max_attempts=5)
    topic = context.leader.topic
    topic.write(context.leader.scheduler.take_writes())
    key = f"s/{JOB}"
    fields = msgspec.msgpack.decode(topic.values[key])
    # The time of acceptance is the last field that older versions write.
    topic.write([Record(key, msgspec.msgpack.encode(fields[:9]))])


@when("a leader takes over, and each run of its task fails")
def taken_over_and_fails(context):
    take_over(context.leader)
    fail_runs(context)
