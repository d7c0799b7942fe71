"""Steps of the scenarios about leaders that follow each other."""

import random
import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle import events as ev
from granitetrestle.interfaces import Record
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.statedigest import DigestTracker
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.withdrawnleases import LEASE_KEY
from granitetrestle.withdrawnleases import WithdrawnLeases
from granitetrestle.withdrawnleases import decode_lease_left
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardworld import ShardWorld
from islands import cut_off_with
from islands import island_around
from lasting_task import lasting_task
from session_world import PARAMETERS
from session_world import LongPollStore
from session_world import SessionWorld

# A leader that is stopped has a quarter of the grace period, less a reserve.
RESIGN_TIMEOUT_S = 1.3


@when("a box with work can't be reached by the others")
def busy_box_unreachable(context):
    boxes = context.world.boxes
    context.busy = next(name for name, box in boxes.items() if box.running)
    for node in context.world.nodes.values():
        if node is not context.old_owner:
            node.cut_from.add(context.busy)
    context.chaos.advance(10.0)
    context.successor = owner_after(context)
    context.starts = len(context.world.ledger.starts)


def owner_after(context):
    successor = owner_among(context, context.old_owner)
    assert successor is not context.old_owner
    return successor


def owner_among(context, left_out):
    nodes = [n for n in context.world.nodes.values() if n.alive and n is not left_out]
    newest = max(nodes, key=lambda n: n.reducer.ownership.shards[0].epoch)
    return context.world.nodes[newest.reducer.ownership.shards[0].holder]


@when("its successor releases the shard in order")
def successor_releases(context):
    node = context.successor
    node.run(lambda: node.step(ev.StopRequested(node.mono)))
    context.chaos.advance(3.0)
    assert owner_after(context) is not node


@when("its successor is killed and started again")
def successor_killed(context):
    node = context.successor
    context.world.kill(node.name)
    context.chaos.advance(2.0)
    again = context.world.start_node("zurich", node.name)
    again.cut_from.add(context.busy)
    context.chaos.advance(6.0)


@then("no task starts a second time within {seconds:g} seconds")
def no_second_start(context, seconds):
    # The boxes' ledger refuses a start of a task that runs elsewhere.
    context.chaos.advance(seconds)
    assert len(context.world.ledger.starts) == context.starts


class SlowAppendStore(LongPollStore):
    """Takes a fixed time for each append."""

    append_s = 0.0

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`MemoryStore.append`."""
        await anyio.sleep(self.append_s)
        return await super().append(topic, records, writer, timeout_s)


@given("a store that takes {append_ms:d} ms for an append, and {boxes:d} boxes")
def slow_store(context, append_ms, boxes):
    store = SlowAppendStore(StoreModel())
    store.append_s = append_ms / 1000.0
    context.world = SessionWorld(store, boxes, context.folder)


@when("clients submit {rate:d} jobs a second, and the leader resigns")
def resign_under_load(context, rate):
    draw = random.Random(7)

    async def submit(session, number):
        job = f"{number:016x}"
        step = Step(count=1, cpu=500, memory_mb=10, estimate_ms=200)
        submission = Submission(job, "q", "pool", "s", (step,))
        await session.call(f"r{job}", SubmitJob(submission))

    async def submit_all(session, tasks):
        number, due = 0, time.monotonic()
        while True:
            while time.monotonic() > due:
                number += 1
                due += draw.expovariate(rate)
                tasks.start_soon(submit, session, number)
            await anyio.sleep(0.001)

    async def run():
        async with (
            context.world.session(1) as session,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(submit_all, session, tasks)
            await anyio.sleep(1.0)
            with anyio.move_on_after(RESIGN_TIMEOUT_S) as resigning:
                await session.resign()
            context.late = resigning.cancelled_caught
            tasks.cancel_scope.cancel()

    anyio.run(run)


@then("the store knows it within 1.3 seconds")
def resigned_in_time(context):
    assert not context.late, "the leader has not resigned in time"


@when("the leader is killed and started again at once, and leads")
def killed_and_leads_again(context):
    cluster = context.cluster
    killed = cluster.leader()
    cluster.kill(killed)
    cluster.restart(killed)
    cluster.wait(lambda: len(inherited(cluster, killed)) == 2, "the same leader")
    context.killed = killed


def inherited(cluster, node):
    return [x for x in cluster.log(node) if x["event"] == "leases_inherited"]


@then("it no longer waits for leases that its earlier incarnation may renew")
def own_end_known(context):
    first, second = inherited(context.cluster, context.killed)[:2]
    assert second["proof"] == "process ended", second
    assert second["wait_s"] < first["wait_s"] - 7.0, (first, second)


@when(
    "a long-running task runs, its box is lost, and leaders hand over {count:d} times, "
    "each {gap:g} s after it took over and before its first poll of the box has failed"
)
def hand_over_before_first_outcome(context, count, gap):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    world.hand_over()
    for _ in range(count):
        # Its poll waits for a connection, or for a turn.
        world.leader.polled_at[context.silent_box] = world.now + 1000.0
        world.advance(gap)
        world.hand_over()


@given("a shard that keeps ended jobs for {seconds:g} s")
def short_retention(context, seconds):
    world = context.world = ShardWorld(7, 4)
    world.parameters = world.parameters._replace(keep_s=seconds)
    world.hand_over()


@when("a job ends, and leaders hand over every {gap:g} s for {seconds:g} s")
def ended_amid_hand_overs(context, gap, seconds):
    world = context.world
    context.job = world.submit((Step(count=1, cpu=100, memory_mb=10),))
    world.advance(2.0)
    assert world.leader.scheduler.state.workflows[context.job].state == "completed"
    for _ in range(round(seconds / gap)):
        world.advance(gap)
        world.hand_over()


@then("the job is forgotten")
def job_forgotten(context):
    assert context.job not in context.world.leader.scheduler.state.workflows


@when(
    "a long-running task waits for room, and leaders hand over every {gap:g} s for "
    "{seconds:g} s"
)
def wait_amid_hand_overs(context, gap, seconds):
    world = context.world
    for incarnation, entry in world.entries.items():
        world.entries[incarnation] = entry._replace(cpu=0)
    world.advance(0.2)
    context.since = world.now
    context.job = world.submit(
        (Step(count=1, cpu=500, memory_mb=10, long_running=True),)
    )
    for _ in range(round(seconds / gap)):
        world.advance(gap)
        world.hand_over()


@then("the wait counts from when it began")
def wait_counted(context):
    world = context.world
    (entry,) = world.leader.scheduler.state.waiting.values()
    waited_s = world.now - entry.waits_since
    assert waited_s > world.now - context.since - 1.0, waited_s


@when(
    "a long-running task runs on a box that only a leader without the store reaches, "
    "and its successor resigns"
)
def successor_of_cut_off_leader_resigns(context):
    world = context.world
    context.task = lasting_task(context)
    cut_off_with(context, context.task.box)
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.advance(0.3)
    world.leader.resign()


@then("no record of that box is in the store")
def no_record(context):
    newest = context.world.store.newest(JOBS_TOPIC).records
    assert LEASE_KEY + context.task.box not in {record.key for record in newest}


@then("a record says that its leases end within {seconds:g} s")
def record_of_bound(context, seconds):
    newest = context.world.store.newest(JOBS_TOPIC).records
    key = LEASE_KEY + context.task.box
    (value,) = (record.value for record in newest if record.key == key)
    assert decode_lease_left(value) <= seconds, decode_lease_left(value)


@when(
    "a long-running task runs on a box that only the last leader reaches, without the "
    "store, and an earlier leader's process ends"
)
def earlier_process_ends(context):
    world = context.world
    context.task = lasting_task(context)
    earlier = world.leader.epoch
    world.kill()
    world.take_over()
    world.advance(1.0)
    cut_off_with(context, context.task.box)
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.leader.predecessor_ended(earlier)
    world.advance(20.0)


@when(
    "a long-running task runs, its box is lost, and no longer listed, the leader is "
    "killed, and successors hand over {count:d} times, each after {gap:g} s"
)
def quick_hand_overs(context, count, gap):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    del world.entries[task.box]
    world.kill()
    world.advance(0.5)
    world.take_over()
    world.advance(2.0)
    for _ in range(count):
        world.advance(gap)
        world.hand_over()


@given("a store in which a box has no lease left, beside records that are missing")
def records_missing(context):
    context.world = SessionWorld(LongPollStore(StoreModel()), 1, context.folder)
    withdrawn = WithdrawnLeases()
    withdrawn.withdraw("b0", 0.0, 0.0)
    records = DigestTracker([Record("x/missing", b"1")]).with_digest(
        withdrawn.pop_records()
    )
    context.world.store.model.append(JOBS_TOPIC, records, None)


@when("a process takes over there")
def take_over_there(context):
    async def run():
        async with context.world.session(1) as session:
            inherited = session.scheduler.fleet.leases.inherited
            context.waits_s = inherited.end("b0") - inherited.took_over_at

    anyio.run(run)


@then("it waits for a whole lease of that box")
def waits_whole_lease(context):
    assert context.world.lines("records_lost")
    assert context.waits_s >= PARAMETERS.lease_s, context.waits_s


@when(
    "a long-running task's box is silent, the leader is killed, the box answers the "
    "successor, and the leader's process is known to have ended"
)
def silent_then_back(context):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1.6
    world.advance(1.5)
    killed = world.leader.epoch
    world.kill()
    world.take_over()
    world.advance(0.6)
    context.box = world.leader.scheduler.state.boxes[task.box]
    context.lease_ends = context.box.lease_ends
    assert context.lease_ends > world.now + PARAMETERS.lease_s
    world.leader.predecessor_ended(killed)


@then("the lease that the successor renewed counts as before")
def lease_unchanged(context):
    assert context.box.lease_ends == context.lease_ends, context.box.lease_ends


@when("the leader is stopped in order")
def leader_stopped(context):
    cluster = context.cluster
    context.stopped = cluster.leader()
    cluster.processes[context.stopped].terminate()
    cluster.wait(lambda: cluster.leader() != context.stopped, "another leader")


@then("its successor counts on its resignation")
def resignation_counts(context):
    cluster = context.cluster
    newest = inherited(cluster, cluster.leader())[-1]
    assert newest["proof"] == "resigned", newest


@when(
    "a long-running task has run for {seconds:g} s, and {count:d} times the leader "
    "hands over, the task's box crashes {later:g} s later, and the task runs for "
    "another minute"
)
def crashes_after_hand_overs(context, seconds, count, later):
    world = context.world
    lasting_task(context)
    world.advance(seconds)
    for _ in range(count):
        world.hand_over()
        world.advance(later)
        tasks = world.leader.scheduler.state.workflows[context.job].tasks
        alive = sorted(name for name in world.entries if world.boxes[name].alive)
        boxes = {task.box for task in tasks.values()}
        for box in boxes:
            world.crash_box(alive.index(box))
        world.advance(60.0)


@then("its job has not failed")
def job_not_failed(context):
    workflow = context.world.leader.scheduler.state.workflows[context.job]
    assert workflow.state == "running", workflow.state


@given("a shard whose boxes grant 10 s, and a leader that grants as much")
def boxes_grant_longer(context):
    world = context.world = ShardWorld(7, 6)
    world.parameters = world.parameters._replace(
        lease_s=10.0, max_lease_s=10.0, orphan_s=8.0
    )
    for box in world.boxes.values():
        box._hold_max_s = 10.0
    world.hand_over()


@when("a long-running task runs, a leader that grants 6 s takes over, and {what}")
def shorter_leases(context, what):
    world = context.world
    box = lasting_task(context).box
    world.parameters = world.parameters._replace(lease_s=6.0)
    older = world.leader
    world.take_over()
    if what == "the box is cut off once it has answered that one":
        world.advance(0.1)
        world.cut_until[box] = world.now + 1000.0
    else:
        older.without_store = True
        island = island_around(context, box)
        older.cut_from.update(world.entries.keys() - island)
        world.leader.cut_from.update(island)
    world.advance(40.0)


@when(
    "a long-running task runs on an unlisted box that only a leader without the store "
    "reaches, and its successor hands over at once"
)
def unlisted_and_renewed(context):
    world = context.world
    box = lasting_task(context).box
    cut_off_with(context, box)
    del world.entries[box]
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.advance(0.3)
    world.hand_over()
    world.leader.cut_from.update(context.island)
    world.advance(20.0)
