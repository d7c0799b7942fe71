"""Steps for gangs that crash boxes, and for boxes that are only out of reach."""

from behave import then
from behave import when
from crash_steps import box_of

from granitetrestle.workflows import Step
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S


@when("a gang of {count:d} tasks is submitted, of which {culprits:d} crash their boxes")
def gang_that_crashes(context, count, culprits):
    world = context.world
    world.advance(8.0)
    gang = Step(count=count, cpu=500, memory_mb=10, gang=True)
    context.job = world.submit((gang,))
    context.culprits = [f"{context.job}.0.0.{index}" for index in range(culprits)]
    world.box_crashes.crashing.update(context.culprits)
    # Raises when a task that crashes its boxes is started too often.
    world.advance(60.0)


@then("its job is shown as failed, and no task has crashed more than {most:d} boxes")
def gang_given_up(context, most):
    world = context.world
    counts = [world.box_crashes.caused.get(task, 0) for task in context.culprits]
    assert max(counts) <= most, counts
    state = world.leader.scheduler.state.workflows[context.job].state
    assert state == "failed", state


@when(
    "a long-running job's box is cut off {times:d} times in a row {after_s:g} seconds "
    "after the start, until its lease is over and its entry gone"
)
def cut_off_again_and_again(context, times, after_s):
    world = context.world
    world.advance(8.0)
    step = Step(count=1, cpu=500, memory_mb=10, long_running=True)
    context.job = world.submit((step,))
    for _ in range(times):
        while (incarnation := box_of(world, f"{context.job}.0.0.0")) is None:
            world.advance(TICK_INTERVAL_S)
        world.advance(after_s)
        entry = world.entries.pop(incarnation)
        world.cut_until[incarnation] = ends = world.now + 5.5
        while world.now < ends:
            world.advance(TICK_INTERVAL_S)
        world.entries[incarnation] = entry
        world.advance(0.5)


@then("the job runs, without evidence against it")
def runs_without_evidence(context):
    workflow = context.world.leader.scheduler.state.workflows[context.job]
    (task,) = workflow.tasks.values()
    assert workflow.state == "running", workflow.state
    assert (task.evidence, task.suspicion) == (0, 0), (task.evidence, task.suspicion)
