"""Steps of the scenarios about leases that a leader no longer renews."""

from behave import given
from behave import then
from behave import when
from room_steps import SchedulerHarness

from granitetrestle.boxleases import granted_lease_s
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld
from islands import cut_off_with
from islands import island_around
from lasting_task import lasting_task


@when(
    "a long-running task runs, its box becomes silent for good, {listed}, and a "
    "successor takes over"
)
def silent_before_take_over(context, listed):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    world.advance(2.0)
    context.entry = world.entries[task.box]
    if listed != "still listed":
        del world.entries[task.box]
    world.advance(0.5)
    world.take_over()


@when(
    "a long-running task runs, and its box and the leader are lost at once, where "
    "leases last 6 s"
)
def lost_together(context):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    del world.entries[task.box]
    world.kill()
    world.parameters = SchedulerParameters(lease_s=6.0, orphan_s=8.0, keep_s=600.0)
    world.advance(0.9)
    world.take_over()


@given("a shard of {boxes:d} boxes among models, whose leases last {lease:g} s")
def shard_of_long_leases(context, boxes, lease):
    world = context.world = ShardWorld(7, boxes)
    world.parameters = SchedulerParameters(lease_s=lease, keep_s=600.0)
    for box in world.boxes.values():
        box._hold_max_s = world.parameters.lease_s
    world.hand_over()


@when("a long-running task runs, and its box and the leader are lost at once")
def lost_with_leader(context):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    world.kill()
    world.advance(0.9)
    world.take_over()


@when("a long-running task runs, and the store is away for {seconds:g} seconds")
def store_away(context, seconds):
    world = context.world
    context.task = lasting_task(context)
    world.store_down = True
    world.advance(seconds)
    world.store_down = False
    world.advance(5.0)


@then("the task has run without a break")
def ran_without_break(context):
    runs = [run for box in context.world.boxes.values() for run in box.history]
    assert [(run.task, run.ended) for run in runs] == [(context.task.name, None)], runs


@given("the leader that is cut off from the store reaches {share} of the witnesses")
def share_of_witnesses(context, share):
    context.island_witnesses = share


@when("a long-running task runs on a box that only a leader without the store reaches")
def only_former_leader_reaches(context):
    world = context.world
    context.task = lasting_task(context)
    box = context.task.box
    cut_off_with(context, box)
    world.advance(0.9)
    world.take_over()
    world.leader.cut_from.update(context.island)
    # The world checks at each step that no task runs on two boxes.
    world.advance(20.0)
    context.silent_box = box


@then("the task runs elsewhere, and never ran on two boxes")
def runs_elsewhere_alone(context):
    running = [
        incarnation
        for incarnation, box in context.world.boxes.items()
        if context.task.name in box.running
    ]
    assert len(running) == 1 and running != [context.silent_box], running


@when(
    "a long-running task runs, its box is lost, {listed}, and the leader hands over "
    "{count:d} times, first after {first:g} s and then every {gap:g} s"
)
def lost_amid_hand_overs(context, listed, count, first, gap):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    if listed != "still listed":
        del world.entries[task.box]
    world.advance(first)
    for _ in range(count):
        world.hand_over()
        world.advance(gap)


@then("it runs on another box within {seconds:g} seconds of when its box became silent")
def runs_on_another(context, seconds):
    world = context.world
    others = [
        box
        for incarnation, box in world.boxes.items()
        if incarnation != context.silent_box
    ]
    while not any(box.running for box in others) and world.now - context.since < 20.0:
        world.advance(0.05)
    took_s = world.now - context.since
    assert took_s <= seconds, took_s


@when(
    "a long-running task runs, and its box is cut off and back while the store is down"
)
def box_returns_without_store(context):
    world = context.world
    context.task = lasting_task(context)
    world.cut_until[context.task.box] = world.now + 2.0
    world.advance(1.8)
    context.former_leader = world.leader
    context.former_leader.without_store = True
    world.advance(0.5)


@when(
    "a successor takes over that does not reach the box, and the old leader still does"
)
def both_leaders_renew(context):
    world = context.world
    world.take_over()
    island = island_around(context, context.task.box)
    world.leader.cut_from.update(island)
    # Any other box would report the newer epoch to it.
    context.former_leader.cut_from.update(world.entries.keys() - island)
    world.advance(20.0)


@then("no task ever ran on two boxes")
def on_one_box(context):
    # The world checks this after each step.
    runs_there = [run for box in context.world.boxes.values() for run in box.history]
    assert len(runs_there) == 2, runs_there


def lease_records(context):
    records = context.world.store.newest("keyed.jobs").records
    return [record.key for record in records if record.key.startswith("l/")]


@when("nothing else happens")
def nothing_else(context):
    assert lease_records(context) == [f"l/{context.silent_box}"]


@when("the box is reachable again")
def back_after_all(context):
    assert lease_records(context) == [f"l/{context.silent_box}"]
    context.world.entries[context.silent_box] = context.entry
    del context.world.cut_until[context.silent_box]


@then("{seconds:g} seconds later the store holds no record of its leases")
def no_lease_records(context, seconds):
    context.world.advance(seconds)
    assert lease_records(context) == []
    assert (
        context.silent_box not in context.world.leader.scheduler.state.withdrawn_leases
    )


@given("four boxes of 64 cores, with a long-running task on one of them")
def task_on_one_of_four(context):
    context.harness = harness = SchedulerHarness(4)
    workflow = harness.submit("job", Step(count=1, cpu=500, long_running=True))
    (task,) = workflow.tasks.values()
    context.box = harness.scheduler.state.boxes[task.box]
    harness.now += 1.5
    harness.scheduler.fleet.plan_poll(task.box, harness.now, 0.0)
    harness.poll(task.box)
    context.renewed_at = harness.now


@when("polls of its box fail for 1 s, {how}")
def polls_fail(context, how):
    harness, box = context.harness, context.box
    fleet = harness.scheduler.fleet
    sent = how == "without an answer"
    for _ in range(10):
        harness.now += 0.1
        fleet.plan_poll(
            box.incarnation,
            harness.now,
            None if how == "unsent, without a renewal" else 0.0,
        )
        if "a start" in how:
            fleet.leases.renew(box, harness.now, 0.0)
        outcome = BoxNoAnswer("lost", sent=sent)
        fleet.handle_poll_outcome(box.incarnation, harness.now, harness.now, outcome)


@then("its last lease counts as one that was renewed {when}")
def lease_counted_from(context, when):
    renewed_at = context.renewed_at if when == "before the failure" else None
    bound_s = SchedulerParameters().lease_bound_s
    expected = (renewed_at or context.harness.now) + bound_s
    assert abs(context.box.lease_ends - expected) < 0.01, context.box.lease_ends


@when(
    "a long-running task runs, and the entry of its box is {state}, though it keeps "
    "answering"
)
def entry_removed(context, state):
    world = context.world
    task = lasting_task(context)
    context.first_box = task.box
    entry = world.entries.pop(task.box)
    if state == "there, but can't be read":
        world.unreadable.add(entry.box_id)
    elif state == "removed and back after 2 seconds":
        world.advance(2.0)
        world.entries[task.box] = entry


@then("{seconds:g} seconds later the task runs on {where}")
def runs_on(context, seconds, where):
    world = context.world
    world.advance(seconds)
    (there,) = (name for name, box in world.boxes.items() if box.running)
    assert (there == context.first_box) == (where == "the box"), there


@when("boxes grant leases of up to {longest:g} s")
def leases_granted(context, longest):
    context.lease_s = granted_lease_s(longest)
    assert context.lease_s <= longest


@then("a task of a lost box runs again within {bound:g} s")
def runs_again_in_time(context, bound):
    context.world = world = ShardWorld(7, 6)
    # The first leader, and all that take over from it.
    world.parameters = SchedulerParameters(lease_s=context.lease_s, keep_s=600.0)
    for entry in list(world.entries):
        world.boxes[entry] = BoxModel(entry, context.lease_s)
    world.hand_over()
    world.advance(0.5)
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    runs_on_another(context, bound)


@when(
    "a step of 4 long-running tasks runs on as many boxes, and all their entries but one "
    "are removed, though the boxes keep answering"
)
def entries_removed(context):
    world = context.world
    step = Step(count=4, cpu=900, memory_mb=10, long_running=True, per_box=1)
    context.job = world.submit((step,))
    world.advance(4.0)
    context.boxes = [name for name, box in world.boxes.items() if box.running]
    assert len(context.boxes) == 4, context.boxes
    for name in context.boxes[1:]:
        del world.entries[name]
    for _ in range(3):
        world.add_box()


@then(
    "at least {least:d} of the tasks run at any time in the next {seconds:g} seconds, and "
    "all leave these boxes that have room elsewhere"
)
def tasks_leave_in_turn(context, least, seconds):
    world = context.world
    for _ in range(round(seconds / 0.05)):
        world.advance(0.05)
        running = sum(len(box.running) for box in world.boxes.values())
        assert running >= least, running
    assert not any(world.boxes[name].running for name in context.boxes[1:])


@when(
    "one long-running task runs on a box that only a leader without the store reaches, "
    "another's box is lost, and the successor hands over at once"
)
def island_and_lost_box(context):
    world = context.world
    step = Step(count=2, cpu=500, memory_mb=10, long_running=True, per_box=1)
    job = world.submit((step,))
    world.advance(4.0)
    tasks = world.leader.scheduler.state.workflows[job].tasks.values()
    context.kept, context.lost = (task.name for task in tasks)
    island, lost_box = (task.box for task in tasks)
    cut_off_with(context, island, {lost_box})
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.advance(0.3)
    world.cut_until[lost_box] = world.now + 1000.0
    context.since = world.now
    world.leader.resign()
    world.take_over()
    world.leader.cut_from.update(context.island)


@then(
    "the task of the lost box runs again within {seconds:g} seconds, and the other one "
    "no sooner than its leases end"
)
def lost_box_first(context, seconds):
    world = context.world
    while world.sent_starts[context.lost].at < context.since:
        world.advance(TICK_INTERVAL_S)
        assert world.now - context.since <= seconds, world.now - context.since
    # The world checks at each step that no task runs on two boxes.
    world.advance(10.0)
    assert world.sent_starts[context.kept].at > world.sent_starts[context.lost].at


@then("both tasks run again within {seconds:g} seconds")
def both_in_time(context, seconds):
    world = context.world
    while any(
        world.sent_starts[name].at < context.since
        for name in (context.kept, context.lost)
    ):
        world.advance(TICK_INTERVAL_S)
        assert world.now - context.since <= seconds, world.now - context.since
    world.advance(10.0)
