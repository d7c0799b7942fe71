"""Steps of the scenarios about a process that is stopped while it takes over."""

import os

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.node import Node
from granitetrestle.node import NodeParameters
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle_standins.nativestore import StoreModel
from session_world import PARAMETERS
from session_world import LongPollStore
from session_world import SessionWorld

# How long the store takes for what a process waits for when it is stopped.
SLOW_S = 0.4


class SlowTakeOverStore(LongPollStore):
    """Is slow for the claim of a process, or for the read after it."""

    def __init__(self, model):
        super().__init__(model)
        self.slow_for = ""
        self.reached = None

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`MemoryStore.append`."""
        if topic == JOBS_TOPIC and writer is not None and writer.sequence == 1:
            await self._wait_if("claims its epoch")
        return await super().append(topic, records, writer, timeout_s)

    async def newest_page(self, topic, after, timeout_s):
        """See :meth:`MemoryStore.newest_page`."""
        if topic == JOBS_TOPIC:
            await self._wait_if("reads its predecessor's records")
        return await super().newest_page(topic, after, timeout_s)

    async def _wait_if(self, what):
        if self.slow_for == what:
            self.slow_for = ""
            self.reached.set()
            await anyio.sleep(SLOW_S)


class SilentPeers:
    """Stands in for the peer link of a process without others."""

    connections = 0

    async def receive(self):
        await anyio.sleep_forever()
        yield None

    def connect(self, node, address):
        pass

    def close_unused(self, keep):
        pass

    def is_opening(self, node):
        return False

    def send(self, node, message, trace=""):
        return False

    def send_all(self, nodes, message, trace=""):
        return []


@given("a leader that has resigned, and a process that takes over")
def resigned_leader_and_process(context):
    context.world = SessionWorld(SlowTakeOverStore(StoreModel()), 2, context.folder)


@when("that process is stopped while it {does}, and another one takes over")
def stopped_in_take_over(context, does):
    world = context.world

    async def run():
        async with world.session(1) as session:
            await world.run_job(session, 2)
            await session.resign()
        world.store.slow_for, world.store.reached = does, anyio.Event()
        address = "127.0.0.1:1"
        parameters = NodeParameters(
            "n1", "n1-1", "h", "127.0.0.1", address, 1.0, PARAMETERS
        )
        log = NodeLog(descriptor=os.dup(world._log_file.fileno()), node="n1")
        node = Node(parameters, world._sources, None, SilentPeers(), log, NodeMetrics())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.run)
            with anyio.fail_after(10.0):
                await world.store.reached.wait()
            await node.stop(5.2)
            await anyio.sleep(2 * SLOW_S)
            context.led = node.figures()["leading"]
            tasks.cancel_scope.cancel()
        async with world.session(99 << 24):
            pass

    anyio.run(run)


@then(
    "nobody leads after the stop, and the next leader knows that the last one has "
    "resigned"
)
def proof_remains(context):
    assert not context.led, "the stopped process leads"
    newest = context.world.lines("leases_inherited")[-1]
    assert newest["proof"] == "resigned", newest
