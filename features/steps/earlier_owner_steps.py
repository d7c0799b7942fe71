"""Steps of the scenarios about owners of a shard before the last one."""

import zlib

import msgspec
from behave import then
from behave import when
from fake_steps import choice_of
from fake_steps import owner

from granitetrestle import events as ev
from granitetrestle.records import Batch
from granitetrestle.reducer import hall_stream
from granitetrestle.snapshot import encode_state
from granitetrestle.snapshot import snapshot_stream
from granitetrestle.snapshot import split_snapshot

STREAM = hall_stream("zurich")


@when("every box has answered the next owner")
def all_boxes_answered(context):
    def answered():
        owned = owner_after(context)
        return owned is not None and owned.listed and not owned.unreconciled

    context.world.advance_until(answered, 5.0)


def owner_after(context):
    """Return the books of the owner after the one that was cut off, if there is one."""
    shards = [
        n.reducer.owner.placement.owned_shards.get(0)
        for n in context.world.nodes.values()
        if n is not context.old_owner
    ]
    return next((owned for owned in shards if owned is not None), None)


def in_older_format(payload):
    """Return a snapshot as versions write it that know of no earlier owners."""
    state = msgspec.msgpack.decode(zlib.decompress(payload), strict=False)
    for shard in state["shards"].values():
        del shard["earlier_owners"]
    return zlib.compress(msgspec.msgpack.encode(state), 1)


@when("the others start again from a snapshot of {whose} version")
def restart_from_snapshot(context, whose):
    world = context.world
    reducer = context.successor.reducer
    upto = reducer.offsets[STREAM] - 1
    payload = encode_state(reducer.state_of(STREAM))
    if whose == "an older":
        payload = in_older_format(payload)
    chunks = split_snapshot(upto, payload)
    world.append(snapshot_stream(STREAM), Batch("snapshot", 1, chunks))
    others = [n.name for n in world.nodes.values() if n is not context.old_owner]
    for name in others:
        world.kill(name)
    # All records that the snapshot covers are gone.
    world.log.expire(STREAM, world.log.next(STREAM) - 1 - upto)
    assert world.log.first(STREAM) == upto + 1
    for name in others:
        world.start_node("zurich", name).cut_from.add(context.busy)
    context.chaos.advance(6.0)
    epoch = max(world.nodes[n].reducer.ownership.shards[0].epoch for n in others)
    assert epoch > upto, "the shard has no new owner"


@when("the owner and another process are cut from the log and from the others")
def two_cut_off(context):
    nodes = context.world.nodes
    context.old_owner = owner(context)
    # The last one by name neither appends heartbeats nor is a successor soon.
    other = max((n for n in nodes.values() if n is not context.old_owner), key=_name)
    context.cut_off = [context.old_owner, other]
    for node in context.cut_off:
        node.cut_from_log = True
        node.cut_from |= set(nodes) - {n.name for n in context.cut_off}
    context.chaos.advance(10.0)
    context.successor = owner_of_the_rest(context)


def _name(node):
    return node.name


def owner_of_the_rest(context):
    rest = [n for n in context.world.nodes.values() if n not in context.cut_off]
    newest = max(rest, key=lambda n: n.reducer.ownership.shards[0].epoch)
    holder = context.world.nodes[newest.reducer.ownership.shards[0].holder]
    assert holder in rest
    return holder


@then("no endpoint is lent beyond its slots within {seconds:g} seconds")
def not_lent_twice(context, seconds):
    nodes = context.world.nodes.values()
    end = context.world.now + seconds
    seen = set()
    while context.world.now < end:
        context.chaos.advance(0.25)
        lent = {}
        for node in nodes:
            for name, borrowed in node.reducer.borrower.endpoints.items():
                if node.mono < borrowed.until and borrowed.loan.slots:
                    lent.setdefault(name, {})[node.name] = borrowed.loan.slots
        for name, by_node in lent.items():
            assert sum(by_node.values()) <= 4, f"{name} is lent to {by_node}"
            seen |= by_node.keys()
    assert {n.name for n in context.cut_off} <= seen, "the old owner's loans ended"


@when("the owner releases the shard in order")
def owner_releases(context):
    node = owner(context)
    node.run(lambda: node.step(ev.StopRequested(node.mono)))
    context.chaos.advance(2.0)
    assert owner(context) is not node


@when("the owner is killed and started again")
def owner_restarted(context):
    node = owner(context)
    context.chaos.kill(choice_of(context, node.name))
    context.chaos.advance(5.0)
    assert owner(context).reducer.owner.placement.owned_shards


@when("the owner is cut off, comes back, and owns")
def owner_comes_back(context):
    first = owner(context)
    first.cut_from_log = True
    first.cut_from |= set(context.world.nodes)
    context.chaos.advance(5.0)
    context.chaos.heal()
    context.chaos.advance(1.0)
    assert owner(context) is not first
    for _ in range(2):
        if owner(context) is not first:
            owner_releases(context)
    assert owner(context) is first


@when("a box with work crashes, and the next owner releases the shard in order")
def crash_then_release(context):
    boxes = context.world.boxes
    name = next(name for name, box in boxes.items() if box.running)
    context.lost = boxes[name].running[0].command.task
    boxes[name].fail()
    owner_releases(context)


@then("the lost task starts elsewhere within {seconds:g} seconds")
def lost_task_starts(context, seconds):
    running = context.world.ledger.running
    context.world.advance_until(lambda: context.lost in running, seconds)
