"""Steps for the effect of each kind of link fault, between two plain sockets with the
proxy in this process."""

import asyncio
import collections
import contextlib
import time
import unittest.mock

from behave import given
from behave import then
from behave import when

from granitetrestle_standins.linkfaults import ALL_OTHERS
from granitetrestle_standins.linkfaults import Fault
from granitetrestle_standins.linkfaults import FaultKind
from granitetrestle_standins.linkfaults import Place
from granitetrestle_standins.linkfaults import PlaceKind
from granitetrestle_standins.linkfaults import Topology
from granitetrestle_standins.linkproxy import LinkProxy
from granitetrestle_standins.linkviews import Passthrough


class ProxiedConnection:
    """A connection from n1 to n2, both plain sockets, through a proxy. The event loop
    runs only while a step waits."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.arrived = collections.defaultdict(bytes)
        self.ended = {}
        self.accepted = []
        self.collectors = []
        self.sent_at = 0.0
        self.loop.run_until_complete(self.start())

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        address = f"{host}:{port}"
        places = {
            "n1": Place(PlaceKind.NODE, "h1", ("127.0.0.1:1", "127.0.0.1:2")),
            # The first address is for peers, whose messages would be translated.
            "n2": Place(PlaceKind.NODE, "h2", ("127.0.0.1:3", address)),
        }
        self.proxy = LinkProxy(Topology(places), "127.0.0.1")
        ip, _, port = self.proxy.view("n1", address).rpartition(":")
        self.address = (ip, int(port))
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.start_collecting("n1", self.reader)
        while not self.accepted:
            await asyncio.sleep(0.001)

    def start_collecting(self, name, reader):
        self.collectors.append(self.loop.create_task(self.collect(name, reader)))

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
            self.start_collecting("n2", reader)
            return
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                writer.write(data)

    def wait_until(self, condition, seconds):
        async def wait():
            end = time.monotonic() + seconds
            while not condition() and time.monotonic() < end:
                await asyncio.sleep(0.002)
            return condition()

        return self.loop.run_until_complete(wait())

    def wait(self, seconds):
        self.wait_until(lambda: False, seconds)

    async def echo(self, seconds):
        """Return what a new connection echoes, or None if it takes too long."""
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
        """Close all connections and tasks; called like the method of a cluster."""
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
    context.cluster = ProxiedConnection()


def set_fault(context, kind, amount=0.0, source="n1", target="n2", both=True):
    async def act():
        context.cluster.proxy.set_fault(
            Fault(FaultKind(kind), source, target, both, amount)
        )

    context.cluster.loop.run_until_complete(act())
    context.cluster.wait(0.005)


@when("the link is cut")
def cut(context):
    set_fault(context, "cut")


@when("the link is cut from {source} to {target} only")
def cut_one_way(context, source, target):
    set_fault(context, "cut", 0.0, source, target, False)


@when("the link has the fault {kind:w} of {amount:g} from {source} to {target} only")
def fault_one_way(context, kind, amount, source, target):
    set_fault(context, kind, amount, source, target, False)


@when("the link has the fault {kind:w} from {source} to {target} only")
def fault_without_amount(context, kind, source, target):
    set_fault(context, kind, 0.0, source, target, False)


@when("the link has the fault {kind:w}")
def fault_both(context, kind):
    set_fault(context, kind)


@when("the links are healed")
def heal_links(context):
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


def arrives(context, name, data, min_s, max_s):
    connection = context.cluster
    assert connection.wait_until(lambda: connection.arrived[name] == data, max_s), (
        connection.arrived
    )
    elapsed_s = time.monotonic() - connection.sent_at
    assert elapsed_s >= min_s, elapsed_s
    connection.arrived[name] = b""


@then('"{text}" arrives at {name:w} within {seconds:g} seconds')
def arrives_within(context, text, name, seconds):
    arrives(context, name, text.encode(), 0.0, seconds)


@then('"{text}" arrives at {name:w} after {min_s:g} to {max_s:g} seconds')
def arrives_after(context, text, name, min_s, max_s):
    arrives(context, name, text.encode(), min_s, max_s)


@then("all {size:d} bytes arrive at {name:w} after {min_s:g} to {max_s:g} seconds")
def bytes_arrive(context, size, name, min_s, max_s):
    arrives(context, name, bytes(size), min_s, max_s)


@then("n2 sees the end of the open connection")
def sees_end(context):
    connection = context.cluster
    assert connection.wait_until(lambda: connection.ended.get("n2") == "end", 1.0), (
        connection.ended
    )


@then("n1 sees a reset of the open connection")
def sees_reset(context):
    connection = context.cluster
    assert connection.wait_until(lambda: connection.ended.get("n1") == "reset", 1.0), (
        connection.ended
    )


@then("no new connection is established within {seconds:g} seconds")
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


@then("a new connection carries bytes in both directions within {seconds:g} seconds")
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


def check_directions(context, source, target):
    wanted = {(row["source"], row["target"]) for row in context.table}
    forward = context.topology.directions(Fault(FaultKind.CUT, source, target, False))
    assert set(forward) == wanted, forward
    both = context.topology.directions(Fault(FaultKind.CUT, source, target))
    assert set(both) == wanted | {(b, a) for a, b in wanted}, both


@then("a cut of {hall:S} affects these directions")
def directions_of_hall(context, hall):
    check_directions(context, hall, ALL_OTHERS)


@then("a cut of {source:S} and {target:S} affects these directions")
def directions_of_halls(context, source, target):
    check_directions(context, source, target)


@when("the proxy fails over bytes that n1 sends")
def proxy_fails(context):
    with unittest.mock.patch.object(Passthrough, "feed", side_effect=ZeroDivisionError):
        context.cluster.send("n1", b"a")
        context.cluster.wait(0.05)


@then("the proxy ends with that error")
def ends_with_failure(context):
    async def failure():
        async with asyncio.timeout(1.0):
            await context.cluster.proxy.wait_for_failure()

    try:
        context.cluster.loop.run_until_complete(failure())
    except ExceptionGroup as error:
        # Holds one error for each direction that failed.
        assert error.subgroup(ZeroDivisionError) is not None, error
        return
    raise AssertionError("no failure")
