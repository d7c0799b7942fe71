"""Steps of the scenarios on jobs that a leader holds back."""

import msgspec
from behave import given
from behave import then
from behave import when
from failing_leader_steps import BAD
from failing_leader_steps import OTHERS
from long_record_steps import Leader

from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.jobrestore import NO_JOBS_APART
from granitetrestle.jobrestore import JobsApart
from granitetrestle.leaderfailures import LeaderFailure
from granitetrestle.leaderfailures import jobs_apart
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import CONFIG
from random_held_back import RandomHeldBack

FIRST, OTHER = BAD, OTHERS[0]


@given(
    "{alone:d} leaders that failed at a job each, and {count:d} at the same {jobs:d} jobs"
)
def many_failures(context, alone, count, jobs):
    each = [LeaderFailure(n, (f"{n:016x}",)) for n in range(alone)]
    same = tuple(f"f{n:015x}" for n in range(jobs))
    context.failures = each + [LeaderFailure(100 + n, same) for n in range(count)]


@given("{count:d} leaders that failed at the same job")
def same_job(context, count):
    context.failures = [LeaderFailure(n, (BAD,)) for n in range(count)]


@then("no job is set aside")
def none_set_aside(context):
    assert jobs_apart(context.failures) == NO_JOBS_APART


@then("just that job is held back")
def one_held_back(context):
    assert jobs_apart(context.failures) == JobsApart(held_back=(BAD,))


@given("one that held it back and did not fail")
def held_back_without_failure(context):
    epoch = len(context.failures)
    calm = LeaderFailure(epoch, held_back=(BAD,), calm=True)
    context.failures.append(calm)


@given("one that served it and failed at {what}")
def served_and_failed(context, what):
    epoch = len(context.failures)
    jobs = {"it": (BAD,), "another": (OTHERS[0],)}[what]
    context.failures.append(LeaderFailure(epoch, jobs))


@given("one that served it and did not fail, and one that failed at it")
def served_without_failure(context):
    epoch = len(context.failures)
    context.failures.append(LeaderFailure(epoch, calm=True))
    context.failures.append(LeaderFailure(epoch + 1, (BAD,)))


@then("just that job is set aside")
def one_set_aside(context):
    apart = jobs_apart(context.failures)
    assert (apart.set_aside, apart.held_back) == ((BAD,), ()), apart


def submit(leader, job, tasks):
    """Submit a job, and let its tasks start."""
    step = Step(count=tasks, cpu=100, memory_mb=10, estimate_ms=200)
    call = SubmitJob(Submission(job, "q", "pool", "s", (step,)))
    leader.scheduler.handle_call(job, call, leader.now)
    for _ in range(5):
        leader.decide()


@given("two jobs whose tasks run on one box of two")
def two_jobs(context):
    leader = context.leader = Leader(2)
    for job in (FIRST, OTHER):
        submit(leader, job, 1)
    (context.box,) = (box for box, runs in leader.runs.items() if runs)
    assert len(leader.runs[context.box]) == 2, leader.runs
    leader.topic.write(leader.scheduler.take_writes())


def take_over_with(context, apart):
    """Let a leader take over, with all boxes; returns what it decides at that."""
    leader = context.leader
    leader.topic.write(leader.scheduler.take_writes())
    leader.scheduler = Scheduler(leader.world.parameters, leader.now)
    leader.scheduler.state.jobs_apart = apart
    leader.scheduler.restore(leader.topic.records(), leader.now)
    leader.scheduler.apply_config(CONFIG)
    leader.scheduler.evacuation.replace_directives([], (), leader.now)
    leader.scheduler.fleet.update_boxes(leader.world.entries, leader.now)
    return [d for box in leader.world.entries for d in list_runs(leader, box)]


def list_runs(leader, box, ended=()):
    """Let a box list its runs and ends; returns what the leader decides."""
    leader.now += 0.1
    running = tuple(
        RunningTask(task, run, "", 10, 0.0) for task, run in leader.runs[box].items()
    )
    poll = PollResult(int(leader.now * 1000), running, ended)
    return leader.scheduler.fleet.handle_poll_outcome(box, leader.now, leader.now, poll)


@when("a leader takes over that holds the first back")
def takes_over_held_back(context):
    context.decisions = take_over_with(context, JobsApart(held_back=(FIRST,)))


def state_in(context, job):
    return context.leader.scheduler.state.workflows[job].state


@then("that job is known as running, and its run goes on")
def held_back_runs(context):
    assert state_in(context, FIRST) == "running"
    stops = [d for d in context.decisions if isinstance(d, StopTask)]
    assert not stops, stops


@then("no other task is started on its box")
def none_beside(context):
    leader = context.leader
    submit(leader, OTHERS[1], 8)
    counts = {box: len(runs) for box, runs in leader.runs.items()}
    assert counts.pop(context.box) == 2 and sum(counts.values()) == 8, leader.runs


@when("its run is done there, and then that of the other job")
def both_done(context):
    leader, box = context.leader, context.box
    leader.runs[box].clear()
    context.ends = tuple(
        EndedRun(number, f"{job}.0.0.0", 1, "done", "")
        for number, job in enumerate((FIRST, OTHER), 1)
    )
    context.decisions = list_runs(leader, box, context.ends)


@then("no end from there on is acknowledged, and only the other job is completed")
def kept_at_box(context):
    acknowledged = [
        d.number for d in context.decisions if isinstance(d, AcknowledgeEnds)
    ]
    assert acknowledged == [0], context.decisions
    assert state_in(context, FIRST) == "running"
    assert state_in(context, OTHER) == "completed"


@when("a leader takes over that serves both")
def takes_over_both(context):
    take_over_with(context, NO_JOBS_APART)
    list_runs(context.leader, context.box, context.ends)


@then("both are completed, and each task has run once")
def both_completed(context):
    assert state_in(context, FIRST) == state_in(context, OTHER) == "completed"
    assert context.leader.scheduler.state.find_task(f"{FIRST}.0.0.0").run == 1


@when("that job is cancelled")
def held_back_cancelled(context):
    leader = context.leader
    leader.scheduler.handle_call("c", CancelJob(FIRST), leader.now)
    leader.topic.write(leader.scheduler.take_writes())
    context.decisions = list_runs(leader, context.box)


@then("its run is stopped, and its state is all that the store keeps of it")
def held_back_stopped(context):
    stops = [d.task for d in context.decisions if isinstance(d, StopTask)]
    assert stops == [f"{FIRST}.0.0.0"], context.decisions
    values = context.leader.topic.values
    assert [key for key in values if FIRST in key] == [f"e/{FIRST}"], values.keys()
    take_over_with(context, NO_JOBS_APART)
    assert state_in(context, FIRST) == "cancelled"


@given(
    "{count:d} seeds of random work and faults, with leaders that hold some jobs back"
)
def random_seeds(context, count):
    context.seeds = range(1, count + 1)


@then("no promise is broken, and no job is lost")
def promises_kept(context):
    accepted = 0
    for seed in context.seeds:
        shard = RandomHeldBack(seed)
        shard.run()
        accepted += len(shard.world.accepted)
    assert accepted > len(context.seeds), accepted


class OlderFailure(msgspec.Struct, array_like=True):
    """A leader's failure as versions before the jobs held back know it."""

    epoch: int
    jobs: tuple[str, ...] = ()
    reason: str = ""


@then("older versions know the same jobs of each failure")
def older_versions_know(context):
    for failure in context.failures:
        encoded = msgspec.msgpack.encode(failure)
        older = msgspec.msgpack.decode(encoded, type=OlderFailure)
        assert (older.epoch, older.jobs) == (failure.epoch, failure.jobs)
        newer = msgspec.msgpack.decode(
            msgspec.msgpack.encode(older), type=LeaderFailure
        )
        assert newer == LeaderFailure(older.epoch, older.jobs, older.reason)
