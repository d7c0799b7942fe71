"""Steps of the end-to-end scenarios with real processes."""

import concurrent.futures
import json
import os
import signal
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from granitetrestle_standins.nativecluster import NativeCluster

JOB = "00000000000000a1"
TWO_STEPS = [
    {"count": 3, "cpu": 1000, "mem_mb": 100},
    {"count": 2, "cpu": 1000, "mem_mb": 100, "depends_on": [0]},
]


@given("{nodes:d} nodes on the platform with {boxes:d} boxes")
def native_cluster(context, nodes, boxes):
    context.cluster = NativeCluster(context.folder, nodes, boxes)
    cluster = context.cluster
    for name in cluster.nodes():
        cluster.wait(
            lambda n=name: (
                cluster.call("GET", cluster.readies[n], "/api/readyz")[0] == 200
            ),
            f"{name} ready",
        )
    cluster.wait(lambda: cluster.state(JOB) == "gone", "a leader")


@when("a job of 3 tasks, then 2 that depend on them, is submitted")
def submit_job(context):
    context.cluster.submit(JOB, TWO_STEPS)


@then("it is {state} at every node")
def has_state_at_every_node(context, state):
    cluster = context.cluster
    alive = [n for n in cluster.nodes() if cluster.processes[n].poll() is None]
    for name in alive:
        cluster.wait(
            lambda n=name: cluster.state(JOB, n) == state, f"{state} at {name}"
        )


@then("each task ran once, the second step after the first")
def ran_once(context):
    rows = context.cluster.history()
    done = [task for task, _, how in rows if how == "done"]
    assert sorted(done) == [
        *(f"{JOB}.0.0.{i}" for i in range(3)),
        *(f"{JOB}.0.1.{i}" for i in range(2)),
    ], rows
    assert all(how == "done" for _, _, how in rows), rows


@then("no two runs of a task were done")
def done_once(context):
    done = [task for task, _, how in context.cluster.history() if how == "done"]
    assert len(done) == len(set(done)), done


@then("the same id submitted again is the same job")
def same_job(context):
    before = context.cluster.history()
    context.cluster.submit(JOB, TWO_STEPS)
    time.sleep(0.5)
    assert context.cluster.history() == before
    assert context.cluster.state(JOB) == "completed"


@when("a job that runs for a minute is submitted and cancelled while it runs")
def cancel_running(context):
    cluster = context.cluster
    cluster.submit(JOB, [{"count": 2, "cpu": 1000, "mem_mb": 100}], spec="60000")
    cluster.wait(lambda: len(cluster.history()) == 2, "both tasks started")
    status, _, _ = cluster.call("DELETE", cluster.fronts["n1"], f"/jobs/{JOB}")
    assert status == 200, status


@then("all its tasks have stopped")
def all_stopped(context):
    cluster = context.cluster
    stopped = ["stopped", "stopped"]
    cluster.wait(lambda: [how for _, _, how in cluster.history()] == stopped, "stopped")
    time.sleep(0.5)
    assert len(cluster.history()) == 2


@when("a job runs and the leader is killed")
def kill_leader(context):
    cluster = context.cluster
    cluster.submit(JOB, TWO_STEPS, spec="1500")
    cluster.wait(lambda: len(cluster.history()) == 3, "first step started")
    cluster.kill(cluster.leader())


@when("every node is killed right after a job was accepted, and restarted")
def kill_all(context):
    cluster = context.cluster
    cluster.submit(JOB, TWO_STEPS)
    for name in cluster.nodes():
        cluster.kill(name)
    for name in cluster.nodes():
        cluster.restart(name)


@when("the answers to the next {count:d} appends are lost and a job is submitted")
def lose_answers(context, count):
    context.cluster.store(f"/test/lose?n={count}")
    context.cluster.submit(JOB, TWO_STEPS)


@when("the leader gets SIGTERM while jobs are submitted on open connections")
def stop_leader(context, later=()):
    cluster = context.cluster
    leader = context.stopped = cluster.leader()
    step = [{"count": 1, "cpu": 100, "mem_mb": 10}]
    context.jobs = [f"{number:016x}" for number in range(40)]
    context.answers = []

    def submit_jobs(jobs):
        for job in jobs:
            body = {"spec": "50", "steps": step}
            # The balancer sends new connections elsewhere; open ones stay.
            answer = cluster.call("POST", cluster.fronts[leader], f"/jobs/{job}", body)
            context.answers.append(answer[0])
            time.sleep(0.04)

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        parts = [pool.submit(submit_jobs, context.jobs[i::4]) for i in range(4)]
        time.sleep(0.15)
        cluster.kill(leader, signal.SIGTERM)
        for number in later:
            time.sleep(0.02)
            cluster.kill(leader, number)
        for part in parts:
            part.result()
    context.exit_code = cluster.processes[leader].wait(6)


@when(
    "the leader gets SIGTERM, and SIGHUP and SIGTERM again, while jobs are submitted on "
    "open connections"
)
def stop_leader_with_more_signals(context):
    stop_leader(context, (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP))


@then("no request was cut off and no answer was late or of unknown outcome")
def all_answered(context):
    assert context.answers == [200] * 40, context.answers


@then("the leader was stopped as planned, and all jobs that were accepted complete")
def stopped_as_planned(context):
    assert context.exit_code == 0, context.exit_code
    events = [line["event"] for line in context.cluster.log(context.stopped)]
    assert events[-1] == "stopped" and events.count("reload") == 2, events[-10:]
    all_complete(context)


@then("all jobs that were accepted complete")
def all_complete(context):
    cluster = context.cluster
    for job in context.jobs:
        cluster.wait(lambda j=job: cluster.state(j) == "completed", f"{job} completed")


@then("malformed requests are answered 400, 404, 410 or 413, and no job is stored")
def malformed_requests_rejected(context):
    cluster = context.cluster
    front = cluster.fronts["n1"]

    def post(body, path=f"/jobs/{JOB}", host="jobs.example"):
        return cluster.call("POST", front, path, body, host)[0]

    step = {"count": 1, "cpu": 1, "mem_mb": 1}
    assert post(b'{"steps":[{"cou') == 400
    assert post(b"\xff\xfe") == 400
    assert post({"steps": []}) == 400
    assert post({"steps": [{**step, "count": -1}]}) == 400
    assert post({"steps": [{**step, "depends_on": [0]}]}) == 400
    assert post({"steps": [step], "spec": "x" * 4001}) == 400
    # As deep as the limit of a body allows.
    nested = b"[" * 2000 + b"]" * 2000
    assert post(b'{"steps":[{"count":1}],"unknown":%s}' % nested) == 400
    assert post({"steps": [step]}, path="/jobs/not-an-id") == 400
    assert post({"steps": [step]}, path=f"/other/{JOB}") == 404
    assert post({"steps": [step]}, host="other.example") == 404
    assert post(b"x" * 2_000_000) == 413
    assert cluster.call("GET", front, f"/jobs/{JOB}")[0] == 410
    assert cluster.call("DELETE", front, f"/jobs/{JOB}")[0] == 410
    status, content, _ = cluster.call("GET", front, "/jobs/")
    assert (status, json.loads(content)) == (200, {"pending": 0})


@when(
    "a job reaches a node that stands still for {seconds:g} seconds, and is cancelled at "
    "another meanwhile"
)
def cancelled_while_still(context, seconds):
    cluster = context.cluster
    leader = cluster.leader()
    still, other = (name for name in cluster.fronts if name != leader)
    body = {"spec": "100", "steps": [{"count": 2, "cpu": 100, "mem_mb": 10}]}
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        cluster.kill(still, signal.SIGSTOP)
        path = f"/jobs/{JOB}"
        sent = pool.submit(cluster.call, "POST", cluster.fronts[still], path, body)
        time.sleep(3.0)
        context.cancelled = cluster.call("DELETE", cluster.fronts[other], path)[0]
        time.sleep(seconds - 3.0)
        cluster.kill(still, signal.SIGCONT)
        context.answer = sent.result()
    time.sleep(2.0)


@then("the cancel is answered 410 and the job 503, and it is unknown at every node")
def unknown_job(context):
    cluster = context.cluster
    answers = context.cancelled, context.answer.status
    assert answers == (410, 503), (answers, context.answer)
    for name, front in cluster.fronts.items():
        status = cluster.call("GET", front, f"/jobs/{JOB}")[0]
        assert status == 410, (name, status)


@then("none of its tasks has started")
def none_started(context):
    lines = [line for n in context.cluster.nodes() for line in context.cluster.log(n)]
    taken = [line for line in lines if line["event"] == "job_taken"]
    assert not taken, taken


@when("the store stops answering and a job is submitted")
def store_stops_answering(context):
    cluster = context.cluster
    os.kill(cluster.processes["platform"].pid, signal.SIGSTOP)
    time.sleep(2.5)
    context.answer = cluster.call(
        "POST",
        cluster.fronts[cluster.leader()],
        f"/jobs/{JOB}",
        {"spec": "1", "steps": [{"count": 1}]},
    )
    os.kill(cluster.processes["platform"].pid, signal.SIGCONT)


@then("it is refused with a retry delay")
def refused(context):
    assert context.answer[0] == 503, context.answer
    assert int(context.answer[2]) > 0, context.answer


@then("the logs show the cause of the refusal by the request's path")
def cause_in_logs(context):
    cluster = context.cluster
    lines = cluster.log(cluster.leader())
    failed = [
        line
        for line in lines
        if line["event"] == "request_failed"
        and (line["method"], line["path"]) == ("POST", f"/jobs/{JOB}")
    ]
    assert failed, lines
    assert failed[0]["why"] == "store away", failed
    assert any(line["event"] == "store_lost" for line in lines), lines


@then("the metrics count the refusal and the lost store")
def metrics_count_refusal(context):
    cluster = context.cluster
    leader = cluster.leader()
    address = cluster.fronts[leader].split(":")[0] + ":9464"
    text = cluster.call("GET", address, "/metrics")[1].decode()
    assert 'granitetrestle_answers_total{kind="POST",status="503"}' in text, text
    assert 'granitetrestle_events_total{event="store_lost"}' in text, text


@then("explain prints one timeline of all nodes' logs, with the lost store in it")
def explained(context):
    cluster = context.cluster
    logs = ",".join(str(context.folder / f"{name}.log") for name in cluster.nodes())
    command = ["-m", "granitetrestle.cli", "explain", JOB, "--logs", logs, "--json"]
    out = subprocess.run([sys.executable, *command], capture_output=True, check=True)
    entries = json.loads(out.stdout)
    # The calls of the set-up name the same job; the first ones find no leader.
    events = [
        (entry["event"], entry["inputs"].get("method") == "POST") for entry in entries
    ]
    lost, refused = ("store_lost", False), ("request_failed", True)
    assert lost in events and refused in events, events
    assert events.index(lost) < events.index(refused), events
    missing = [*command[:3], "ffffffffffffffff", *command[4:]]
    assert subprocess.run([sys.executable, *missing], check=False).returncode == 4
