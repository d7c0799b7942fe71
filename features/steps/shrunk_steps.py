"""Steps of the scenarios about boxes whose room shrinks under their tasks."""

from behave import given
from behave import then
from behave import when

from granitetrestle.workflows import Step
from granitetrestle_standins.modelboxes import CAPACITY_GRACE_S
from granitetrestle_standins.shardworld import ShardWorld

FULL_CPU = 4000
SMALL_CPU = 2200
SHORT = Step(count=3, cpu=500, memory_mb=10)
TICK_S = 0.05


def used(world, incarnation):
    """Return the processor time of what runs on a box, in thousandths of a core."""
    return 500 * len(world.boxes[incarnation].running)


def resize(world, incarnation, cpu):
    world.resize_box(sorted(world.entries).index(incarnation), cpu)


@given(
    "a busy shard of {boxes:d} boxes of which some list a smaller room, from seed "
    "{seed:d}"
)
def busy_shard(context, boxes, seed):
    context.world = world = ShardWorld(seed, boxes)
    world.advance(0.5)
    for _ in range(40):
        world.submit((SHORT,))
    world.advance(0.2)
    context.shrunk = [
        incarnation
        for incarnation in sorted(world.entries)
        if used(world, incarnation) > SMALL_CPU
    ][: boxes // 2]
    assert len(context.shrunk) >= 2, context.shrunk
    for incarnation in context.shrunk:
        resize(world, incarnation, SMALL_CPU)
    context.since = world.now


def advance_in_burst(context, seconds, disturb):
    """Submit more than there is room for, and record when the shrunk boxes come below
    their room, and the starts that they carry out before."""
    world = context.world
    context.below, context.early_starts, context.later_starts = {}, [], set()
    for tick in range(round(seconds / TICK_S)):
        for _ in range(2):
            world.submit((SHORT,))
        before = {i: used(world, i) for i in context.shrunk}
        known = {i: len(world.boxes[i].history) for i in context.shrunk}
        world.advance(TICK_S)
        disturb(world, tick)
        for incarnation in context.shrunk:
            started = len(world.boxes[incarnation].history) - known[incarnation]
            if used(world, incarnation) <= SMALL_CPU:
                context.below.setdefault(incarnation, world.now - context.since)
            if started and incarnation in context.below:
                context.later_starts.add(incarnation)
            if (
                started
                and before[incarnation] > SMALL_CPU < used(world, incarnation)
                and world.now - context.since > CAPACITY_GRACE_S
            ):
                context.early_starts.append((incarnation, world.now))


def store_unavailable(world, tick):
    world.store_down = tick % 20 < 10


def answers_lost(world, tick):
    world.lost_answer_share = 0.3 if tick % 20 < 10 else 0.0


def leaders_killed(world, tick):
    if tick % 15 == 5:
        world.kill()
    elif tick % 15 == 10:
        world.take_over()


DISTURBANCES = {
    "and nothing else happens": lambda world, tick: None,
    "and the store is unavailable": store_unavailable,
    "and answers of boxes get lost": answers_lost,
    "and leaders are killed in turn": leaders_killed,
}


@when("a burst of work comes, {what} for {seconds:g} seconds")
def burst_comes(context, what, seconds):
    # The world itself raises when a start exceeds the room of a box.
    advance_in_burst(context, seconds, DISTURBANCES[what])


@then("no box that is over its room is sent a start")
def no_early_start(context):
    assert not context.early_starts, context.early_starts
    assert context.below, "no box came below its room, so nothing was seen"


@then(
    "each of them came below its room within {seconds:g} seconds and got work again, "
    "not beyond it"
)
def relieved(context, seconds):
    assert not context.early_starts, context.early_starts
    assert set(context.below) == set(context.shrunk), context.below
    assert max(context.below.values()) <= seconds, context.below
    assert context.later_starts == set(context.shrunk), context.later_starts


@when("the room of these boxes is as before")
def as_before(context):
    for incarnation in context.shrunk:
        assert used(context.world, incarnation) <= SMALL_CPU
        resize(context.world, incarnation, FULL_CPU)


@then("each of them runs more than the smaller room allowed within {seconds:g} seconds")
def room_used(context, seconds):
    world, ends = context.world, context.world.now + seconds
    used_again = set()
    while world.now < ends:
        world.advance(TICK_S)
        used_again.update(i for i in context.shrunk if used(world, i) > SMALL_CPU)
    assert used_again == set(context.shrunk), (used_again, context.shrunk)


@when(
    "the store is unavailable, work for all of the room is submitted, and the boxes "
    "shrink"
)
def shrink_under_held_starts(context):
    world = context.world
    world.store_down = True
    for _ in range(len(world.entries) * FULL_CPU // (SHORT.count * SHORT.cpu)):
        world.submit((SHORT,))
    world.advance(0.5)
    for incarnation in sorted(world.entries):
        resize(world, incarnation, SMALL_CPU)
    world.advance(2 * CAPACITY_GRACE_S)
    assert not any(box.history for box in world.boxes.values())


@when("the store is back")
def store_back(context):
    context.world.store_down = False
    context.world.advance(TICK_S)


@then("each box has started no more than the smaller room allows, and some work")
def within_smaller_room(context):
    world = context.world
    started = {i: used(world, i) for i in world.entries}
    assert all(0 < cpu <= SMALL_CPU for cpu in started.values()), started


@when("it lists less than its long-running tasks take up, and best-effort work comes")
def best_effort_comes(context):
    world = context.world
    world.submit((Step(count=3, cpu=1000, memory_mb=10, long_running=True),))
    world.advance(4.0)
    (context.box,) = world.boxes.values()
    assert len(context.box.running) == 3, context.box.running
    resize(world, context.box.incarnation, 1000)
    world.advance(CAPACITY_GRACE_S)
    best_effort = Step(count=6, cpu=500, memory_mb=10, best_effort=True)
    context.job = world.submit((best_effort,))


def runs_of_job(context):
    return [run for run in context.box.history if run.task.startswith(context.job)]


@then(
    "none of this starts within {seconds:g} seconds, and all of it soon after the room "
    "is as before"
)
def starts_with_room(context, seconds):
    world = context.world
    world.advance(seconds)
    assert not runs_of_job(context), runs_of_job(context)
    resize(world, context.box.incarnation, FULL_CPU)
    world.advance(3.0)
    assert len(runs_of_job(context)) >= 6, runs_of_job(context)
