"""Steps that drive real daemons and stand-ins as separate processes."""

import json
import time

from behave import given
from behave import then
from behave import when

from granitetrestle_standins.cluster import OPERATOR_SECRET
from granitetrestle_standins.cluster import Cluster
from granitetrestle_standins.cluster import Shape
from granitetrestle_standins.cluster import wait_for


def _start(context, shape):
    context.cluster = Cluster(context.folder, shape)
    context.cluster.start()
    context.tokens = {}


@given("three data halls with three daemons and two boxes each")
def three_halls(context):
    _start(context, Shape())


@given("one data hall with three daemons and two boxes")
def one_hall(context):
    _start(context, Shape(halls=("zurich",)))


@given('the account "{account}" with its token')
def account_with_token(context, account):
    node = context.cluster.daemons[0]
    context.tokens[account] = context.cluster.add_account(node, account)


@given('the service "{service}" with {replicas:d} replicas in "{hall}"')
def service_in_hall(context, service, replicas, hall):
    account = next(iter(context.tokens))
    client = context.cluster.client(f"{hall}-1", context.tokens[account])
    spec = {
        "kind": "service",
        "service": service,
        "cores": 2,
        "memory_gb": 4,
        "tasks": replicas,
    }
    context.service_job = client.call("POST", "/v1/jobs", spec)["subject"]
    for node in context.cluster.daemons:
        wait_for(lambda n=node: _knows(context, n, service), f"{node} knows {service}")


def _knows(context, node, service):
    services = context.cluster.client(node).call("GET", "/v1/services")
    mine = [x for x in services if x["service"] == service]
    return any(x["slots_here"] or x["halls"] for x in mine)


def call(context, account, service, node, body, **headers):
    headers["Authorization"] = f"Bearer {context.tokens[account]}"
    return context.cluster.request(
        node, "POST", f"/v1/services/{service}/call", body, headers
    )


@when('"{account}" calls "{service}" at "{node}" with {count:d} different bodies')
def call_many(context, account, service, node, count):
    context.answers = []
    for number in range(count):
        body = json.dumps({"number": number, "node": node}).encode()
        started = time.monotonic()
        response = call(context, account, service, node, body)
        elapsed = time.monotonic() - started
        context.answers.append((body, response.status, response.content, elapsed))


@then("each caller got the whole answer to its own request")
def answers_match(context):
    for body, status, content, _ in context.answers:
        assert (status, content) == (200, body), (body, status, content)


@then("no answer took 40 ms, so no socket waits for delayed acknowledgements")
def no_delayed_ack(context):
    fastest = min(elapsed for *_, elapsed in context.answers)
    assert fastest < 0.040, fastest


@when('"{account}" submits a batch job of {tasks:d} tasks at "{node}"')
def submit(context, account, tasks, node):
    client = context.cluster.client(node, context.tokens[account])
    spec = {
        "kind": "batch",
        "cores": 1,
        "memory_gb": 1,
        "tasks": tasks,
        "run_s": 0.5,
    }
    context.job = client.call("POST", "/v1/jobs", spec)["subject"]
    context.job_client = client


@then("the job finishes and each of its tasks ran once")
def job_finishes(context):
    def finished():
        return context.job_client.call("GET", f"/v1/jobs/{context.job}")["state"] == (
            "finished"
        )

    wait_for(finished, "the job finished")
    counts = {}
    for box in context.cluster.boxes:
        for task, runs in context.cluster.get(box, "/inspect")[1]["runs"].items():
            if task.startswith(context.job):
                counts[task] = counts.get(task, 0) + runs
    assert counts and set(counts.values()) == {1}, counts


@when('an operator sets "{account}" "{column}" to {value} at "{node}"')
def set_cell(context, account, column, value, node):
    token = f"operator.{OPERATOR_SECRET}"
    words = ("table", "set", account, column, value, "--json")
    code, out = context.cluster.cli(node, token, *words)
    assert code == 0, out
    context.edit = json.loads(out)


@then("the cell is in force in all {count:d} daemons")
def cell_in_force(context, count):
    assert len(context.edit["in_force"]) == count, context.edit
    for node in context.cluster.daemons:
        status = context.cluster.client(node).call("GET", "/v1/status")
        assert status["config_offset"] >= context.edit["offset"], node


@then("every daemon of every hall can explain the service's placement")
def all_explain(context):
    path = f"/v1/jobs/{context.service_job}/explain"
    for node in context.cluster.daemons:
        answer = context.cluster.client(node).call("GET", path)
        _check_reasons(answer)
    # As another hall's process relays it, also to one that is not the owner.
    headers = {
        "Authorization": f"Bearer operator.{OPERATOR_SECRET}",
        "x-granitetrestle-relayed": "1",
    }
    for node in ("zurich-1", "zurich-2", "zurich-3"):
        response = context.cluster.request(node, "GET", path, None, headers)
        _check_reasons(json.loads(response.content))


def _check_reasons(answer):
    assert all(why.startswith("running on") for why in answer.values()), answer
