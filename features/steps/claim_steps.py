"""Steps of the scenarios about processes that claim an epoch and write nothing."""

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.interfaces import Record
from granitetrestle.statedigest import EPOCH_CLAIM_KEY
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.statedigest import LeaderMark
from granitetrestle.statedigest import claims_to_read
from granitetrestle.statedigest import read_leader_mark
from granitetrestle_standins.nativestore import StoreModel
from lasting_task import lasting_task

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
    mark = LeaderMark(1, 1, False, 0.0, 6.48)
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
    "a long-running task runs, its box is reached by a new leader alone that can't write"
)
def new_leader_without_store(context):
    world = context.world
    context.task = lasting_task(context)
    world.kill()
    world.take_over()
    world.leader.without_store = True
    context._lease_end_s = world.boxes[context.task.box]._lease_end_s
    world.advance(2.0)


@then("the task's lease is not renewed")
def not_renewed(context):
    box = context.world.boxes[context.task.box]
    assert box._lease_end_s == context._lease_end_s
