"""Steps for calls about a job under the prefix of another queue."""

from types import SimpleNamespace

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import AnswerCall
from granitetrestle.forwarding import ClientCall
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import Queue
from granitetrestle.platform.server import FrontResponder
from granitetrestle.scheduler import Scheduler
from granitetrestle_standins.shardworld import ShardWorld

JOB = "5" * 16
BODY = b'{"spec":"s","steps":[{"count":1,"cpu":100}]}'


def queue(name, host, prefix):
    return Queue(name, host, prefix, "pool", 0, 3, 1.5, 1000.0)


MINE = queue("mine", "host", "/mine")
OTHERS = (queue("other", "host", "/other/"), queue("away", "elsewhere", "/mine/"))
QUEUES = {
    "with both queues": (MINE, *OTHERS),
    "with a queue of a longer prefix": (MINE, queue("longer", "host", "/mine/")),
    "with another queue in place of it": (queue("new", "host", "/mine/"),),
}


def call(context, method, host, path):
    """Let the leader answer a client's call."""
    scheduler = context.scheduler

    async def decide(request, job_call):
        decisions = scheduler.handle_call(request, job_call, 1.0)
        (answer,) = (d for d in decisions if isinstance(d, AnswerCall))
        return answer.outcome

    async def confirm():
        return True

    session = SimpleNamespace(
        over=False,
        config=scheduler.state.config,
        serving=True,
        store_unavailable=False,
        scheduler=scheduler,
        confirm=confirm,
        call=decide,
    )
    client_call = ClientCall(method, host, path, BODY if method == "POST" else b"")
    return anyio.run(FrontResponder().answer, session, "r", client_call)


@given('a running job of the queue "/mine" at "host"')
def job_of_queue(context):
    context.scheduler = Scheduler(ShardWorld(1, 0).parameters, 0.0)
    config = Config(1, (MINE, *OTHERS), {}, 10_000)
    context.scheduler.apply_config(config)
    assert call(context, "POST", "host", f"/mine/{JOB}").status == 200


@when('its state is asked for by {method} under "{path}" at "{host}", {config}')
def asked_for(context, method, path, host, config):
    context.scheduler.apply_config(Config(2, QUEUES[config], {}, 10_000))
    context.answer = call(context, method, host, path + JOB)


@then("the answer is {status:d}, and the job is {state}")
def answer_and_state(context, status, state):
    assert context.answer.status == status, context.answer
    assert context.scheduler.state.workflows[JOB].state == state
