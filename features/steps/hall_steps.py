"""Steps that evacuate a data hall through the interface for operators."""

import json

from behave import then
from behave import when
from fake_steps import owner

from granitetrestle import events as ev
from granitetrestle.outcomes import Accepted
from granitetrestle.records import JobSpec
from granitetrestle.snapshot import decode_hall
from granitetrestle.snapshot import encode_state
from granitetrestle_standins.cluster import OPERATOR_SECRET
from granitetrestle_standins.cluster import wait_for

CODE_NOT_FOUND = 4


def set_evacuated(context, name, evacuated):
    fake = owner(context)
    fake.step(ev.HallEvacuateRequested(fake.mono, name, evacuated))
    context.chaos.advance(0.5)
    assert isinstance(fake.outcomes[name], Accepted), fake.outcomes


@when("the hall is evacuated, and a job of 2 tasks is submitted")
def evacuated(context):
    context.initial_placement = dict(context.world.ledger.running)
    set_evacuated(context, "evacuate", True)
    spec = JobSpec("batch", 1.0, 1.0, tasks=2, run_s=30.0)
    context.job = context.chaos.submit(0, spec, "acc")
    context.chaos.advance(4.0)


@then("its tasks wait, and are explained by the evacuation")
def tasks_wait(context):
    running = context.world.ledger.running
    assert not any(task.startswith(context.job) for task in running), running
    reducer = owner(context).reducer
    explanations = reducer.owner.explain(reducer.jobs.jobs[context.job])
    assert set(explanations.values()) == {
        "waiting: operators have evacuated the data hall"
    }, explanations


@then("the replicas still run where they were")
def replicas_run(context):
    running = context.world.ledger.running
    assert context.initial_placement
    assert {
        task: running.get(task) for task in context.initial_placement
    } == context.initial_placement


@when("the owner is killed and {seconds:d} seconds pass")
def owner_killed(context, seconds):
    context.world.kill(owner(context).name)
    context.chaos.advance(float(seconds))


@when("the hall is restored")
def hall_restored(context):
    set_evacuated(context, "restore", False)


@then("its tasks run within {seconds:d} seconds")
def tasks_run(context, seconds):
    context.chaos.advance(float(seconds))
    running = context.world.ledger.running
    assert sum(task.startswith(context.job) for task in running) == 2, running


@when("the hall is evacuated, and a snapshot of its stream is taken")
def snapshot_taken(context):
    set_evacuated(context, "evacuate", True)
    context.payload = encode_state(owner(context).reducer.state_of("hall-zurich"))


@then("the decoded snapshot shows the evacuation")
def snapshot_says(context):
    assert decode_hall(context.payload).evacuated


@then("the command line evacuates the hall, lists it, and restores it")
def command_line(context):
    cluster = context.cluster
    token = f"operator.{OPERATOR_SECRET}"

    def state():
        code, out = cluster.cli("zurich-2", token, "hall", "list", "--json")
        assert code == 0, out
        return [hall["evacuated"] for hall in json.loads(out)]

    for action, expected in (("evacuate", [True]), ("restore", [False])):
        code, out = cluster.cli("zurich-1", token, "hall", action, "zurich", "--json")
        assert code == 0, out
        wait_for(lambda w=expected: state() == w, f"hall {action}")
    code, out = cluster.cli("zurich-1", token, "hall", "evacuate", "zurich")
    assert code == 0, out
    code, out = cluster.cli("zurich-1", token, "status")
    assert "hall evacuated" in out, out


@then("a hall that does not exist is refused as not found")
def no_such_hall(context):
    token = f"operator.{OPERATOR_SECRET}"
    code, out = context.cluster.cli("zurich-1", token, "hall", "evacuate", "nowhere")
    assert code == CODE_NOT_FOUND, (code, out)
