"""Steps of the scenarios about leaders that are lost together with boxes."""

import math

from behave import given
from behave import then
from behave import when

from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld
from lasting_task import lasting_task
from random_losses import LONG_DURATIONS
from random_losses import RandomLosses

# Longer than any lease of a leader that was lost may run.
AFTERWARDS_S = 20.0


@given(
    "a shard of {boxes:d} boxes in {halls:d} data halls, with the durations of "
    "deployments"
)
def shard_of_deployment(context, boxes, halls):
    names = [f"h{number}" for number in range(halls)]
    context.world = ShardWorld(7, boxes, names, parameters=LONG_DURATIONS)


@when("the box of a long-running task is lost, and its leader is {way}")
def lost_with_leader(context, way):
    world = context.world
    context.task = lasting_task(context)
    context.lost, context.leader = context.task.box, world.leader
    context.since = world.now
    context.island = {context.lost}
    if way == "cut off from the store and most boxes":
        # The leader still renews the lease of the box that is lost to all others.
        context.island.add(min(world.entries.keys() - {context.lost}))
        context.leader.cut_from |= world.entries.keys() - context.island
    elif way == "cut off from the store, with a majority of the witnesses":
        panel = context.leader.scheduler.state.witnesses.panel
        others = sorted(set(panel.members) - {context.lost})
        wanted = panel.majority - (context.lost in panel.members)
        context.island.update(others[:wanted])
        context.leader.cut_from |= world.entries.keys() - context.island
    else:
        world.cut_until[context.lost] = math.inf
    if way == "killed for good":
        world.kill()
    elif way == "frozen":
        context.leader.frozen = True
    else:
        context.leader.without_store = True


@when("a successor takes over {seconds:g} s later")
def successor_takes_over(context, seconds):
    context.world.advance(seconds)
    context.world.take_over()
    context.world.leader.cut_from |= context.island


@then("the task runs on another box within {seconds:g} s of the loss")
def runs_on_another_box(context, seconds):
    world = context.world
    task = context.task.name
    until = context.since + AFTERWARDS_S
    while world.now < until and not any(
        task in box.running
        for incarnation, box in world.boxes.items()
        if incarnation != context.lost
    ):
        world.advance(TICK_INTERVAL_S)
    waited_s = world.now - context.since
    assert waited_s <= seconds, f"it runs elsewhere {waited_s:.2f} s after the loss"


@then("it never runs on two boxes, also once the leader is back")
def never_on_two_boxes(context):
    # The world checks this after each step.
    context.leader.resume()
    context.world.advance(AFTERWARDS_S)


@when("leaders are lost with boxes from seed {seed:d}")
def random_losses(context, seed):
    context.shard = RandomLosses(seed)
    # Raises when a promise is broken.
    context.shard.run()
