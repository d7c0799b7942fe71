"""Carries every link of a cluster in one process on the loopback: process to process,
to boxes and to the store, and client to process. Each place reaches each other one
through a port that is its own, so that the links can be told apart; :mod:`.linkviews`
says how it learns of that port. Faults are set from outside, as JSON lines on a port of
the loopback; :class:`.links.Links` is the other side.

A link that is cut in either direction lets no new connection come about: the queue of its
port is kept full, so that the kernel answers no further SYN. Two things differ from a cable:
whoever connects to a place where nobody listens is reset rather than refused, and what a
sender has sent counts as acknowledged once it is at the proxy."""

import argparse
import asyncio
import collections
import json
import pathlib
import socket
import time
import typing as t

from granitetrestle.nodelog import NodeLog

from .linkfaults import EVERYBODY
from .linkfaults import Fault
from .linkfaults import FaultKind
from .linkfaults import LinkFaultError
from .linkfaults import Place
from .linkfaults import PlaceKind
from .linkfaults import Topology
from .linkfaults import Way
from .linkfaults import decode_fault
from .linkpipes import Condition
from .linkpipes import Pipe
from .linkviews import PassedOn
from .linkviews import PeerFrames
from .linkviews import Rewriter
from .linkviews import StoreAnswers

__all__ = ["Door", "LinkProxy", "main"]

BACKLOG: t.Final = 512
# How often the proxy looks how late its own loop is.
LAG_EVERY_S: t.Final = 0.1
# A decider's silence counts from 0.8 s on; what the proxy adds must stay far below.
NOTABLE_LAG_S: t.Final = 0.1

Accepted: t.TypeAlias = t.Callable[[socket.socket], None]


class Door:
    """A port that one place reaches another one at. It is bound once and kept.

    :param accepted: told of each new connection.
    """

    def __init__(self, ip: str, accepted: Accepted) -> None:
        self._accepted = accepted
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.bind((ip, 0))
        self._socket.listen(BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()
        # Connections of the proxy itself that fill the queue while the door is shut.
        self._stopper: socket.socket | None = None
        self._stoppers: set[tuple[str, int]] = set()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._accept)

    def shut(self) -> None:
        """Let no connection come about: who tries is not answered."""
        if self._stopper is not None:
            return
        self._loop.remove_reader(self._socket)
        # A queue without room still takes one connection.
        self._socket.listen(0)
        self._stopper = socket.socket()
        self._stopper.setblocking(False)
        self._stopper.connect_ex(self.address)

    def open(self) -> None:
        """Let connections come about again."""
        if self._stopper is None:
            return
        try:
            self._stopper.getpeername()
            self._stoppers.add(self._stopper.getsockname())
        except OSError:
            # The queue was full without it.
            pass
        self._stopper.close()
        self._stopper = None
        self._socket.listen(BACKLOG)
        self._loop.add_reader(self._socket, self._accept)

    def close(self) -> None:
        """Free the port."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> None:
        try:
            accepted, peer = self._socket.accept()
        except OSError:
            # Who connected has given up meanwhile.
            return
        if peer in self._stoppers:
            self._stoppers.discard(peer)
            accepted.close()
            return
        accepted.setblocking(False)
        self._accepted(accepted)


class LinkProxy:
    """All links of a cluster, and what is wrong with them.

    :param ip: where the ports for all links are.
    """

    def __init__(self, topology: Topology, ip: str) -> None:
        self._topology = topology
        self._ip = ip
        self._conditions: dict[Way, Condition] = collections.defaultdict(Condition)
        # By who connects and the address that the door leads to.
        self._doors: dict[tuple[str, str], Door] = {}
        self._pipes: dict[Way, set[Pipe]] = collections.defaultdict(set)
        self._tasks: set[asyncio.Task[None]] = set()
        self._names: dict[str, str] = {}
        # Every address that a place may have been told -> the real one.
        self._real: dict[str, str] = {}
        for name, place in topology.places.items():
            for address in place.addresses:
                self._names[address] = name
                self._real[address] = address
        self.lag_s = 0.0
        # A connection that can't be carried for a reason of the proxy's own ends it:
        # what comes of that must not be taken for the program's doing.
        self._failed: asyncio.Future[t.Never] = asyncio.Future()

    def view(self, source: str, address: str) -> str:
        """Return where ``source`` reaches what listens at ``address``.

        :raises LinkFaultError: if no link leads there.
        """
        target = self._names.get(address)
        if target is None or source not in self._topology.places:
            raise LinkFaultError(f"no link from {source!r} to {address!r}")
        key = (source, address)
        if key not in self._doors:
            way = Way(source, target)
            door = Door(self._ip, lambda accepted: self._carry(way, address, accepted))
            self._doors[key] = door
            self._real[_text(door.address)] = address
            if self._shut(way):
                door.shut()
        return _text(self._doors[key].address)

    def translate(self, reader: str, text: str) -> str:
        """Turn an address that somebody was told into the reader's own."""
        real = self._real.get(text)
        if real is None:
            return text
        if self._names[real] == reader:
            return real
        return self.view(reader, real)

    def set(self, fault: Fault) -> None:
        """Bring a fault about.

        :raises LinkFaultError: naming what is wrong with it.
        """
        for way in self._topology.ways(fault):
            condition = self._conditions[way]
            if fault.kind is FaultKind.CUT:
                condition.cut_off()
            elif fault.kind is FaultKind.DELAY:
                condition.delay_s = fault.amount
            elif fault.kind is FaultKind.SLOW:
                condition.bytes_per_s = fault.amount
            elif fault.kind is FaultKind.RESET:
                condition.reset = True
                self._reset(way)
            elif fault.kind is FaultKind.LOST_ANSWER:
                condition.loses_answers = True
            else:
                now = asyncio.get_running_loop().time()
                self._hold(way, now + fault.amount)
        self._doors_follow()

    def heal(self, ways: t.Iterable[Way] | None = None) -> None:
        """Let some ways be good again, or all."""
        for way in list(self._conditions) if ways is None else ways:
            self._conditions[way].heal()
            self._hold(way, 0.0)
        self._doors_follow()

    def figures(self) -> dict[str, float]:
        """Return how many ports and open connections there are, and how many seconds
        the proxy was late at worst since it was asked last."""
        pipes = sum(map(len, self._pipes.values()))
        lag_s, self.lag_s = self.lag_s, 0.0
        return {"doors": len(self._doors), "connections": pipes, "lag_s": lag_s}

    def _shut(self, way: Way) -> bool:
        back = Way(way.target, way.source)
        return self._conditions[way].cut or self._conditions[back].cut

    def _doors_follow(self) -> None:
        for (source, address), door in self._doors.items():
            if self._shut(Way(source, self._names[address])):
                door.shut()
            else:
                door.open()

    def _either(self, way: Way) -> list[Pipe]:
        back = Way(way.target, way.source)
        return [*self._pipes[way], *self._pipes[back]]

    def _reset(self, way: Way) -> None:
        for pipe in self._either(way):
            pipe.reset()

    def _hold(self, way: Way, until: float) -> None:
        for pipe in self._either(way):
            pipe.hold(self._conditions[way], until)

    def _carry(self, way: Way, address: str, accepted: socket.socket) -> None:
        back = Way(way.target, way.source)
        pipe = Pipe(
            self._conditions[way],
            self._conditions[back],
            self._asking(way, address),
            self._answering(way),
        )
        task = asyncio.create_task(self._run(way, pipe, accepted, address))
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not self._failed.done():
            self._failed.set_exception(error)

    async def failed(self) -> t.Never:
        """Wait for a fault of the proxy itself.

        :raises Exception: what went wrong.
        """
        await self._failed
        raise AssertionError

    async def _run(
        self, way: Way, pipe: Pipe, accepted: socket.socket, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        self._pipes[way].add(pipe)
        try:
            await pipe.run(accepted, (host, int(port)))
        finally:
            self._pipes[way].discard(pipe)

    def _asking(self, way: Way, address: str) -> Rewriter:
        def translate(text: str) -> str:
            return self.translate(way.target, text)

        place = self._topology.places[way.target]
        if place.kind is PlaceKind.NODE and address == place.addresses[0]:
            return PeerFrames(translate)
        return PassedOn(translate)

    def _answering(self, way: Way) -> Rewriter:
        def translate(text: str) -> str:
            return self.translate(way.source, text)

        if self._topology.places[way.target].kind is PlaceKind.STORE:
            return StoreAnswers(translate)
        return PassedOn(translate)

    async def watch_lag(self, log: NodeLog) -> None:
        """Measure how late the proxy itself is, for ever."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_EVERY_S)
            lag_s = time.monotonic() - began - LAG_EVERY_S
            self.lag_s = max(self.lag_s, lag_s)
            if lag_s > NOTABLE_LAG_S:
                log.event("links_stood_still", seconds=round(lag_s, 3))


class Control:
    """Takes commands, a JSON object a line, and answers each by one.

    ``{"do": "view", "source": NAME, "address": ADDRESS}``, ``{"do": "set", ...}`` with
    what :func:`.linkfaults.decode_fault` reads, ``{"do": "heal"}`` for all links or with a
    ``source`` and a ``target`` for theirs, and ``{"do": "figures"}``.
    """

    def __init__(self, topology: Topology, proxy: LinkProxy, log: NodeLog) -> None:
        self._topology = topology
        self._proxy = proxy
        self._log = log

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        while line := await reader.readline():
            try:
                answer = self._answer(json.loads(line))
            except (LinkFaultError, KeyError, ValueError) as error:
                answer = {"error": str(error)}
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    def _answer(self, command: t.Mapping[str, t.Any]) -> t.Mapping[str, t.Any]:
        what = command["do"]
        if what == "view":
            return {"view": self._proxy.view(command["source"], command["address"])}
        if what == "set":
            fault = decode_fault(command)
            self._proxy.set(fault)
            self._log.event("link_fault", **fault._asdict())
        elif what == "heal":
            self._proxy.heal(self._healed(command))
            named = {key: command.get(key, EVERYBODY) for key in ("source", "target")}
            self._log.event("link_healed", **named)
        elif what == "figures":
            return self._proxy.figures()
        else:
            raise LinkFaultError(f"no command {what!r}")
        return {}

    def _healed(self, command: t.Mapping[str, t.Any]) -> t.Iterable[Way] | None:
        if "source" not in command:
            return None
        fault = Fault(FaultKind.CUT, command["source"], command["target"])
        return self._topology.ways(fault)


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def load_topology(path: pathlib.Path) -> Topology:
    """Read all places from a JSON file, name -> kind, hall, addresses."""
    raw = json.loads(path.read_text())
    return Topology(
        {
            name: Place(PlaceKind(kind), hall, tuple(addresses))
            for name, (kind, hall, addresses) in raw.items()
        }
    )


async def _run(topology: Topology, ip: str, port: int) -> None:
    proxy = LinkProxy(topology, ip)
    # In the form of the processes' own logs, so that one timeline can hold both.
    log = NodeLog(node="links")
    control = Control(topology, proxy, log)
    server = await asyncio.start_server(control.serve, ip, port)
    async with server, asyncio.TaskGroup() as tasks:
        tasks.create_task(proxy.watch_lag(log))
        tasks.create_task(proxy.failed())
        tasks.create_task(server.serve_forever())


def main() -> None:
    """Carry links until the process is ended."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--topology", type=pathlib.Path, required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--control-port", type=int, required=True)
    arguments = parser.parse_args()
    topology = load_topology(arguments.topology)
    asyncio.run(_run(topology, arguments.ip, arguments.control_port))


if __name__ == "__main__":
    main()
