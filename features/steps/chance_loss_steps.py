"""Steps for tasks whose boxes crash again and again for causes of their own."""

import random
import unittest.mock

from behave import given
from behave import then
from behave import when

from granitetrestle.workflows import Step
from granitetrestle_standins import shardworld
from granitetrestle_standins.boxcrashes import RESTART_DELAY_S
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld

SEEDS = range(10)
BOXES = 8
LABEL = "only"
# How long all boxes are up between two crashes.
UP_S = (1.0, 3.0)
CRASHES = 20
# How long boxes that crash together are up before each time: so that a task has just
# started there again.
RACK_UP_S = ((0.4, 0.7), (0.7, 1.0), (3.4, 4.2), (3.4, 4.2))
CALM_S = 25.0
# How long a member of a gang waits for the others.
GANG_WAIT_S = 0.5
# How long each task of a gang runs.
WORK_S = 4.0

GANG = Step(count=BOXES, cpu=4000, memory_mb=10, per_box=1, gang=True)
ONE_BOX = Step(
    count=1, cpu=500, memory_mb=10, long_running=True, required_labels=(LABEL,)
)
STEPS = {
    "a gang on all boxes": GANG,
    "a long-running task that only one box can run": ONE_BOX,
}


class GangWorld(ShardWorld):
    """Boxes on which the members of a gang end once one of them is gone."""

    def _run_boxes(self):
        super()._run_boxes()
        members = [
            (box, run)
            for box in self.boxes.values()
            for run in box.running.values()
            if self._step(run.task).gang
        ]
        if len(members) < BOXES:
            for box, run in members:
                if self.now - run.began > GANG_WAIT_S:
                    box.end(run.task, "broken", self.now)


def new_world(seed):
    """Return a world with one box that has the label."""
    world = GangWorld(seed, BOXES)
    first = next(iter(world.entries))
    world.entries[first] = world.entries[first]._replace(labels=frozenset({LABEL}))
    return world


@given("shards of 8 boxes among models, one of them with a label")
def shards_with_label(context):
    context.worlds = [new_world(seed) for seed in SEEDS]
    context.jobs = []


def crash_one(world, draw, step):
    """Crash a box that the step's tasks may run on, and restart it."""
    world.advance(draw.uniform(*UP_S))
    entries = [
        entry
        for entry in world.entries.values()
        if world.boxes[entry.incarnation].alive
        and entry.labels.issuperset(step.required_labels)
    ]
    box = world.boxes[draw.choice(entries).incarnation]
    world.box_crashes.crash_and_restart(box, world.now)
    world.advance(RESTART_DELAY_S + 0.1)


@when("{what} is submitted, and its boxes crash one at a time, 20 times")
def crash_in_turn(context, what):
    step = STEPS[what]
    with unittest.mock.patch.object(shardworld, "TASK_S", (WORK_S,)):
        for seed, world in enumerate(context.worlds):
            draw = random.Random(seed)
            world.advance(8.0)
            context.jobs.append(world.submit((step,)))
            for _ in range(CRASHES):
                crash_one(world, draw, step)
            world.advance(CALM_S)


def states(context):
    return [
        world.leader.scheduler.state.workflows[job].state
        for world, job in zip(context.worlds, context.jobs, strict=True)
    ]


@then("its job is not shown as failed, and {state}")
def not_failed(context, state):
    assert set(states(context)) == {state.removeprefix("is ")}, states(context)


def crash_together(world):
    """Crash all boxes with the label at once."""
    for entry in list(world.entries.values()):
        if LABEL in entry.labels and world.boxes[entry.incarnation].alive:
            world.box_crashes.crash_and_restart(
                world.boxes[entry.incarnation], world.now
            )
    world.advance(RESTART_DELAY_S + 0.1)


@given("shards of 24 boxes among models, of which 3 have a label")
def shards_with_rack(context):
    context.worlds = [ShardWorld(seed, 24) for seed in SEEDS]
    for world in context.worlds:
        for incarnation in list(world.entries)[:3]:
            entry = world.entries[incarnation]
            world.entries[incarnation] = entry._replace(labels=frozenset({LABEL}))


@when(
    "a long-running task that needs the label is submitted, and these boxes crash "
    "together 4 times"
)
def crash_rack(context):
    context.idle_s = []
    for seed, world in enumerate(context.worlds):
        draw = random.Random(seed)
        world.advance(8.0)
        job = world.submit((ONE_BOX,))
        for up_s in RACK_UP_S:
            world.advance(draw.uniform(*up_s))
            crash_together(world)
        context.idle_s.append(idle_in_calm(world, f"{job}.0.0.0"))


def idle_in_calm(world, task):
    """Return for how long a task does not run from 6 s after its last run on, and from
    4 s after the boxes are up on."""
    up_at = last_run_at = world.now
    idle_s = 0.0
    while world.now < up_at + CALM_S:
        world.advance(TICK_INTERVAL_S)
        if any(box.alive and task in box.running for box in world.boxes.values()):
            last_run_at = world.now
        elif world.now >= max(last_run_at + 6.0, up_at + 4.0):
            idle_s += TICK_INTERVAL_S
    return idle_s


@then("in calm it is idle for less than {limit_s:g} seconds of the time that counts")
def idle_for_less(context, limit_s):
    assert max(context.idle_s) < limit_s, context.idle_s


@when("{what} is submitted that crashes a box with each start")
def crash_at_start(context, what):
    with unittest.mock.patch.object(shardworld, "TASK_S", (WORK_S,)):
        for world in context.worlds:
            world.advance(8.0)
            job = world.submit((STEPS[what],))
            context.jobs.append(job)
            world.box_crashes.crashing.add(f"{job}.0.0.0")
            world.advance(90.0)


@then("its job is shown as failed, and it has crashed at most {most:d} boxes")
def culprit_found(context, most):
    caused = [
        world.box_crashes.caused[f"{job}.0.0.0"]
        for world, job in zip(context.worlds, context.jobs, strict=True)
    ]
    assert max(caused) <= most, caused
    assert set(states(context)) == {"failed"}, states(context)
