"""Steps for tasks that crash the boxes that start them."""

from behave import given
from behave import then
from behave import when

from granitetrestle.workflows import Step
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import PromiseBroken
from granitetrestle_standins.shardworld import ShardWorld
from random_shard import RandomShard
from random_shard import crashes_among_others

SHORT = Step(count=3, cpu=500, memory_mb=10)
LONG_RUNNING = Step(count=4, cpu=500, memory_mb=10, long_running=True)


def notes(context, event):
    return [
        log_event
        for process in context.world.processes
        for log_event in process.log_events
        if log_event.event == event
    ]


@when(
    "a long-running job runs, a task that crashes its box starts beside it, and the "
    "crash is detected"
)
def crash_beside_long_job(context):
    world = context.world
    long_running = Step(count=3, cpu=500, memory_mb=10, long_running=True, per_box=1)
    context.long = world.submit((long_running,))
    world.advance(6.0)
    context.culprit = world.submit((Step(count=1, cpu=500, memory_mb=10),))
    world.box_crashes.crashing.add(f"{context.culprit}.0.0.0")
    world.advance(1.5)


@then("a log line for each run on that box holds its number, its state and its age")
def run_lost_lines(context):
    lines, box = notes(context, "run_lost"), notes(context, "box_over")[0]
    lost = {
        line.subject: line.inputs for line in lines if line.inputs["box"] == box.subject
    }
    assert len(lost) == box.inputs["tasks_lost"] == 2, lines
    culprit = lost.pop(f"{context.culprit}.0.0.0")
    (other,) = lost.values()
    assert culprit["run"] == 1 and culprit["state"] == "running", culprit
    assert culprit["seen_s"] < 0.2 and culprit["silent_after_s"] < 1.1, culprit
    assert other["seen_s"] > 2.5, other


@given("a shard of {boxes:d} boxes among models, with jobs of several accounts")
def busy_shard(context, boxes):
    context.world = world = ShardWorld(7, boxes)
    context.long_running = [world.submit((LONG_RUNNING,)) for _ in range(2)]
    context.others = list(context.long_running)
    world.advance(8.0)


def leader_dies(world):
    world.kill()
    world.advance(0.5)
    world.take_over()


def all_lose_power(world):
    """Only the store keeps its data; it takes seconds until a process leads again."""
    world.kill()
    world.advance(3.0)
    world.take_over()


AFTER_CRASH = {
    "one process leads throughout": None,
    "the leader dies after each crash": leader_dies,
    "its starts are never answered": None,
    "all lose power after each crash": all_lose_power,
}


@when("a task that crashes its box is submitted, and {fault} for {seconds:g} seconds")
def crashing_task(context, fault, seconds):
    run_crashing(context, Step(count=1, cpu=500, memory_mb=10), fault, seconds)


@when(
    "a long-running task is submitted that crashes its box {delay_s:g} seconds after its "
    "start, and {fault}"
)
def crashing_later(context, delay_s, fault):
    context.world.box_crashes.crash_delay_s = delay_s
    step = Step(count=1, cpu=500, memory_mb=10, long_running=True)
    run_crashing(context, step, fault, 60.0)


def run_crashing(context, step, fault, seconds):
    world = context.world
    world.box_crashes.crash_before_answer = fault == "its starts are never answered"
    context.culprit = world.submit((step,))
    context.task = f"{context.culprit}.0.0.0"
    world.box_crashes.crashing.add(context.task)
    ends, crashes = world.now + seconds, 0
    context.broken = None
    try:
        while world.now < ends:
            world.advance(0.1)
            if int(world.now * 10) % 5 == 0:
                context.others.append(world.submit((SHORT,)))
            if (
                AFTER_CRASH[fault]
                and world.box_crashes.counts.get(context.task, 0) > crashes
            ):
                crashes = world.box_crashes.counts[context.task]
                AFTER_CRASH[fault](world)
    except PromiseBroken as error:
        context.broken = error


@when(
    "a task that crashes its box is submitted, and each leader that gave its start is "
    "killed, {known}, with a successor {gap:g} seconds later"
)
def leader_dies_with_box(context, known, gap):
    world = context.world
    world.box_crashes.crash_before_answer = known == "without an answer"
    context.culprit = world.submit((Step(count=1, cpu=500, memory_mb=10),))
    context.task = f"{context.culprit}.0.0.0"
    world.box_crashes.crashing.add(context.task)
    ends, starts = world.now + 40.0, 0
    context.broken = None
    try:
        while world.now < ends:
            world.advance(TICK_INTERVAL_S)
            if int(world.now * 10) % 5 == 0:
                context.others.append(world.submit((SHORT,)))
            given = sum(
                run.task == context.task
                for box in world.boxes.values()
                for run in box.history
            )
            if given > starts:
                starts = given
                world.kill()
                world.advance(gap)
                world.take_over()
    except PromiseBroken as error:
        context.broken = error


@then("the task has crashed at most {most:d} boxes, and its job is shown as failed")
def given_up(context, most):
    world = context.world
    crashes = world.box_crashes.counts.get(context.task, 0)
    assert 2 <= crashes <= most, (crashes, context.broken)
    assert context.broken is None, context.broken
    job = world.leader.scheduler.state.workflows[context.culprit]
    assert job.state == "failed", job.state


@then("every other job completes or still runs, and none counts as failed")
def others_unaffected(context):
    world = context.world
    states = {
        job: world.leader.scheduler.state.workflows[job].state
        for job in context.others
        if job in world.accepted
    }
    world.settle(60.0)
    assert len(states) > 40, len(states)
    for job, state in states.items():
        assert state != "failed", job
        if job in context.long_running:
            assert state == "running", (job, state)
        else:
            after = world.leader.scheduler.state.workflows[job].state
            assert after == "completed", (job, after)


@when(
    "a box crashes, another incarnation answers at its address, and its entry stays "
    "for {seconds:g} seconds"
)
def ended_incarnation_stays_listed(context, seconds):
    world = context.world
    ended = sorted(world.entries)[0]
    entry = world.entries[ended]
    world.crash_box(0)
    world.entries[ended] = entry
    world.advance(seconds)
    del world.entries[ended]
    world.advance(0.5)
    context.ended = ended
    context.successor = next(
        incarnation
        for incarnation, e in world.entries.items()
        if e.address == entry.address
    )


@then("its end is recorded once, and the new incarnation gets work")
def ended_once(context):
    world = context.world
    ends = [
        log_event
        for log_event in notes(context, "box_over")
        if log_event.subject == context.ended
    ]
    assert len(ends) == 1, ends
    world.submit((Step(count=3, cpu=3000, memory_mb=10),))
    world.advance(0.5)
    assert world.boxes[context.successor].history


def box_of(world, task):
    """Return the incarnation on which a task runs, or ``None``."""
    incarnations = [
        incarnation for incarnation, box in world.boxes.items() if task in box.running
    ]
    return incarnations[0] if incarnations else None


@when(
    "a task starts, and its box and {others:d} others crash {after_s:g} seconds later, "
    "{times:d} times in a row"
)
def crash_in_waves(context, others, after_s, times):
    world = context.world
    world.advance(0.5)
    context.job = world.submit((Step(count=1, cpu=500, memory_mb=10),))
    for _ in range(times):
        while (incarnation := box_of(world, f"{context.job}.0.0.0")) is None:
            assert not world.leader.scheduler.state.workflows[context.job].terminal
            world.advance(0.05)
        world.advance(after_s - 0.05)
        rest = sorted(set(world.entries) - {incarnation})[:others]
        for lost in (incarnation, *rest):
            world.crash_box(sorted(world.entries).index(lost))


@then("its job is completed")
def job_is_completed(context):
    context.world.settle(60.0)
    job = context.world.leader.scheduler.state.workflows[context.job]
    assert job.state == "completed", job.state


@when("a task that crashes its box is submitted, and another box is lost every second")
def crashing_among_lost(context):
    world = context.world
    world.advance(0.5)
    context.culprit = world.submit((Step(count=1, cpu=500, memory_mb=10),))
    context.task = f"{context.culprit}.0.0.0"
    world.box_crashes.crashing.add(context.task)
    context.broken = None
    try:
        for second in range(30):
            incarnations = [
                incarnation
                for incarnation in sorted(world.entries)
                if world.boxes[incarnation].alive
            ]
            free = [
                incarnation
                for incarnation in incarnations
                if not world.boxes[incarnation].running
            ]
            world.crash_box(incarnations.index(free[second % len(free)]))
            world.advance(1.0)
    except PromiseBroken as error:
        context.broken = error


@when("random work and faults run on a shard from seed {seed:d}")
def random_shard(context, seed):
    context.shard = RandomShard(seed)
    # Raises when a promise is broken.
    context.shard.run()


@when("boxes crash often and keep their ids on a shard from seed {seed:d}")
def random_restarts(context, seed):
    context.shard = RandomShard(seed, "restarts")
    # Raises when a promise is broken.
    context.shard.run()


@then("no promise was broken")
def no_promise_broken(context):
    context.shard.world.check()


@when(
    "{count:d} busy shards of 12 boxes run 6 tasks each that crash every box that "
    "starts them"
)
def busy_shards(context, count):
    context.rows = [crashes_among_others(seed) for seed in range(count)]


@then("each of these is given up after at most {most:d} crashes, and no other job is")
def only_culprits(context, most):
    for crashes, given_up, others in context.rows:
        assert len(crashes) == 6 and max(crashes) <= most, context.rows
        assert given_up == 0 and others > 200, context.rows


@when("two tasks that crash their boxes start together, and so do their next runs")
def two_culprits(context):
    world = context.world
    world.advance(0.5)
    context.culprits = [
        world.submit((Step(count=1, cpu=500, memory_mb=10),)) for _ in range(2)
    ]
    world.box_crashes.crashing.update(f"{job}.0.0.0" for job in context.culprits)
    world.advance(60.0)


@then("each has crashed at most {most:d} boxes, and both jobs are shown as failed")
def both_given_up(context, most):
    world = context.world
    counts = [world.box_crashes.counts[f"{job}.0.0.0"] for job in context.culprits]
    assert max(counts) <= most, counts
    workflows = world.leader.scheduler.state.workflows
    states = [workflows[job].state for job in context.culprits]
    assert states == ["failed", "failed"], states


@when(
    "a box crashes on which {count:d} tasks of {jobs:d} long-running jobs have just "
    "started"
)
def box_of_many(context, count, jobs):
    world = context.world
    long_running = Step(count=1, cpu=200, memory_mb=10, long_running=True)
    context.jobs = [world.submit((long_running,)) for _ in range(jobs)]
    world.advance(0.2)
    scheduler = world.leader.scheduler
    incarnations = {
        t.box
        for job in context.jobs
        for t in scheduler.state.workflows[job].tasks.values()
    }
    assert len(incarnations) == 1, incarnations
    (incarnation,) = incarnations
    assert len(world.boxes[incarnation].running) == count
    world.crash_box(sorted(world.entries).index(incarnation))
    while not notes(context, "run_lost"):
        world.advance(0.05)
    context.since = world.now


@then(
    "all of them run again within {seconds:g} seconds of its end, and few boxes are "
    "closed"
)
def all_run_again(context, seconds):
    world = context.world
    boxes = world.leader.scheduler.state.boxes.values()
    closed = sum(box.closed_until > world.now for box in boxes)
    world.advance(seconds)
    running = {task for box in world.boxes.values() for task in box.running}
    assert len(running) == len(context.jobs), len(running)
    assert closed <= 3, closed


@when(
    "random work and faults run on a shard whose boxes shrink and grow from seed "
    "{seed:d}"
)
def random_rooms(context, seed):
    context.shard = RandomShard(seed, "rooms")
    context.shard.run()


@when(
    "a job has just started, another's start is held back as the store is away, and "
    "the box crashes"
)
def start_held_back(context):
    world = context.world
    step = Step(count=1, cpu=500, memory_mb=10)
    context.started_job = world.submit((step,))
    world.advance(0.1)
    world.store_down = True
    context.held_job = world.submit((step,))
    world.advance(0.1)
    world.crash_box(0)
    world.advance(0.2)


@then("the first is suspected, and the other is not")
def only_started_suspected(context):
    lost = {
        log_event.subject: log_event.inputs for log_event in notes(context, "run_lost")
    }
    assert lost[f"{context.started_job}.0.0.0"]["suspicion"] == 1, lost
    assert lost[f"{context.held_job}.0.0.0"]["suspicion"] == 0, lost


@when(
    "random work and faults run on a shard whose leaders are suspended from seed "
    "{seed:d}"
)
def random_suspended(context, seed):
    context.shard = RandomShard(seed, "suspended")
    context.shard.run()


@when("random work and faults run on a shard whose boxes restart from seed {seed:d}")
def random_restarts(context, seed):
    context.shard = RandomShard(seed, "restarts")
    context.shard.run()


@when(
    "random work and faults run on a shard whose leaders lose the store from seed "
    "{seed:d}"
)
def random_store_losses(context, seed):
    context.shard = RandomShard(seed, "parted")
    context.shard.run()


@when(
    "a long-running job has run for {seconds:g} seconds, a successor takes over, and "
    "after {gap:g} seconds a box of the job crashes"
)
def crash_after_take_over(context, seconds, gap):
    world = context.world
    context.job = world.submit((LONG_RUNNING,))
    world.advance(seconds)
    incarnation = box_of(world, f"{context.job}.0.0.0")
    world.kill()
    world.advance(0.5)
    world.take_over()
    if gap:
        world.advance(gap)
    world.crash_box(sorted(world.entries).index(incarnation))
    world.advance(6.0)


@then("none of its tasks is suspected")
def none_suspected(context):
    lost = notes(context, "run_lost")
    assert lost, "no run was lost"
    points = {event.subject: event.inputs["suspicion"] for event in lost}
    assert not any(points.values()), points
