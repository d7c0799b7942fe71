"""Steps for jobs that did nothing wrong and lose boxes just after their starts."""

from behave import then
from behave import when
from crash_steps import box_of

from granitetrestle.workflows import Step
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S

ONE_TASK = Step(count=1, cpu=500, memory_mb=10)
SMALL_TASK = Step(count=1, cpu=100, memory_mb=10)


@when(
    "{times:d} times in a row the box refuses the start of a job, and its leader and "
    "then the box are lost"
)
def refused_starts(context, times):
    world = context.world
    (incarnation,) = world.entries
    for _ in range(times):
        while True:
            box = world.leader.scheduler.state.boxes.get(incarnation)
            if box is not None and box.adopted:
                break
            world.advance(TICK_INTERVAL_S)
        world.refusing.add(incarnation)
        if not world.accepted:
            context.job = world.submit((ONE_TASK,))
        # The start is refused, and the leader writes what it makes of that.
        world.advance(2 * TICK_INTERVAL_S)
        job = world.leader.scheduler.state.workflows[context.job]
        reasons = [event.inputs.get("reason") for event in world.leader.log_events]
        assert job.terminal or "connection refused" in reasons, reasons
        assert not world.boxes[incarnation].history
        world.kill()
        world.take_over()
        world.refusing.clear()
        world.crash_box(0)
        (incarnation,) = world.entries


@when(
    "a job's starts reach no box twice, as its box is lost, and its third box is lost "
    "just after the start"
)
def unreached_starts(context):
    world = context.world
    world.advance(0.5)
    context.job = world.submit((ONE_TASK,))
    task = next(
        iter(world.leader.scheduler.state.workflows[context.job].tasks.values())
    )
    for arrives in (False, False, True):
        run = task.run + 1
        cut = () if arrives else sorted(world.entries)
        world.cut_until.update(dict.fromkeys(cut, world.now + 1.5 * TICK_INTERVAL_S))
        while task.run < run:
            world.advance(TICK_INTERVAL_S)
        assert bool(world.boxes[task.box].running) == arrives
        world.crash_box(sorted(world.entries).index(task.box))
        while task.placed:
            world.advance(TICK_INTERVAL_S)


@when(
    "a job's box is lost {first_s:g} seconds after its start, and the next one "
    "{second_s:g} seconds after"
)
def lost_after_start(context, first_s, second_s):
    lose_boxes_after_start(context, (first_s, second_s))


@when(
    "a job's boxes are lost {after_s:g} seconds after its starts, and the leader is "
    "replaced after each"
)
def lost_under_leaders(context, after_s):
    world = context.world
    world.advance(0.5)
    context.job = world.submit((ONE_TASK,))
    context.lost = 0
    while context.lost < 6:
        ends = world.now + 120.0
        while (incarnation := box_of(world, f"{context.job}.0.0.0")) is None:
            workflow = world.leader.scheduler.state.workflows[context.job]
            if workflow.terminal or world.now > ends:
                return
            world.advance(TICK_INTERVAL_S)
        world.advance(after_s)
        world.crash_box(sorted(world.entries).index(incarnation))
        context.lost += 1
        world.advance(2 * TICK_INTERVAL_S)
        world.kill()
        world.take_over()


@then(
    "its job counts as failed after at most {most:d} of them, and not before the third"
)
def counts_as_failed(context, most):
    job = context.world.leader.scheduler.state.workflows[context.job]
    assert job.state == "failed", job.state
    assert 3 <= context.lost <= most, context.lost


def lose_boxes_after_start(context, times_s):
    world = context.world
    world.advance(0.5)
    context.job = world.submit((ONE_TASK,))
    for after_s in times_s:
        while (incarnation := box_of(world, f"{context.job}.0.0.0")) is None:
            world.advance(TICK_INTERVAL_S)
        world.advance(after_s)
        world.crash_box(sorted(world.entries).index(incarnation))
        world.advance(2 * TICK_INTERVAL_S)


def submit_suspected(context):
    """Submit a job whose task is suspected after three starts without an answer."""
    job = context.world.submit((ONE_TASK,))
    (task,) = context.world.leader.scheduler.state.workflows[job].tasks.values()
    task.suspicion = 3
    state = context.world.leader.scheduler.state
    state.waiting[(job, 0, 0)].suspects = True
    context.job, context.suspected = job, task


@when(
    "{jobs:d} jobs under which three boxes were lost are submitted just before one that "
    "crashes its box"
)
def suspected_beside_crashing(context, jobs):
    world = context.world
    world.advance(0.5)
    context.jobs = []
    for _ in range(jobs):
        submit_suspected(context)
        context.jobs.append(context.job)
    crashing = world.submit((ONE_TASK,))
    world.box_crashes.crashing.add(f"{crashing}.0.0.0")


@when(
    "a job under which three boxes were lost is submitted just after another task has "
    "started"
)
def suspected_after_start(context):
    world = context.world
    world.advance(0.5)
    world.submit((SMALL_TASK,))
    world.advance(TICK_INTERVAL_S)
    (box,) = world.boxes.values()
    assert box.running
    submit_suspected(context)


@then("its task starts no sooner than {after_s:g} seconds later")
def starts_later(context, after_s):
    began = context.world.now
    while not context.suspected.run and context.world.now < began + 5.0:
        context.world.advance(TICK_INTERVAL_S)
    assert context.suspected.run
    assert context.world.now >= began + after_s, context.world.now - began


@then("both jobs are completed")
def both_completed(context):
    context.world.settle(60.0)
    workflows = context.world.leader.scheduler.state.workflows
    states = [workflows[job].state for job in context.jobs]
    assert states == ["completed", "completed"], states


@when(
    "a job under which three boxes were lost waits while others start on the only box "
    "{rate:d} times a second"
)
def suspected_on_busy_shard(context, rate):
    world = context.world
    world.advance(0.5)
    for _ in range(rate):
        world.submit((SMALL_TASK,))
        world.advance(1.0 / rate)
    submit_suspected(context)
    context.submitted_at = world.now
    while not context.suspected.run and world.now < context.submitted_at + 10.0:
        world.submit((SMALL_TASK,))
        world.advance(1.0 / rate)


@then(
    "it starts within {within_s:g} seconds, and its box takes no other task for "
    "{alone_s:g} seconds"
)
def starts_apart(context, within_s, alone_s):
    world, task = context.world, context.suspected
    assert task.run and world.now - context.submitted_at <= within_s, task.run
    box = world.boxes[task.box]
    count = len(box.history)
    for _ in range(round(alone_s / 0.1)):
        world.submit((SMALL_TASK,))
        world.advance(0.1)
    assert len(box.history) == count, box.history[count:]
