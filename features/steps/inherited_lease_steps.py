"""Steps of the scenarios about leases that earlier leaders granted."""

import time

import anyio
import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.handover import ask_to_take_over
from granitetrestle.interfaces import Record
from granitetrestle.leaderprocesses import LeaderProcesses
from granitetrestle.messages import LeaderResigned
from granitetrestle.messages import Member
from granitetrestle.messages import NodeStatus
from granitetrestle.registry import LeaderEntry
from granitetrestle.statedigest import DIGEST_BYTES
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.statedigest import LeaderMark
from granitetrestle.statedigest import read_leader_mark
from granitetrestle.workflows import Step
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.nativestore import StoreModel
from islands import cut_off_with
from lasting_task import lasting_task

TOPIC = "keyed.jobs"
# How long a leader goes on after it has resigned, so that renewals would be seen.
IDLE_S = 0.5


class OldDigest(msgspec.Struct, frozen=True, array_like=True):
    """The digest as older versions read and write it."""

    keys: int
    total: int


class DigestWithoutNames(OldDigest, frozen=True, array_like=True):
    """The digest and the mark as versions without names of boxes read them."""

    epoch: int = 0
    end: int = 0
    resigned: bool = False
    inherited_ms: int = 0
    lease_ms: int = 0


def claim_epoch(store, epoch):
    appended = store.append(TOPIC, [EpochClaim.record(epoch, f"life-{epoch}")], None)
    return EpochClaim(epoch, f"life-{epoch}", appended.end)


@given("a leader that has stated that it has resigned")
def resigned_leader(context):
    context.store = StoreModel()
    claim = claim_epoch(context.store, 1)
    mark = LeaderMark(1, claim.end + 2, True, 0.0, 1.0)
    records = DigestTracker().with_digest([Record("k", b"v")], mark)
    context.store.append(TOPIC, records, None)


@given(
    "a leader that has stated that leases of {inherited_s:g} s may run on {boxes:d} "
    "boxes, with names of {size:d} bytes"
)
def leader_of_named_boxes(context, inherited_s, boxes, size):
    context.store = StoreModel()
    claim = claim_epoch(context.store, 1)
    context.named = {f"{number:0{size}d}": inherited_s for number in range(boxes)}
    mark = LeaderMark(1, claim.end + 2, False, inherited_s, 1.0, context.named)
    records = DigestTracker().with_digest([Record("k", b"v")], mark)
    digest = records[-1]
    assert len(digest.key) + len(digest.value) + 8 <= DIGEST_BYTES
    context.store.append(TOPIC, records, None)


@then("it reads {what}, and a bound of {inherited_s:g} s")
def names_read(context, what, inherited_s):
    named = None if what == "nothing of them" else context.named
    assert context.mark.inherited_s_of == named, context.mark
    assert context.mark.inherited_s == inherited_s, context.mark


@then("a version that knows no names reads the same bound")
def bound_read_without_names(context):
    newest = context.store.newest(TOPIC).records
    (value,) = (record.value for record in newest if record.key == DIGEST_KEY)
    digest = msgspec.msgpack.decode(value, type=DigestWithoutNames)
    assert digest.inherited_ms == context.mark.inherited_s * 1000.0, digest
    assert digest.lease_ms == context.mark.lease_bound_s * 1000.0, digest


@when("nothing else was written, and a successor reads the records")
def read_at_once(context):
    read_records(context)


@when("another process has claimed an epoch, and a successor reads the records")
def read_after_claim(context):
    claim_epoch(context.store, 2)
    read_records(context)


@when("a leader of an older version has written, and a successor reads the records")
def read_after_older_version(context):
    claim_epoch(context.store, 2)
    digest = DigestTracker([Record("k", b"v")]).digest
    value = msgspec.msgpack.encode(OldDigest(digest.keys, digest.total))
    context.store.append(TOPIC, [Record(DIGEST_KEY, value)], None)
    read_records(context)


def read_records(context):
    claim = claim_epoch(context.store, 3)
    context.mark = read_leader_mark(context.store.newest(TOPIC).records, claim)


@then("it relies on the statement")
def mark_counts(context):
    assert context.mark is not None and context.mark.resigned, context.mark


@then("it does not take the statement")
def mark_does_not_count(context):
    assert context.mark is None, context.mark


@then("a digest of two numbers is read from its records")
def old_digest_read(context):
    newest = context.store.newest(TOPIC).records
    (value,) = (record.value for record in newest if record.key == DIGEST_KEY)
    digest = msgspec.msgpack.decode(value, type=OldDigest)
    expected = DigestTracker([Record("k", b"v")]).digest
    assert (digest.keys, digest.total) == (expected.keys, expected.total), digest


@when("a long-running task runs, and the leader resigns")
def resign_with_start_waiting(context):
    world = context.world
    context.task = lasting_task(context)
    world.store_down = True
    context.waiting_job = world.submit((Step(count=1, cpu=100, memory_mb=10),))
    world.advance(0.2)
    world.leader.scheduler.resign(world.now)


@then("its polls renew no lease, and a start that waits is not sent")
def no_lease(context):
    world = context.world
    fleet = world.leader.scheduler.fleet
    for incarnation in world.entries:
        assert fleet.plan_poll(incarnation, world.now, 0.0).lease_ends_ms is None
        box = world.leader.scheduler.state.boxes[incarnation]
        assert fleet.leases.renew(box, world.now, 0.0) is None


@when(
    "a long-running task runs, its box is lost, {listed}, the leader is killed, and "
    "successors hand over {count:d} times"
)
def killed_and_handed_over(context, listed, count):
    world = context.world
    lose_box(context, listed)
    world.kill()
    world.advance(0.5)
    world.take_over()
    for _ in range(count):
        world.advance(0.8)
        world.hand_over()


@when(
    "a long-running task runs, the leader is killed, and its box is lost just as the "
    "successor hands over to one that {fate}"
)
def lost_at_hand_over(context, fate):
    world = context.world
    task = lasting_task(context)
    world.kill()
    world.take_over()
    world.advance(0.3)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    world.hand_over()
    if fate != "goes on":
        world.advance(0.3)
        world.kill()
        world.take_over()


@when(
    "a long-running task runs, its box is lost, {listed}, and {count:d} leaders are "
    "killed, each a second after it took over"
)
def killed_in_series(context, listed, count):
    world = context.world
    lose_box(context, listed)
    world.advance(1.6)
    for _ in range(count):
        world.kill()
        world.take_over()
        world.advance(1.0)


def lose_box(context, listed):
    world = context.world
    task = lasting_task(context)
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    if listed != "still listed":
        del world.entries[task.box]


@when(
    "a long-running task runs on a box that only a leader without the store reaches, "
    "and its successor hands over at once"
)
def cut_off_leader_renews(context):
    world = context.world
    context.task = lasting_task(context)
    cut_off_with(context, context.task.box)
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.advance(0.3)
    world.hand_over()
    world.leader.cut_from.update(context.island)
    world.advance(20.0)


@when("a leader runs a job, resigns, and another process takes over")
def resign_and_take_over(context):
    async def run():
        world = context.world
        async with world.session(1) as session:
            await world.run_job(session, 2)
            await session.resign()
            context.renewals = world.boxes.renewals
            await anyio.sleep(IDLE_S)
            assert world.boxes.renewals == context.renewals
        async with world.session(2):
            pass

    anyio.run(run)


@then(
    "the predecessor has renewed no lease since, and its successor goes on with its wait"
)
def resignation_in_log(context):
    first, second = context.world.lines("leases_inherited")
    assert first["proof"] == "none", first
    assert second["proof"] == "resigned", second
    assert second["wait_s"] <= first["wait_s"] - IDLE_S, (first, second)


def status(node="n1", address="10.0.0.1:1", epoch=7, leader="n1"):
    return NodeStatus(node, address, "h", epoch, leader, True, True, 1.0)


@given("a process that has reported as the leader of epoch 7")
def leader_reported(context):
    context.processes = LeaderProcesses(Member("n9", "10.0.0.9:1", "h"), "only")
    assert context.processes.record_report(status(), "second") == []


@given("a process that is registered as the leader of epoch 7")
def leader_registered(context):
    context.processes = LeaderProcesses(Member("n9", "10.0.0.9:1", "h"), "only")
    entry = LeaderEntry(7, "n1", 1, "second", "10.0.0.1:1")
    context.processes.record_registry(entry)


@given("a process that an older version registered as the leader of epoch 7")
def leader_registered_by_older_version(context):
    context.processes = LeaderProcesses(Member("n9", "10.0.0.9:1", "h"), "only")
    context.processes.record_registry(LeaderEntry(7, "n1", 1))


REPORTS = {
    "its next incarnation at its address": (status(leader=""), "third"),
    "the process itself": (status(leader=""), "second"),
    "an earlier incarnation whose report arrives late": (status(epoch=6), "first"),
    "another incarnation of its name at another address": (
        status(address="10.0.0.2:1", leader=""),
        "third",
    ),
    "another process": (status(node="n2"), "third"),
}


@when("a report arrives of {what}")
def process_reports(context, what):
    context.processes.record_report(*REPORTS[what])


@then("the leader's process counts as ended")
def process_ended(context):
    assert list(context.processes.ended_epochs) == [7]


@then("the leader's process may still run")
def process_may_run(context):
    assert not context.processes.ended_epochs


@when(
    "a long-running task runs, its box is lost, {listed}, the leader is killed, and its "
    "process is known to have ended 1 s later"
)
def killed_leader_ended(context, listed):
    world = context.world
    lose_box(context, listed)
    killed = world.leader.epoch
    world.kill()
    world.advance(0.5)
    world.take_over()
    world.advance(0.5)
    world.leader.predecessor_ended(killed)


@when(
    "a long-running task runs on a box that only a leader without the store reaches, "
    "and the process of its successor ends"
)
def successor_of_cut_off_leader_ends(context):
    world = context.world
    context.task = lasting_task(context)
    cut_off_with(context, context.task.box)
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.advance(0.3)
    ended = world.leader.epoch
    world.kill()
    world.take_over()
    world.leader.cut_from.update(context.island)
    world.leader.predecessor_ended(ended)
    world.advance(20.0)


@given("{nodes:d} real processes and {boxes:d} boxes")
def real_processes(context, nodes, boxes):
    context.cluster = NativeCluster(context.folder, nodes, boxes)
    context.cluster.ready()


@when("the leader is killed and started again")
def kill_leader(context):
    cluster = context.cluster
    context.killed = cluster.leader()
    cluster.kill(context.killed)
    cluster.wait(lambda: cluster.leader() != context.killed, "another leader")
    cluster.restart(context.killed)


@then("its successor no longer waits for leases that it may renew")
def process_end_heard(context):
    cluster = context.cluster

    def proofs():
        lines = cluster.log(cluster.leader())
        return [line["proof"] for line in lines if line["event"] == "leases_inherited"]

    cluster.wait(lambda: proofs()[-1:] == ["process ended"], "proof of the end")


class Candidates:
    """Two processes; each is ready, and can be reached, from some time on."""

    def __init__(self, ready_s, reached_s):
        self._ready_s = dict(zip(("the first", "the second"), ready_s, strict=True))
        self._reached_s = dict(zip(self._ready_s, reached_s, strict=True))
        self._began = time.monotonic()
        self.asked = []

    def _after(self, times):
        passed_s = time.monotonic() - self._began
        return [name for name, from_s in times.items() if from_s <= passed_s]

    def ready(self):
        return self._after(self._ready_s)

    def others(self):
        return list(self._ready_s)

    def send(self, node, message):
        assert message == LeaderResigned(7)
        if node not in self._after(self._reached_s):
            return False
        self.asked.append(node)
        return True


NEVER_S = 60.0
CANDIDATES = {
    "are ready to": ((0.0, 0.0), (0.0, 0.0)),
    "are ready to, of which one can't be reached, to": ((0.0, 0.0), (NEVER_S, 0.0)),
    "can be reached 0.2 s later, to": ((0.0, 0.0), (0.2, NEVER_S)),
    "stop, but for one that is ready 0.2 s later, to": ((NEVER_S, 0.2), (0.0, 0.0)),
    "are not ready to": ((NEVER_S, NEVER_S), (0.0, 0.0)),
    "are ready 0.6 s before they can be reached, to": ((0.0, NEVER_S), (0.6, 0.0)),
    "can never be reached, to": ((0.0, 0.0), (NEVER_S, NEVER_S)),
}


@given("processes that {can} take over")
def candidates(context, can):
    context.candidates = Candidates(*CANDIDATES[can])


@when("a leader that has resigned asks one of them")
def ask_candidates(context):
    given_ones = context.candidates
    started = time.monotonic()
    context.asked = anyio.run(
        ask_to_take_over, given_ones.send, given_ones.ready, given_ones.others, 7
    )
    context.took_s = time.monotonic() - started


@then("{whom} is asked within {bound:g} s")
def asked_in_time(context, whom, bound):
    expected = [] if whom == "nobody" else [whom]
    assert context.candidates.asked == expected, context.candidates.asked
    assert context.asked == "".join(expected), context.asked
    assert context.took_s <= bound, context.took_s


@when(
    "the progress of a job can't be read by a leader, which has reached all boxes and "
    "resigns"
)
def unreadable_job(context):
    world = context.world
    lasting_task(context)
    keys = [record.key for record in world.store.newest(TOPIC).records]
    (key,) = (key for key in keys if key.startswith(f"t/{context.job}/"))
    world.leader.stopped = True
    digest = DigestTracker(world.store.newest(TOPIC).records)
    world.store.append(TOPIC, digest.with_digest([Record(key, b"?")]), None)
    world.take_over()
    world.advance(0.5)
    context.wait_ends = world.leader.scheduler.fleet.leases.inherited.latest_end
    world.hand_over()


@then("its successor waits for as long as the leaders before it may have left")
def waits_as_long(context):
    inherited = context.world.leader.scheduler.fleet.leases.inherited
    assert inherited.proof == "resigned"
    assert inherited.latest_end >= context.wait_ends, inherited.latest_end
