"""A long-running task on a shard among models."""

from granitetrestle.workflows import Step


def lasting_task(context):
    context.job = context.world.submit(
        (Step(count=1, cpu=500, memory_mb=10, long_running=True),)
    )
    context.world.advance(4.0)
    scheduler = context.world.leader.scheduler
    (task,) = scheduler.state.workflows[context.job].tasks.values()
    return task
