"""Steps that send real signals to real daemons."""

import concurrent.futures
import json
import signal
import time

from behave import given
from behave import then
from behave import when
from cluster_steps import call

from granitetrestle.errors import NotRunError
from granitetrestle.errors import OutcomeUnknown
from granitetrestle_standins.cluster import wait_for


def _submit(context, node, tasks, run_s):
    account = next(iter(context.tokens))
    client = context.cluster.client(node, context.tokens[account])
    spec = {"kind": "batch", "cores": 2, "memory_gb": 1, "tasks": tasks, "run_s": run_s}
    return client, client.call("POST", "/v1/jobs", spec)["subject"]


def _running(context, job):
    tasks = []
    for box in context.cluster.boxes:
        inspected = context.cluster.get(box, "/inspect")[1]
        tasks += [task for task in inspected["running"] if task.startswith(job)]
    return tasks


def _runs(context, job):
    counts = {}
    for box in context.cluster.boxes:
        for task, runs in context.cluster.get(box, "/inspect")[1]["runs"].items():
            if task.startswith(job):
                counts[task] = counts.get(task, 0) + runs
    return counts


@given("a batch job of long tasks is running")
def long_job(context):
    _, context.long_job = _submit(context, "zurich-1", 4, 600.0)
    wait_for(lambda: len(_running(context, context.long_job)) == 4, "four tasks run")


def _owner(context, node):
    status = context.cluster.client(node).call("GET", "/v1/status")
    return status["halls"][0]["owners"]["0"]


def _others(context):
    return [
        n for n in context.cluster.running_daemons() if n != context.signalled_owner
    ]


def _has_new_owner(context):
    return all(
        _owner(context, node) not in ("", context.signalled_owner)
        for node in _others(context)
    )


@when("the owner is killed")
def kill_owner(context):
    context.signalled_owner = _owner(context, "zurich-1")
    context.cluster.signal(context.signalled_owner, signal.SIGKILL)
    context.cluster.wait_exit(context.signalled_owner)


@then("another process owns the shard, and the batch tasks ran on without a restart")
def new_owner(context):
    wait_for(lambda: _has_new_owner(context), "another process owns the shard")
    still_running(context)


@then("the batch tasks ran on without a restart")
def still_running(context):
    # Longer than a lease, so that only renewals by the successor keep tasks running.
    time.sleep(12.0)
    assert len(_running(context, context.long_job)) == 4
    assert set(_runs(context, context.long_job).values()) == {1}


def _answers(context, node):
    account = next(iter(context.tokens))
    return call(context, account, "unlock", node, b"{}").status == 200


@then("calls at the other processes are answered again")
def answered_again(context):
    for node in _others(context):
        wait_for(lambda n=node: _answers(context, n), f"{node} answers")


@then("calls at all processes are still answered")
def still_answered(context):
    for node in context.cluster.daemons:
        for _ in range(5):
            assert _answers(context, node), node


@then("no box saw a task twice or more work than it has")
def no_faults_seen(context):
    for box in context.cluster.boxes:
        inspected = context.cluster.get(box, "/inspect")[1]
        assert not inspected["faults"], inspected["faults"]


@when("the owner is stopped by SIGSTOP until another owns the shard, then goes on")
def stop_and_continue(context):
    context.signalled_owner = _owner(context, "zurich-1")
    context.cluster.signal(context.signalled_owner, signal.SIGSTOP)
    wait_for(lambda: _has_new_owner(context), "another process owns the shard")
    context.cluster.signal(context.signalled_owner, signal.SIGCONT)
    wait_for(
        lambda: _owner(context, context.signalled_owner) != context.signalled_owner,
        "the old owner knows that another owns the shard",
    )


@then("a new job of {tasks:d} tasks finishes")
def new_job(context, tasks):
    node = context.cluster.running_daemons()[-1]
    client, job = _submit(context, node, tasks, 0.5)
    wait_for(
        lambda: client.call("GET", f"/v1/jobs/{job}")["state"] == "finished",
        "the new job finished",
    )
    assert set(_runs(context, job).values()) == {1}, _runs(context, job)


@when("the platform goes down for longer than a lease")
def platform_down(context):
    context.cluster.faults("platform", mode="down")
    time.sleep(12.0)


@when("the platform comes back")
def platform_back(context):
    context.cluster.faults("platform", mode="ok")


@when("the platform loses the answers to appends")
def lost_answers(context):
    context.cluster.faults("platform", mode="lost_answers")


@then("a submission is refused as not run, or its outcome is unknown")
def refused(context):
    try:
        _submit(context, "zurich-2", 1, 1.0)
    except (NotRunError, OutcomeUnknown):
        return
    raise AssertionError("a submission was accepted without the platform")


def _slow_call(context, number):
    account = next(iter(context.tokens))
    body = json.dumps({"number": number}).encode()
    response = call(
        context,
        account,
        "unlock",
        context.signalled_owner,
        body,
        **{"X-Work-S": "1.5", "X-Deadline-Ms": "5000"},
    )
    return response.status == 200 and response.content == body


@when("the owner gets SIGTERM while {count:d} requests of 1.5 seconds are in flight")
def term_under_load(context, count):
    context.signalled_owner = _owner(context, "zurich-1")
    wait_for(
        lambda: _slots(context, context.signalled_owner) >= count,
        "slots for all of them",
    )
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = [pool.submit(_slow_call, context, n) for n in range(count)]
        wait_for(lambda: _in_service(context) == count, "requests in flight")
        context.cluster.signal(context.signalled_owner, signal.SIGTERM)
        context.in_flight = [done.result() for done in calls]


def _slots(context, node):
    services = context.cluster.client(node).call("GET", "/v1/services")
    return sum(x["slots_here"] for x in services)


def _in_service(context):
    return sum(
        context.cluster.get(box, "/inspect")[1]["in_service"]
        for box in context.cluster.boxes
    )


@then("every one of them is answered whole")
def all_answered(context):
    assert all(context.in_flight), context.in_flight


@then("the stopped process exits with code 0")
def exits(context):
    assert context.cluster.wait_exit(context.signalled_owner) == 0


@when(
    '{count:d} callers at once call "{service}" {times:d} times each at all processes'
)
def callers_at_once(context, count, service, times):
    account = next(iter(context.tokens))
    nodes = context.cluster.daemons

    def caller(number):
        answers = []
        for index in range(times):
            body = json.dumps({"caller": number, "turn": index}).encode()
            node = nodes[(number + index) % len(nodes)]
            for _ in range(20):
                response = call(context, account, service, node, body)
                if response.status not in (429, 503):
                    break
                retry_after = dict(response.headers).get(b"retry-after", b"0.05")
                time.sleep(float(retry_after))
            answers.append((body, response.status, response.content, 0.0))
        return answers

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        parts = list(pool.map(caller, range(count)))
    context.answers = [answer for part in parts for answer in part]
    assert len(context.answers) == count * times
