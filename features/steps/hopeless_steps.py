"""Steps for jobs that no box can run, beside others."""

import msgspec
from behave import given
from behave import then
from behave import when
from long_record_steps import Leader

from granitetrestle.decisions import AskAdvice
from granitetrestle.interfaces import Advice
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import CONFIG

STEP = Step(count=1, cpu=500, memory_mb=10, estimate_ms=500)
FILLING = msgspec.structs.replace(STEP, best_effort=True, image="fills")
ORDINARY_JOB = "e" * 16


def submit(leader, job, step, queue="q", service="pool"):
    submission = Submission(job, queue, service, "", (step,))
    leader.scheduler.handle_call("r", SubmitJob(submission), leader.now)


def leader_with(context, queues=(), entries=()):
    """Add a leader with boxes of its own, further queues and further boxes."""
    leader = context.leader = Leader(2)
    config = CONFIG._replace(
        version=CONFIG.version + 1, queues=(*CONFIG.queues, *queues)
    )
    leader.scheduler.apply_config(config)
    boxes = {
        name: box._replace(rack="near") for name, box in leader.world.entries.items()
    }
    leader.list_boxes({**boxes, **{entry.incarnation: entry for entry in entries}})
    return leader


def entry_like(incarnation, **changes):
    (entry, *_) = Leader(1).world.entries.values()
    return entry._replace(incarnation=incarnation, box_id=incarnation, **changes)


@given("2 boxes with room, and {count:d} jobs that ask for a GPU that no box has")
def ask_for_gpu(context, count):
    leader = leader_with(context)
    for number in range(count):
        submit(leader, f"{number:016x}", msgspec.structs.replace(STEP, gpu=1))


@given("2 boxes with room, and {count:d} jobs of a service whose box is full")
def of_full_service(context, count):
    queue = CONFIG.queues[0]._replace(name="far", prefix="/far/", service="far")
    box = entry_like("far-1", service="far", cpu=100)
    leader = leader_with(context, (queue,), (box,))
    for number in range(count):
        submit(leader, f"{number:016x}", STEP, "far", "far")


@given("2 boxes with room, and {count:d} jobs that advice allows on a full box alone")
def without_ticket(context, count):
    queue = CONFIG.queues[0]._replace(
        name="asks", prefix="/asks/", advised=True, advice_valid_ms=60_000.0
    )
    leader = leader_with(context, (queue,), (entry_like("full-1", cpu=100),))
    for number in range(count):
        submit(leader, f"{number:016x}", STEP, "asks")
    asked = set()
    # One step is asked about at a time.
    for _ in range(count + 2):
        leader.now += 0.1
        leader.scheduler.evacuation.record_read(leader.now)
        for decision in leader.scheduler.decide(leader.now, 0):
            if isinstance(decision, AskAdvice):
                asked.add(decision.job)
                advice = Advice({"full-1": "ticket"}, 60.0)
                leader.scheduler.apply_advice(decision, advice, leader.now)
    assert len(asked) == count, asked


@given(
    "2 boxes with room, and {count:d} jobs whose data lies on a rack of a box without "
    "unused time"
)
def with_busy_data_rack(context, count):
    box = entry_like("busy-1", rack="busy")
    leader = leader_with(context, (), (box,))
    # Nothing is left of the box's processor time, and no other box has as much.
    busy = leader.scheduler.state.boxes["busy-1"]
    busy.cpu_used = box.cpu
    busy.version += 1
    step = msgspec.structs.replace(FILLING, affinity="busy")
    for number in range(count):
        submit(leader, f"{number:016x}", step)


@when("a job of 4 tasks of the same size comes")
def ordinary_comes(context):
    submit(context.leader, ORDINARY_JOB, msgspec.structs.replace(STEP, count=4))


@when("a filling job of 4 tasks of the same size comes")
def filling_comes(context):
    submit(context.leader, ORDINARY_JOB, msgspec.structs.replace(FILLING, count=4))


@then("its tasks have started within {seconds:g} seconds, and none of the others")
def started_soon(context, seconds):
    leader = context.leader
    until = leader.now + seconds
    while leader.now < until:
        leader.decide()
    started = [task for runs in leader.runs.values() for task in runs]
    assert sorted(started) == [f"{ORDINARY_JOB}.0.0.{n}" for n in range(4)], started
