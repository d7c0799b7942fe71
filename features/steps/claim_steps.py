"""Steps of the scenarios about processes that claim an epoch and write nothing."""

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.inheritedleases import InheritedLeases
from granitetrestle.interfaces import Record
from granitetrestle.statedigest import EPOCH_CLAIM_KEY
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.statedigest import LeaderMark
from granitetrestle.statedigest import claims_to_read
from granitetrestle.statedigest import read_leader_mark
from granitetrestle_standins.nativestore import StoreModel
from lasting_task import lasting_task
from random_losses import LONG_DURATIONS

TOPIC = "keyed.jobs"


@when("it is killed at once, and another one takes over")
def killed_before_append(context):
    world = context.world
    assert world.leader.sequence == 1
    world.kill()
    world.advance(0.9)
    world.take_over()
    world.leader.cut_from |= context.island


@when("another one takes over at once")
def rival_takes_over(context):
    context.world.take_over()
    context.world.leader.cut_from |= context.island


@given("a topic with the mark of epoch 1, then {records}, then the claim of epoch 9")
def topic_with_mark(context, records):
    store = context.store = StoreModel()
    mark = LeaderMark(1, 1, True, 0.0, 6.48, {}, 3, True)
    store.append(TOPIC, DigestTracker().with_digest((), mark), None)
    for epoch in (5, 6):
        if f"{epoch}" in records.split(", which")[0].split(", and")[0]:
            claim = EpochClaim.record(epoch, f"life-{epoch}")
            if f"{epoch} by an older version" in records:
                value = msgspec.msgpack.encode((epoch, f"life-{epoch}"))
                claim = Record(EPOCH_CLAIM_KEY, value)
            store.append(TOPIC, (claim,), None)
    if records.endswith("and a record"):
        store.append(TOPIC, (Record("t/job", b"x"),), None)
    appended = store.append(TOPIC, (EpochClaim.record(9, "life-9"),), None)
    known = 7 if "7 is known" in records else 1
    context.claim = EpochClaim(9, "life-9", appended.end, known)
    context.unread = "not read" in records


@then("the mark of epoch 1 is {verdict}")
def mark_is(context, verdict):
    store, claim = context.store, context.claim
    newest = store.newest(TOPIC).records
    start = claims_to_read(newest, claim)
    later = ()
    if start is not None and not context.unread:
        later = store.read(TOPIC, start).records
    mark = read_leader_mark(newest, claim, later)
    assert (mark is not None and mark.epoch == 1) == (verdict == "proved"), mark


@when(
    "a long-running task runs, and a new leader that can't write reaches its box alone"
)
def new_leader_without_store(context):
    world = context.world
    context.task = lasting_task(context)
    world.kill()
    world.take_over()
    world.leader.without_store = True
    world.leader.cut_from |= world.entries.keys() - {context.task.box}
    context._lease_end_s = world.boxes[context.task.box]._lease_end_s
    world.advance(2.0)


@then("the task's lease is not renewed")
def not_renewed(context):
    box = context.world.boxes[context.task.box]
    assert box._lease_end_s == context._lease_end_s


@when(
    "a long-running task runs, and the store is away for {seconds:g} s after a take-over"
)
def store_away_after_claim(context, seconds):
    world = context.world
    context.task = lasting_task(context)
    world.take_over()
    world.store_down = True
    world.advance(seconds)
    world.store_down = False
    world.advance(5.0)


@when("the process of epoch 9 takes over")
def epoch_9_takes_over(context):
    newest = context.store.newest(TOPIC).records
    start = claims_to_read(newest, context.claim)
    later = context.store.read(TOPIC, start).records
    inherited = context.inherited = InheritedLeases(LONG_DURATIONS, 100.0)
    inherited.record_predecessor(read_leader_mark(newest, context.claim, later))


@then("it waits for 8 s and a lease, whatever is proved of the process of epoch 1")
def waits_for_both(context):
    inherited = context.inherited
    assert not inherited.record_process_end(1, 100.5)
    assert inherited.proof == "none"
    wait_s = LONG_DURATIONS.orphan_s + LONG_DURATIONS.lease_bound_s
    assert abs(inherited.latest_end - 100.0 - wait_s) < 0.01, inherited.latest_end
    # But for the witnesses, which limit both.
    assert inherited.record_witnesses(3, 101.0)
    assert abs(inherited.latest_end - 101.0 - LONG_DURATIONS.lease_bound_s) < 0.01
