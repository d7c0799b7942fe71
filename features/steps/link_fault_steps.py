"""Steps of the scenarios over links that are disturbed."""

import asyncio
import base64
import collections
import contextlib
import json
import pathlib
import signal
import socket
import struct
import time
import unittest.mock

import msgspec
from behave import given
from behave import then
from behave import when

from granitetrestle.messages import CallForwarded
from granitetrestle.messages import Envelope
from granitetrestle.messages import Member
from granitetrestle.messages import NodeStatus
from granitetrestle.messages import decode_envelope
from granitetrestle.messages import encode_envelope
from granitetrestle_standins import linkfaults
from granitetrestle_standins import reservednet
from granitetrestle_standins.linkfaults import EVERYBODY
from granitetrestle_standins.linkfaults import Fault
from granitetrestle_standins.linkfaults import FaultKind
from granitetrestle_standins.linkfaults import Place
from granitetrestle_standins.linkfaults import PlaceKind
from granitetrestle_standins.linkfaults import Topology
from granitetrestle_standins.linkfaults import decode_fault
from granitetrestle_standins.linkproxy import LinkProxy
from granitetrestle_standins.links import RigFault
from granitetrestle_standins.linkviews import PassedOn
from granitetrestle_standins.linkviews import PeerFrames
from granitetrestle_standins.linkviews import StoreAnswers
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.nativesoak import soak

JOB = "00000000000000c1"
TWO_STEPS = [
    {"count": 3, "cpu": 1000, "mem_mb": 100},
    {"count": 2, "cpu": 1000, "mem_mb": 100, "depends_on": [0]},
]


class TwoPlaces:
    """A process that connects to another one, each a plain socket, with a proxy between
    them. The loop runs only while a step waits."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.arrived = collections.defaultdict(bytes)
        self.ended = {}
        self.accepted = []
        self.following = []
        self.sent_at = 0.0
        self.loop.run_until_complete(self.start())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        address = f"{host}:{port}"
        places = {
            "n1": Place(PlaceKind.NODE, "h1", ("127.0.0.1:1", "127.0.0.1:2")),
            # The first would be the port of peers, whose messages are translated.
            "n2": Place(PlaceKind.NODE, "h2", ("127.0.0.1:3", address)),
        }
        self.proxy = LinkProxy(Topology(places), "127.0.0.1")
        ip, _, port = self.proxy.view("n1", address).rpartition(":")
        self.address = (ip, int(port))
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.follow("n1", self.reader)
        while not self.accepted:
            await asyncio.sleep(0.001)

    def follow(self, name, reader):
        self.following.append(self.loop.create_task(self.collect(name, reader)))

    async def collect(self, name, reader):
        try:
            while data := await reader.read(65536):
                self.arrived[name] += data
            self.ended[name] = "end"
        except OSError:
            self.ended[name] = "reset"

    async def serve(self, reader, writer):
        self.accepted.append(writer)
        if len(self.accepted) == 1:
            self.follow("n2", reader)
            return
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)

    def until(self, condition, seconds):
        async def wait():
            end = time.monotonic() + seconds
            while not condition() and time.monotonic() < end:
                await asyncio.sleep(0.002)
            return condition()

        return self.loop.run_until_complete(wait())

    def wait(self, seconds):
        self.until(lambda: False, seconds)

    async def echo(self, seconds):
        """Say whether a new connection carries bytes both ways in time."""
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"new")
                data = await reader.read(100)
                writer.close()
                return data
        except TimeoutError:
            return None

    def send(self, name, data):
        writer = self.writer if name == "n1" else self.accepted[0]
        writer.write(data)
        self.sent_at = time.monotonic()
        self.wait(0.005)

    def stop(self):
        """End what runs; as a cluster does."""
        self.server.close()
        for writer in (self.writer, *self.accepted):
            writer.transport.abort()
        self.wait(0.03)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.wait(0.01)
        self.loop.close()


@given("a link from n1 to n2 with an open connection")
def plain_link(context):
    context.cluster = TwoPlaces()


def disturb(context, kind, amount=0.0, source="n1", target="n2", both=True):
    async def act():
        context.cluster.proxy.set(Fault(FaultKind(kind), source, target, both, amount))

    context.cluster.loop.run_until_complete(act())
    context.cluster.wait(0.005)


@when("the link is cut")
def cut(context):
    disturb(context, "cut")


@when("the link is cut from {source} to {target} only")
def cut_one_way(context, source, target):
    disturb(context, "cut", 0.0, source, target, False)


@when("the link has the fault {kind:w} of {amount:g} from {source} to {target} only")
def fault_one_way(context, kind, amount, source, target):
    disturb(context, kind, amount, source, target, False)


@when("the link has the fault {kind:w} from {source} to {target} only")
def fault_without_amount(context, kind, source, target):
    disturb(context, kind, 0.0, source, target, False)


@when("the link has the fault {kind:w}")
def fault_both(context, kind):
    disturb(context, kind)


@when("the links are good again")
def good_again(context):
    async def act():
        context.cluster.proxy.heal()

    context.cluster.loop.run_until_complete(act())


@when('{name:w} sends "{text}" on the open connection')
def sends(context, name, text):
    context.cluster.send(name, text.encode())


@when("{name:w} sends {size:d} bytes on the open connection")
def sends_bytes(context, name, size):
    context.cluster.send(name, bytes(size))


@when("n1 closes the open connection")
def closes(context):
    context.cluster.writer.close()


@then("nothing arrives at {name:w} within {seconds:g} seconds")
def nothing_arrives(context, name, seconds):
    context.cluster.wait(seconds)
    assert not context.cluster.arrived[name], context.cluster.arrived
    assert name not in context.cluster.ended, context.cluster.ended


def arrives(context, name, data, least, most):
    two = context.cluster
    assert two.until(lambda: two.arrived[name] == data, most), two.arrived
    took = time.monotonic() - two.sent_at
    assert took >= least, took
    two.arrived[name] = b""


@then('"{text}" arrives at {name:w} within {seconds:g} seconds')
def arrives_within(context, text, name, seconds):
    arrives(context, name, text.encode(), 0.0, seconds)


@then('"{text}" arrives at {name:w} after {least:g} to {most:g} seconds')
def arrives_after(context, text, name, least, most):
    arrives(context, name, text.encode(), least, most)


@then("all {size:d} bytes arrive at {name:w} after {least:g} to {most:g} seconds")
def bytes_arrive(context, size, name, least, most):
    arrives(context, name, bytes(size), least, most)


@then("n2 sees the end of the open connection")
def sees_end(context):
    two = context.cluster
    assert two.until(lambda: two.ended.get("n2") == "end", 1.0), two.ended


@then("n1 sees a reset of the open connection")
def sees_reset(context):
    two = context.cluster
    assert two.until(lambda: two.ended.get("n1") == "reset", 1.0), two.ended


@then("no new connection comes about within {seconds:g} seconds")
def no_connection(context, seconds):
    async def connect():
        try:
            async with asyncio.timeout(seconds):
                await asyncio.open_connection(*context.cluster.address)
        except TimeoutError:
            return None
        return "connected"

    outcome = context.cluster.loop.run_until_complete(connect())
    assert outcome is None, outcome


@then("a new connection carries bytes both ways within {seconds:g} seconds")
def new_connection(context, seconds):
    data = context.cluster.loop.run_until_complete(context.cluster.echo(seconds))
    assert data == b"new", data


@then("a new connection is reset")
def new_reset(context):
    try:
        data = context.cluster.loop.run_until_complete(context.cluster.echo(1.0))
    except ConnectionResetError:
        return
    raise AssertionError(data)


@given("places n1 and b1 in hall-1, n2 and b2 in hall-2, a store and a client")
def places(context):
    context.topology = Topology(
        {
            "n1": Place(PlaceKind.NODE, "hall-1", ()),
            "b1": Place(PlaceKind.BOX, "hall-1", ()),
            "n2": Place(PlaceKind.NODE, "hall-2", ()),
            "b2": Place(PlaceKind.BOX, "hall-2", ()),
            "store": Place(PlaceKind.STORE, "", ()),
            "client": Place(PlaceKind.CLIENT, "", ()),
        }
    )


def check_ways(context, source, target):
    wanted = {(row["source"], row["target"]) for row in context.table}
    one_way = context.topology.ways(Fault(FaultKind.CUT, source, target, False))
    assert set(one_way) == wanted, one_way
    both = context.topology.ways(Fault(FaultKind.CUT, source, target))
    assert set(both) == wanted | {(b, a) for a, b in wanted}, both


@then("a cut of {hall:S} is about these ways")
def ways_of_hall(context, hall):
    check_ways(context, hall, EVERYBODY)


@then("a cut of {source:S} and {target:S} is about these ways")
def ways_of_halls(context, source, target):
    check_ways(context, source, target)


@when("a cluster is to start with the fault {fault}")
def bad_start(context, fault):
    context.error = None
    try:
        faults = [decode_fault(json.loads(fault))]
        context.cluster = NativeCluster(context.folder, 2, 2, links=faults)
    except linkfaults.LinkFaultError as error:
        context.error = error


@then("that is refused as {error}, naming {name}, and nothing was started")
def refused(context, error, name):
    assert type(context.error).__name__ == error, repr(context.error)
    assert name in str(context.error), context.error
    assert not list(context.folder.iterdir()), list(context.folder.iterdir())


VIEWS = {"127.20.1.1:20003": "127.20.1.252:7", "127.20.1.252:123": "127.0.0.1:40000"}


def translate(text):
    return VIEWS.get(text, text)


def frame(flags, body):
    if len(body) > 255:
        return bytes((flags | 2,)) + struct.pack(">Q", len(body)) + body
    return bytes((flags, len(body))) + body


@given("a message of a process that names itself, the decider and a relay")
def messages(context):
    own, other = VIEWS
    status = NodeStatus(
        node="n1",
        address=own,
        hall="h",
        epoch=2**40,
        leader="n2",
        store_ok=True,
        ready=True,
        cores=1.5,
        leader_address=other,
        members=(Member("n2", other, "h"), Member("n3", "10.0.0.1:5", "h")) * 9,
    )
    body = b"\x00\xff127.20.1.1:20003"
    call = CallForwarded(7, "POST", "host", "/q/1", body, 1.25, own)
    context.sent = [Envelope("n1", "n1-a", m, "trace") for m in (status, call)]


def pieces(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


@when("it is sent to another process in pieces of 1, 7, 100 and 5000 bytes")
def sent_in_pieces(context):
    greeting = b"\xff" + bytes(8) + b"\x7f\x03" + bytes(53)
    ready = frame(4, b"\x05READY127.20.1.1:20003")
    context.received = []
    for size in (1, 7, 100, 5000):
        frames = PeerFrames(translate)
        stream = greeting + ready
        for envelope in context.sent:
            stream += frame(1, b"token") + frame(0, encode_envelope(envelope))
        out = b"".join(frames.feed(piece) for piece in pieces(stream, size))
        assert out.startswith(greeting + ready), out[:100]
        assert not frames.rest()
        context.received.append(parse(out[len(greeting + ready) :]))


def parse(data):
    bodies = []
    while data:
        long = data[0] & 2
        head = 9 if long else 2
        size = int.from_bytes(data[1:head], "big")
        bodies.append((data[0] & 1, data[head : head + size]))
        data = data[head + size :]
    assert [flag for flag, _ in bodies] == [1, 0] * (len(bodies) // 2), bodies
    assert all(body == b"token" for flag, body in bodies if flag), bodies
    return [decode_envelope(body) for flag, body in bodies if not flag]


@then("each address arrives as the reader's own, and all else as it was sent")
def translated(context):
    status, call = (envelope.message for envelope in context.sent)
    members = tuple(
        msgspec.structs.replace(member, address=translate(member.address))
        for member in status.members
    )
    wanted = [
        msgspec.structs.replace(
            status,
            address=translate(status.address),
            leader_address=translate(status.leader_address),
            members=members,
        ),
        msgspec.structs.replace(call, reply_to=translate(call.reply_to)),
    ]
    for received in context.received:
        assert [envelope.message for envelope in received] == wanted, received


@then("so it does in the store's pages and records")
def store_translated(context):
    own = next(iter(VIEWS))
    node = msgspec.msgpack.encode([own, "h", 1.0])
    box = json.dumps({"service": "pool", "address": own}).encode()
    other = b"\x00\x01 not packed 127.20.1.1:20003"
    values = [node, box, other]
    rows = [{"key": "k", "value": base64.b64encode(v).decode()} for v in values]
    page = json.dumps({"items": rows, "more": True, "end": 3}).encode()
    records = b"".join(struct.pack(">IB", 3 + len(v), 2) + b"kk" + v for v in values)
    read = struct.pack(">QQ", 3, 0) + records
    head = "HTTP/1.1 200 OK\r\nx: y\r\nContent-Length: %d\r\n\r\n"
    stream = b"".join((head % len(b)).encode() + b for b in (page, read, b'{"end":1}'))
    for size in (1, 13, 5000):
        answers = StoreAnswers(translate)
        out = b"".join(answers.feed(piece) for piece in pieces(stream, size))
        got_page, got_read, got_append = bodies_of(out)
        items = json.loads(got_page)["items"]
        got = [base64.b64decode(item["value"]) for item in items]
        check_values(got, other)
        assert got_read[:16] == read[:16]
        check_values(list(values_of(got_read[16:])), other)
        assert json.loads(got_append) == {"end": 1}


def check_values(values, other):
    node, box, third = values
    assert msgspec.msgpack.decode(node) == ["127.20.1.252:7", "h", 1.0], node
    assert json.loads(box)["address"] == "127.20.1.252:7", box
    assert third == other, third


def bodies_of(stream):
    while stream:
        head, _, rest = stream.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2])
        yield rest[:length]
        stream = rest[length:]


def values_of(data):
    while data:
        length, key_size = struct.unpack_from(">IB", data)
        yield data[5 + key_size : 4 + length]
        data = data[4 + length :]


@when("{count:d} runs reserve addresses, each as if it were the first")
def reserve(context, count):
    nets = []
    for _ in range(count):
        with unittest.mock.patch.object(reservednet, "_tries", iter(range(77, 500))):
            nets.append(reservednet.ReservedNet())
    context.addresses = [{net.platform, net.links, net.host(1)} for net in nets]
    for net in nets:
        net.close()


@then("no two have an address in common")
def nothing_common(context):
    union = set().union(*context.addresses)
    assert len(union) == 3 * len(context.addresses), context.addresses


@given("{nodes:d} processes and {boxes:d} boxes with links")
def linked_cluster(context, nodes, boxes):
    context.cluster = NativeCluster(context.folder, nodes, boxes, links=())
    context.cluster.ready()


@when("a job of 2 steps is completed")
def job_completed(context):
    context.cluster.submit(JOB, TWO_STEPS)
    context.cluster.wait(lambda: context.cluster.state(JOB) == "completed", "completed")


def sockets_of(pid):
    """Return the numbers of a process's sockets."""
    found = set()
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            target = str(entry.readlink())
            if target.startswith("socket:["):
                found.add(target[8:-1])
    return found


def connections(pid):
    """Return where a process's sockets are connected to, IP:PORT, but for listeners."""
    mine, found = sockets_of(pid), []
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[9] in mine and fields[3] == "01":
            ip, _, port = fields[2].partition(":")
            text = socket.inet_ntoa(struct.pack("<I", int(ip, 16)))
            found.append(f"{text}:{int(port, 16)}")
    return found


@then("every open connection to a process, a box or the store is the proxy's")
def only_through_proxy(context):
    cluster = context.cluster
    places = json.loads((context.folder / "links.json").read_text())
    real = {address for _, _, addresses in places.values() for address in addresses}
    carried = [a for a in connections(cluster.processes["links"].pid) if a in real]
    peers = {places[name][2][0] for name in cluster.nodes()}
    boxes = {places[f"b{number}"][2][0] for number in range(cluster.boxes)}
    assert peers <= set(carried), (peers, carried)
    assert boxes <= set(carried), (boxes, carried)
    assert places["store"][2][0] in carried, carried
    for name in cluster.nodes():
        direct = [a for a in connections(cluster.processes[name].pid) if a in real]
        assert not direct, (name, direct)


@when("a job runs and the decider is cut off for {seconds:g} seconds")
def cut_decider(context, seconds):
    cluster = context.cluster
    cluster.submit(JOB, TWO_STEPS, spec="1500")
    cluster.wait(lambda: len(cluster.history()) == 3, "first step started")
    context.before = cluster.leader()
    began = time.monotonic()
    cluster.links.isolate(context.before)
    cluster.wait(lambda: cluster.leader() != context.before, "another", seconds)
    time.sleep(max(0.0, began + seconds - time.monotonic()))
    context.meanwhile = cluster.leader()
    cluster.links.heal()


@then("another process decided meanwhile")
def another_decided(context):
    assert context.meanwhile not in (None, context.before), context.meanwhile


@then("the job is completed as every process tells")
def completed_everywhere(context):
    cluster = context.cluster
    for name in cluster.nodes():
        cluster.wait(
            lambda n=name: cluster.state(JOB, n) == "completed", f"completed at {name}"
        )


@then("each task of the job was done once")
def done_once(context):
    done = [task for task, _, how in context.cluster.history() if how == "done"]
    wanted = [f"{JOB}.0.0.{i}" for i in range(3)] + [f"{JOB}.0.1.{i}" for i in range(2)]
    assert sorted(done) == wanted, done


@then("a cut of {hall} is refused by its name, and a cut of n1 and n7 as well")
def refused_by_name(context, hall):
    links = context.cluster.links
    for action, name, kind in (
        (lambda: links.cut_hall(hall), hall, linkfaults.UnknownHall),
        (lambda: links.cut("n1", "n7"), "n7", linkfaults.UnknownLink),
    ):
        try:
            action()
        except kind as error:
            assert name in str(error), error
        else:
            raise AssertionError(name)


@when("{hall:S} is cut off")
def hall_cut_off(context, hall):
    context.cluster.links.cut_hall(hall)


@then("a call of a client to {cut_off:w} is not answered, and one to {well:w} is")
def answered(context, cut_off, well):
    cluster = context.cluster
    cluster.wait(lambda: cluster.state(JOB, well) == "gone", f"{well} answers")
    assert cluster.state(JOB, cut_off) is None


@when("the proxy dies")
def proxy_dies(context):
    process = context.cluster.processes["links"]
    process.send_signal(signal.SIGKILL)
    process.wait(10)


@then("the run ends as a fault of the rig")
def rig_fault(context):
    try:
        context.cluster.check_rig()
    except RigFault as error:
        assert "proxy" in str(error), error
        return
    raise AssertionError("no fault of the rig")


@then("so does the next fault that is asked for")
def rig_fault_again(context):
    try:
        context.cluster.links.cut("n1", "n2")
    except RigFault:
        return
    raise AssertionError("no fault of the rig")


@when("the proxy fails over bytes that n1 sends")
def proxy_fails(context):
    with unittest.mock.patch.object(PassedOn, "feed", side_effect=ZeroDivisionError):
        context.cluster.send("n1", b"a")
        context.cluster.wait(0.05)


@then("it ends with that failure")
def ends_with_failure(context):
    async def failure():
        async with asyncio.timeout(1.0):
            await context.cluster.proxy.failed()

    try:
        context.cluster.loop.run_until_complete(failure())
    except ExceptionGroup as error:
        # One for each direction that failed.
        assert error.subgroup(ZeroDivisionError) is not None, error
        return
    raise AssertionError("no failure")


@when(
    "{nodes:d} real processes, {boxes:d} boxes, the store and all links are disturbed "
    "{times:d} times from seed {seed:d}"
)
def disturb_links(context, nodes, boxes, times, seed):
    # Raises with the seed and the logs when a promise was broken.
    context.times = times
    context.counts = soak(seed, nodes, boxes, times, links=True)
    assert context.counts["link_fault"] > 0, context.counts
