"""Steps for when suspects are tried."""

import itertools

from behave import then
from behave import when
from evidence_steps import new_task
from suspect_steps import SMALL_TASK
from suspect_steps import submit_suspected

from granitetrestle.crashloops import find_suspects
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S


def lose_free_box(world):
    """Crash a box on which nothing runs."""
    entries = sorted(world.entries)
    free = [e for e in entries if not world.boxes[e].running and world.boxes[e].alive]
    world.crash_box(entries.index(free[0]))


@when(
    "a task under which three boxes were lost waits while a box is lost every "
    "{interval_s:g} seconds for {seconds:g} seconds"
)
def waits_among_losses(context, interval_s, seconds):
    world = context.world
    world.advance(0.5)
    began = world.now
    context.started_after_s = None
    for number in range(round(seconds / interval_s)):
        lose_free_box(world)
        context.lost_at = world.now
        if number == 2:
            submit_suspected(context)
        for _ in range(round(interval_s / TICK_INTERVAL_S)):
            world.advance(TICK_INTERVAL_S)
            if number >= 2 and context.suspected.run:
                context.started_after_s = context.started_after_s or world.now - began


@then(
    "it has not started, and starts {least_s:g} to {most_s:g} seconds after the last "
    "loss"
)
def starts_once_calm(context, least_s, most_s):
    world = context.world
    assert context.started_after_s is None, context.started_after_s
    while not context.suspected.run and world.now < context.lost_at + 30.0:
        world.advance(TICK_INTERVAL_S)
    waited_s = world.now - context.lost_at
    assert least_s <= waited_s <= most_s, waited_s


@then("it has started, {most_s:g} seconds after the first loss at the latest")
def starts_anyway(context, most_s):
    # It is submitted after the first second of the losses.
    assert context.started_after_s is not None
    assert 6.0 <= context.started_after_s <= most_s + 1.5, context.started_after_s


@when("{count:d} tasks under which three boxes were lost are submitted together")
def suspects_together(context, count):
    world = context.world
    world.advance(0.5)
    context.submitted_at = world.now
    tasks = []
    for _ in range(count):
        submit_suspected(context)
        tasks.append(context.suspected)
    starts = {}
    while len(starts) < count and world.now < context.submitted_at + 10.0:
        world.advance(TICK_INTERVAL_S)
        for task in tasks:
            if task.run:
                starts.setdefault(task.name, world.now)
    context.starts = sorted(starts.values())


@then("they start at least {apart_s:g} seconds apart, and within {within_s:g} seconds")
def start_apart(context, apart_s, within_s):
    starts = context.starts
    gaps = [later - sooner for sooner, later in itertools.pairwise(starts)]
    assert len(gaps) == 3 and min(gaps) >= apart_s - 1e-6, gaps
    assert starts[-1] <= context.submitted_at + within_s, starts


@when(
    "a task under which one box was lost starts, and {later_s:g} seconds later one "
    "under which three were"
)
def weak_and_strong(context, later_s):
    world = context.world
    world.advance(0.5)
    submit_suspected(context)
    weak = context.suspected
    weak.suspicion = 1
    while not weak.run:
        world.advance(TICK_INTERVAL_S)
    world.advance(later_s)
    submit_suspected(context)
    ends = world.now + 2.0
    while not context.suspected.run and world.now < ends:
        world.advance(TICK_INTERVAL_S)
    assert context.suspected.run and context.suspected.box != weak.box


@then(
    "the box of the latter takes no other task for {alone_s:g} seconds, as others are "
    "submitted"
)
def keeps_box(context, alone_s):
    world = context.world
    box = world.boxes[context.suspected.box]
    world.advance(TICK_INTERVAL_S)
    count = len(box.history)
    assert count == 1, box.history
    for _ in range(round(alone_s / 0.1)):
        for _ in range(4):
            world.submit((SMALL_TASK,))
        world.advance(0.1)
    assert len(box.history) == count, box.history


@when(
    "a box is lost on which a suspect, a task that started {before_s:g} seconds before "
    "and one that has just started run"
)
def lost_beside_suspect(context, before_s):
    suspect, older, newer = (new_task(letter * 16) for letter in "abc")
    suspect.suspicion = 1
    for task, age_s in ((suspect, before_s), (older, before_s), (newer, 0.1)):
        task.started_at = task.running_since = 100.0 - age_s
    context.suspects = find_suspects([suspect, older, newer], 100.0)
    context.expected = [suspect, newer]


@then("the suspect and the task that has just started are suspected")
def only_newer_suspected(context):
    assert context.suspects == context.expected, context.suspects
