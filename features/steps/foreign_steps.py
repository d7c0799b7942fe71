"""Steps for invalid records by other writers, and for invalid requests."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import hypothesis.strategies as st
from behave import then
from behave import when
from hypothesis import HealthCheck
from hypothesis import given as drawn
from hypothesis import settings

from granitetrestle.calls import Reply
from granitetrestle.decisions import StartPolling
from granitetrestle.errors import InvalidInput
from granitetrestle.feeds import BoxFeed
from granitetrestle.feeds import Sources
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import NewestRecords
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import QueueIndex
from granitetrestle.platform.front import decode_call
from granitetrestle.platform.store import PlatformStore
from granitetrestle.registry import LeaderEntry
from granitetrestle.registry import NodeEntry
from granitetrestle.registry import Registry
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardworld import CONFIG

VALID_FIELDS = {
    "service": "pool",
    "address": "127.0.0.1:80",
    "zone": "h",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 8000},
    "labels": ["kind", "rack"],
}


def entry(**changes):
    fields = {k: v for k, v in {**VALID_FIELDS, **changes}.items() if v is not None}
    return json.dumps(fields).encode()


INVALID_ENTRIES = {
    "that is not Unicode text": b"\xff\xfe\x00\x80",
    "that is truncated": entry()[:20],
    "that is not a JSON object": b"[1, 2]",
    "without an address": entry(address=None),
    "with a malformed address": entry(address="x"),
    "with a port out of range": entry(address="10.0.0.1:999999"),
    "with a host name as address": entry(address="box.example:80"),
    "in an unknown state": entry(state="resting"),
    "with negative capacity": entry(capacity={"cpu": -1}),
    "with capacity above the limit": entry(capacity={"cpu": 10**30}),
    "with labels that are not strings": entry(labels=[1, None]),
    "of an unknown service": entry(service="elsewhere"),
}


class EventRecorder:
    def __init__(self):
        self.events = []

    def event(self, event, /, **fields):
        self.events.append((event, fields))


class ListedBoxes:
    """A leader's list of boxes, fed with records."""

    def __init__(self):
        self.scheduler = Scheduler(SchedulerParameters(), time.monotonic())
        self.scheduler.apply_config(CONFIG)
        self.log = EventRecorder()
        self.polled = []
        sources = Sources(None, None, "", "", None, decode_entry)
        self.feed = BoxFeed(sources, self.scheduler, self.apply, self.log)

    def apply(self, decisions):
        self.polled += [d.incarnation for d in decisions if isinstance(d, StartPolling)]

    def load(self, *records):
        self.feed.load(NewestRecords(records, 0))

    def update(self, *records):
        self.feed._apply_records(records)

    def usable(self):
        boxes = self.scheduler.state.boxes
        return sorted(incarnation for incarnation, box in boxes.items() if box.listed)


@when("the list of boxes holds a valid entry and one {what}")
def invalid_entry_listed(context, what):
    context.listed = listed = ListedBoxes()
    invalid = Record("foreign", INVALID_ENTRIES[what])
    listed.load(Record("sound", entry()), invalid)
    for _ in range(3):
        listed.update(invalid)


@when(
    "the list of boxes holds two valid entries, and one is overwritten with bytes that "
    "are not Unicode text"
)
def entry_overwritten(context):
    context.listed = listed = ListedBoxes()
    listed.load(
        Record("sound", entry()), Record("foreign", entry(address="127.0.0.2:80"))
    )
    assert listed.usable() == ["foreign", "sound"]
    for _ in range(3):
        listed.update(Record("foreign", b"\xff\xfe"))


@then("only the valid one is used, and the other is logged once, with its key")
def only_valid_used(context):
    listed = context.listed
    assert listed.usable() == ["sound"], listed.usable()
    reported = [
        fields for event, fields in listed.log.events if event == "box_malformed"
    ]
    assert [fields["box"] for fields in reported] == ["foreign"], listed.log.events


@then("once it is valid again it is used again")
def used_again(context):
    listed = context.listed
    listed.update(Record("foreign", entry(address="127.0.0.2:80")))
    assert listed.usable() == ["foreign", "sound"]


@when("the entries of processes hold a valid one, and invalid ones by another writer")
def process_entries(context):
    store = MemoryStore(StoreModel())
    registry = Registry(store)

    async def fill():
        await registry.register("n1", NodeEntry("127.0.0.1:7000", "h", 1.0))
        invalid = [b"\xff", b"\xc1", b"\x93\x01\x02\x03", b"text", b"\x91\xa1x"]
        records = [Record(f"node/f{i}", value) for i, value in enumerate(invalid)]
        records.append(Record("leader", b"\xc1"))
        records.append(Record("something", b"\xc1"))
        await store.append("keyed.nodes", records, None, 1.0)
        return await registry.read()

    context.registered = asyncio.run(fill())


@then("the valid one is read, and the keys of the others are reported")
def valid_process_read(context):
    registered = context.registered
    assert sorted(registered.nodes) == ["n1"], registered
    assert registered.leader == LeaderEntry(), registered
    assert sorted(registered.unreadable) == [
        "leader",
        *(f"node/f{i}" for i in range(5)),
    ]


def record(key, value):
    length = 1 + len(key) + len(value)
    return struct.pack(">IB", length, len(key)) + key + value


class OneReply:
    def __init__(self, body):
        self._body = body

    async def call(self, *_, **__):
        return Reply(200, (), self._body)


@when(
    "the store answers with a record whose key is not Unicode text, before a valid one"
)
def key_not_utf8(context):
    body = bytes(16) + record(b"\xff\xfe", b"1") + record(b"sound", b"2")
    store = PlatformStore("127.0.0.1:1", OneReply(body))
    context.read = asyncio.run(store.read("keyed.servers", 5, 0.0))


@then("the valid one is read")
def valid_record_read(context):
    assert isinstance(context.read, Records), context.read
    assert context.read.end == 7
    assert context.read.records[-1] == Record("sound", b"2"), context.read


NUMBERS = st.one_of(
    st.integers(-2, 5),
    st.sampled_from([2**31, 2**53, 2**63, 2**64, 10**30, 1e300, 0.5, -(2**70)]),
)
STEP = st.fixed_dictionaries(
    {"count": st.one_of(st.integers(1, 3), NUMBERS)},
    optional={
        **{
            name: NUMBERS
            for name in (
                *("cpu", "mem_mb", "gpu", "estimate_ms"),
                *("anti_affinity", "target_ms", "may_miss"),
            )
        },
        "depends_on": st.lists(NUMBERS, max_size=2),
        "image": st.text(max_size=3),
        "affinity": st.text(max_size=3),
        "requirements": st.text(max_size=3),
        **{
            name: st.booleans()
            for name in (
                *("gang", "fills", "long_running"),
                *("checkpointing", "speculative", "rack_local"),
            )
        },
    },
)
JOB = st.fixed_dictionaries(
    {"steps": st.lists(STEP, min_size=1, max_size=3)},
    optional={
        "spec": st.text(max_size=5),
        **{name: NUMBERS for name in ("repeat_count", "start_at_ms", "interval_ms")},
    },
)


def is_accepted(body):
    """Submit a job, and restore a successor from the records that are written.

    :returns: ``False`` if the job is rejected as malformed.
    """
    try:
        call = decode_call(QueueIndex(CONFIG), "POST", "host", f"/q/{'a' * 16}", body)
    except InvalidInput:
        return False
    now, records = 100.0, []
    for _ in range(2):
        scheduler = Scheduler(SchedulerParameters(), now)
        scheduler.apply_config(CONFIG)
        scheduler.restore(records, now)
        box = BoxEntry(
            "b", "a", "pool", "h", "r", frozenset(), 4000, 8000, 0, False, None
        )
        scheduler.evacuation.replace_directives([], (), now)
        scheduler.evacuation.record_read(now)
        scheduler.fleet.update_boxes({"b": box}, now)
        scheduler.fleet.handle_poll_outcome("b", now, now, PollResult(1000, (), ()))
        scheduler.handle_call("r", call, now)
        for turn in range(5):
            scheduler.decide(now + turn * 0.1, 1000 + turn)
        records += scheduler.take_writes()
        now += 1.0
    return True


@then(
    "of {count:d} random jobs each is rejected as malformed, or a successor continues "
    "with it"
)
def random_jobs(context, count):
    accepted = []

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @drawn(JOB)
    def submit_job(job):
        accepted.append(is_accepted(json.dumps(job).encode()))

    submit_job()
    assert 20 < sum(accepted) < len(accepted) - 20, (sum(accepted), len(accepted))


@when(
    "another writer fills the list of boxes, and a client submits numbers that are too "
    "large"
)
def invalid_input_everywhere(context):
    cluster = context.cluster
    context.leader = cluster.leader()
    for number, value in enumerate(INVALID_ENTRIES.values()):
        encoded = urllib.parse.quote(base64.b64encode(value))
        cluster.store(f"/test/write?topic=keyed.servers&key=f{number}&value={encoded}")
    statuses = set()
    for name in cluster.nodes():
        body = {"spec": "1", "steps": [{"count": 1, "cpu": 10**30}]}
        answer = cluster.call("POST", cluster.fronts[name], f"/jobs/{'b' * 16}", body)
        statuses.add(answer.status)
    assert statuses == {400}, statuses
    time.sleep(1.5)


@then("the leader is still the same, and a job completes")
def leader_stays(context):
    cluster = context.cluster
    job = "00000000000000f1"
    cluster.submit(job, [{"count": 2, "cpu": 1000, "mem_mb": 100}])
    cluster.wait(lambda: cluster.state(job) == "completed", job)
    takeovers = [
        line
        for name in cluster.nodes()
        for line in cluster.log(name)
        if line["event"] == "took_over"
    ]
    assert len(takeovers) == 1 and cluster.leader() == context.leader, takeovers
