"""TCP proxy for all links of a cluster, in one process on the loopback: links between
processes, from processes to boxes and to the store, and from clients to processes. Each
pair of source and target address has a port of its own, so that the proxy knows which
link a connection belongs to; :mod:`.linkviews` describes how a place learns of that
port. Faults are set by JSON lines on a control port; :class:`.links.Links` is the
client.

While a link is cut in either direction, no new connection can be established: the
accept queue of its port is kept full, so that the kernel answers no further SYN. The
proxy differs from a real network in two ways: a connection to an address where nothing
listens is reset rather than refused, and bytes are acknowledged to the sender once the
proxy has them."""

import argparse
import asyncio
import collections
import json
import pathlib
import socket
import time
import typing as t

from granitetrestle.nodelog import NodeLog

from .linkfaults import ALL_OTHERS
from .linkfaults import Direction
from .linkfaults import Fault
from .linkfaults import FaultKind
from .linkfaults import LinkFaultError
from .linkfaults import Place
from .linkfaults import PlaceKind
from .linkfaults import Topology
from .linkfaults import decode_fault
from .linkpipes import Condition
from .linkpipes import Pipe
from .linkviews import Passthrough
from .linkviews import PeerFrames
from .linkviews import Rewriter
from .linkviews import StoreAnswers

__all__ = ["LinkPort", "LinkProxy", "main"]

BACKLOG: t.Final = 512
# How often the proxy measures the lag of its own event loop.
LAG_CHECK_INTERVAL_S: t.Final = 0.1
# A leader is suspected after 0.8 s of silence; the lag must stay far below that.
LAG_LOG_THRESHOLD_S: t.Final = 0.1

AcceptCallback: t.TypeAlias = t.Callable[[socket.socket], None]


class LinkPort:
    """A listening port through which one place reaches an address of another. It stays
    bound until :meth:`close`, so that its address never changes.

    :param accepted: called with the socket of each new connection.
    """

    def __init__(self, ip: str, accepted: AcceptCallback) -> None:
        self._on_accept = accepted
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.bind((ip, 0))
        self._socket.listen(BACKLOG)
        self.address: tuple[str, int] = self._socket.getsockname()
        # The proxy's own connections that fill the accept queue while it is blocked.
        self._blocker: socket.socket | None = None
        self._blocker_addresses: set[tuple[str, int]] = set()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._accept)

    def block(self) -> None:
        """Leave all attempts to connect unanswered."""
        if self._blocker is not None:
            return
        self._loop.remove_reader(self._socket)
        # A queue of length 0 still takes one connection.
        self._socket.listen(0)
        self._blocker = socket.socket()
        self._blocker.setblocking(False)
        self._blocker.connect_ex(self.address)

    def unblock(self) -> None:
        """Accept connections again."""
        if self._blocker is None:
            return
        try:
            self._blocker.getpeername()
            self._blocker_addresses.add(self._blocker.getsockname())
        except OSError:
            # It never connected: the queue was already full.
            pass
        self._blocker.close()
        self._blocker = None
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
            # The client has closed the connection in the meantime.
            return
        if peer in self._blocker_addresses:
            self._blocker_addresses.discard(peer)
            accepted.close()
            return
        accepted.setblocking(False)
        self._on_accept(accepted)


class LinkProxy:
    """Forwards the connections of all links of a cluster and injects their faults.

    :param ip: the address that all ports of links are bound to.
    """

    def __init__(self, topology: Topology, ip: str) -> None:
        self._topology = topology
        self._ip = ip
        self._conditions: dict[Direction, Condition] = collections.defaultdict(
            Condition
        )
        # By the name of the source and the real address of the target.
        self._ports: dict[tuple[str, str], LinkPort] = {}
        self._pipes: dict[Direction, set[Pipe]] = collections.defaultdict(set)
        self._tasks: set[asyncio.Task[None]] = set()
        self._place_names: dict[str, str] = {}
        # Real or proxied address -> real address.
        self._real_addresses: dict[str, str] = {}
        for name, place in topology.places.items():
            for address in place.addresses:
                self._place_names[address] = name
                self._real_addresses[address] = address
        self.lag_s = 0.0
        # An error of the proxy itself ends it, since its effects would otherwise be
        # taken for faults of the program under test.
        self._failed: asyncio.Future[t.Never] = asyncio.Future()

    def view(self, source: str, address: str) -> str:
        """Return the address through which ``source`` reaches ``address``.

        :raises LinkFaultError: if ``source`` or ``address`` is unknown.
        """
        target = self._place_names.get(address)
        if target is None or source not in self._topology.places:
            raise LinkFaultError(f"no link from {source!r} to {address!r}")
        key = (source, address)
        if key not in self._ports:
            direction = Direction(source, target)
            link_port = LinkPort(
                self._ip,
                lambda accepted: self._start_pipe(direction, address, accepted),
            )
            self._ports[key] = link_port
            self._real_addresses[_format_address(link_port.address)] = address
            if self._is_cut(direction):
                link_port.block()
        return _format_address(self._ports[key].address)

    def translate(self, reader: str, text: str) -> str:
        """Translate a real or proxied address into the one that ``reader`` must use.

        Any other text is returned unchanged.
        """
        real = self._real_addresses.get(text)
        if real is None:
            return text
        if self._place_names[real] == reader:
            return real
        return self.view(reader, real)

    def set_fault(self, fault: Fault) -> None:
        """Inject a fault.

        :raises LinkFaultError: if the fault is invalid.
        """
        for direction in self._topology.directions(fault):
            condition = self._conditions[direction]
            if fault.kind is FaultKind.CUT:
                condition.cut_off()
            elif fault.kind is FaultKind.DELAY:
                condition.delay_s = fault.amount
            elif fault.kind is FaultKind.SLOW:
                condition.bytes_per_s = fault.amount
            elif fault.kind is FaultKind.RESET:
                condition.reset = True
                self._reset(direction)
            elif fault.kind is FaultKind.LOST_ANSWER:
                condition.loses_answers = True
            else:
                now = asyncio.get_running_loop().time()
                self._hold(direction, now + fault.amount)
        self._update_ports()

    def heal(self, directions: t.Iterable[Direction] | None = None) -> None:
        """Remove all faults from some directions, or from all."""
        for direction in list(self._conditions) if directions is None else directions:
            self._conditions[direction].heal()
            self._hold(direction, 0.0)
        self._update_ports()

    def read_metrics(self) -> dict[str, float]:
        """Return the numbers of ports and open connections, and the highest lag of the
        event loop (s) since the last call."""
        pipes = sum(map(len, self._pipes.values()))
        lag_s, self.lag_s = self.lag_s, 0.0
        return {"doors": len(self._ports), "connections": pipes, "lag_s": lag_s}

    def _is_cut(self, direction: Direction) -> bool:
        reverse = Direction(direction.target, direction.source)
        return self._conditions[direction].cut or self._conditions[reverse].cut

    def _update_ports(self) -> None:
        for (source, address), link_port in self._ports.items():
            if self._is_cut(Direction(source, self._place_names[address])):
                link_port.block()
            else:
                link_port.unblock()

    def _pipes_between(self, direction: Direction) -> list[Pipe]:
        reverse = Direction(direction.target, direction.source)
        return [*self._pipes[direction], *self._pipes[reverse]]

    def _reset(self, direction: Direction) -> None:
        for pipe in self._pipes_between(direction):
            pipe.reset()

    def _hold(self, direction: Direction, until: float) -> None:
        for pipe in self._pipes_between(direction):
            pipe.hold(self._conditions[direction], until)

    def _start_pipe(
        self, direction: Direction, address: str, accepted: socket.socket
    ) -> None:
        reverse = Direction(direction.target, direction.source)
        pipe = Pipe(
            self._conditions[direction],
            self._conditions[reverse],
            self._request_rewriter(direction, address),
            self._answer_rewriter(direction),
        )
        task = asyncio.create_task(self._run(direction, pipe, accepted, address))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not self._failed.done():
            self._failed.set_exception(error)

    async def wait_for_failure(self) -> t.Never:
        """Wait for an error of the proxy itself.

        :raises Exception: that error.
        """
        await self._failed
        raise AssertionError

    async def _run(
        self, direction: Direction, pipe: Pipe, accepted: socket.socket, address: str
    ) -> None:
        host, _, port = address.rpartition(":")
        self._pipes[direction].add(pipe)
        try:
            await pipe.run(accepted, (host, int(port)))
        finally:
            self._pipes[direction].discard(pipe)

    def _request_rewriter(self, direction: Direction, address: str) -> Rewriter:
        def translate(text: str) -> str:
            return self.translate(direction.target, text)

        place = self._topology.places[direction.target]
        if place.kind is PlaceKind.NODE and address == place.addresses[0]:
            return PeerFrames(translate)
        return Passthrough(translate)

    def _answer_rewriter(self, direction: Direction) -> Rewriter:
        def translate(text: str) -> str:
            return self.translate(direction.source, text)

        if self._topology.places[direction.target].kind is PlaceKind.STORE:
            return StoreAnswers(translate)
        return Passthrough(translate)

    async def watch_lag(self, log: NodeLog) -> None:
        """Measure the lag of the event loop until cancelled."""
        while True:
            started = time.monotonic()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            lag_s = time.monotonic() - started - LAG_CHECK_INTERVAL_S
            self.lag_s = max(self.lag_s, lag_s)
            if lag_s > LAG_LOG_THRESHOLD_S:
                log.event("links_stood_still", seconds=round(lag_s, 3))


class ControlServer:
    """Serves the control port. Commands and answers are JSON objects, one per line:

    - ``{"do": "view", "source": NAME, "address": ADDRESS}``
    - ``{"do": "set", ...}`` with the fields of :func:`.linkfaults.decode_fault`
    - ``{"do": "heal"}`` for all links, or with a ``source`` and a ``target``
    - ``{"do": "figures"}``
    """

    def __init__(self, topology: Topology, proxy: LinkProxy, log: NodeLog) -> None:
        self._topology = topology
        self._proxy = proxy
        self._log = log

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the commands of one connection."""
        while line := await reader.readline():
            try:
                answer = self._execute(json.loads(line))
            except (LinkFaultError, KeyError, ValueError) as error:
                answer = {"error": str(error)}
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()

    def _execute(self, command: t.Mapping[str, t.Any]) -> t.Mapping[str, t.Any]:
        name = command["do"]
        if name == "view":
            return {"view": self._proxy.view(command["source"], command["address"])}
        if name == "set":
            fault = decode_fault(command)
            self._proxy.set_fault(fault)
            self._log.event("link_fault", **fault._asdict())
        elif name == "heal":
            self._proxy.heal(self._directions_to_heal(command))
            log_fields = {
                key: command.get(key, ALL_OTHERS) for key in ("source", "target")
            }
            self._log.event("link_healed", **log_fields)
        elif name == "figures":
            return self._proxy.read_metrics()
        else:
            raise LinkFaultError(
                f"no command {name!r}; there are view, set, heal and figures"
            )
        return {}

    def _directions_to_heal(
        self, command: t.Mapping[str, t.Any]
    ) -> t.Iterable[Direction] | None:
        if "source" not in command:
            return None
        fault = Fault(FaultKind.CUT, command["source"], command["target"])
        return self._topology.directions(fault)


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def load_topology(path: pathlib.Path) -> Topology:
    """Read a topology from a JSON file: name -> [kind, hall, addresses]."""
    raw = json.loads(path.read_text())
    return Topology(
        {
            name: Place(PlaceKind(kind), hall, tuple(addresses))
            for name, (kind, hall, addresses) in raw.items()
        }
    )


async def _run(topology: Topology, ip: str, port: int) -> None:
    proxy = LinkProxy(topology, ip)
    # In the format of the processes' logs, so that one timeline can hold both.
    log = NodeLog(node="links")
    control = ControlServer(topology, proxy, log)
    server = await asyncio.start_server(control.serve, ip, port)
    async with server, asyncio.TaskGroup() as tasks:
        tasks.create_task(proxy.watch_lag(log))
        tasks.create_task(proxy.wait_for_failure())
        tasks.create_task(server.serve_forever())


def main() -> None:
    """Proxy the links of a cluster until the process is ended."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--topology", type=pathlib.Path, required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--control-port", type=int, required=True)
    arguments = parser.parse_args()
    topology = load_topology(arguments.topology)
    asyncio.run(_run(topology, arguments.ip, arguments.control_port))


if __name__ == "__main__":
    main()
