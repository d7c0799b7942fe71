"""Real processes of the platform's program against the platform in small, each on an
address of 127.0.0.0/8 of its own; only processes started here are ended, by id. With links,
all that they say to each other passes through a proxy that can disturb it."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

import httpcore

from .linkfaults import Fault
from .linkfaults import Place
from .linkfaults import PlaceKind
from .linkfaults import Topology
from .links import CLIENT
from .links import STORE
from .links import Links
from .links import write_topology
from .reservednet import FIRST_PORT
from .reservednet import METRICS_PORT
from .reservednet import ReservedNet

__all__ = ["NativeCluster", "Steps", "free_port"]

HOST: t.Final = "jobs.example"
LONGEST_S: t.Final = 25.0
HALLS: t.Final = ("hall-1", "hall-2")
# The one hall of all processes, where no link is disturbed.
ONE_HALL: t.Final = "hall"

Steps: t.TypeAlias = t.Sequence[t.Mapping[str, t.Any]]
T = t.TypeVar("T")


class Answer(t.NamedTuple):
    """What a call got."""

    status: int
    content: bytes
    retry_after: bytes


def free_port() -> int:
    """Return a port that was free a moment ago, for a test that uses it at once."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port


class NativeCluster:
    """Nodes ``n1``, ``n2`` and so on, and boxes that take turns to lie in two halls.

    :param folder: for settings and logs.
    :param platform: further arguments of the platform in small.
    :param links: faults from the start on links that go through a proxy; ``None`` for no
        proxy. With links, processes lie in the two halls by turns.
    :param spares: number of further boxes that are not listed at first.
    :raises LinkFaultError: naming a fault that can't be, before anything starts.
    :raises RigFault: if the proxy does not start.
    """

    # A call that failed so may have been taken, and may be made again.
    LOST: t.Final = (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        OSError,
    )

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int,
        boxes: int,
        platform: t.Sequence[str] = (),
        links: t.Sequence[Fault] | None = None,
        spares: int = 0,
    ) -> None:
        self.folder = folder
        self.boxes = boxes
        self.spares = spares
        self._platform = platform
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Nodes that had ended by themselves when they were started again.
        self._failed: list[str] = []
        self.fronts: dict[str, str] = {}
        self.readies: dict[str, str] = {}
        self.http = httpcore.ConnectionPool(max_connections=50)
        self._net = ReservedNet()
        self._links: Links | None = None
        self._ips = {f"n{i}": self._net.host(i) for i in range(1, nodes + 1)}
        topology = self._topology()
        try:
            for fault in links or ():
                topology.directions(fault)
            self._start_platform()
            if links is not None:
                self._start_links(topology, links)
            for name in self._ips:
                self._start_node(name)
        except BaseException:
            self.stop()
            raise

    @property
    def links(self) -> Links:
        """The links between all places.

        :raises LookupError: if this cluster was made without them.
        """
        if self._links is None:
            raise LookupError("the cluster was made without links")
        return self._links

    def check_rig(self) -> None:
        """Return if what carries the links is at work, or there is none.

        :raises RigFault: if it has ended.
        """
        if self._links is not None:
            self._links.check()

    @property
    def all_boxes(self) -> range:
        """The numbers of all boxes, spare ones included."""
        return range(self.boxes + self.spares)

    def _topology(self) -> Topology:
        places = {
            name: Place(
                PlaceKind.NODE,
                HALLS[number % 2],
                (f"{ip}:{FIRST_PORT + 2}", f"{ip}:{FIRST_PORT}"),
            )
            for number, (name, ip) in enumerate(self._ips.items())
        }
        for box in self.all_boxes:
            hall = HALLS[(1 + box) % 2]
            place = Place(PlaceKind.BOX, hall, (self._box_address(box),))
            places[f"b{box}"] = place
        places[STORE] = Place(PlaceKind.STORE, "", (self._store_address,))
        places[CLIENT] = Place(PlaceKind.CLIENT, "", ())
        return Topology(places)

    @property
    def _store_address(self) -> str:
        return f"{self._net.platform}:{FIRST_PORT}"

    def _box_address(self, box: int) -> str:
        return f"{self._net.platform}:{FIRST_PORT + 1 + box}"

    def _start_platform(self) -> None:
        self._spawn(
            "platform",
            [
                *("-m", "granitetrestle_standins.nativeplatform"),
                *("--ip", self._net.platform, "--port", str(FIRST_PORT)),
                *("--boxes", str(self.boxes), "--spares", str(self.spares)),
                *self._platform,
            ],
            {},
        )
        self.wait(lambda: self.store("newest?topic=keyed.op&part=0").status == 200)

    def _start_links(self, topology: Topology, faults: t.Sequence[Fault]) -> None:
        path = self.folder / "links.json"
        write_topology(path, topology)
        self._spawn(
            "links",
            [
                *("-m", "granitetrestle_standins.linkproxy"),
                *("--topology", str(path), "--ip", self._net.links),
                *("--control-port", str(FIRST_PORT)),
            ],
            {},
        )
        control = (self._net.links, FIRST_PORT)
        self._links = Links(topology, self.processes["links"], control)
        for fault in faults:
            self._links.set_fault(fault)

    def _spawn(self, name: str, arguments: list[str], env: t.Mapping[str, str]) -> None:
        out = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, **env},
            stdout=out,
            stderr=out,
        )

    def _start_node(self, name: str) -> None:
        ip = self._ips[name]
        front, store, hall = f"{ip}:{FIRST_PORT}", self._store_address, ONE_HALL
        self.fronts[name] = front
        self.readies[name] = f"{ip}:{FIRST_PORT + 1}"
        if self._links is not None:
            self.fronts[name] = self._links.view(CLIENT, front)
            store = self._links.view(name, store)
            hall = HALLS[list(self._ips).index(name) % 2]
        settings = {
            "node_name": name,
            "zone": hall,
            "ip": ip,
            "listen": {"front": front, "ready": self.readies[name]},
            "internal_ports": [FIRST_PORT + 2, FIRST_PORT + 4],
            "platform": {"address": store, "unknown": [1]},
            "bounds": {"hold_max_ms": 4000, "grace_s": 4},
            "limits": {"cpu_share": 1.0, "cores": 1},
            "something_new": {"a": 1},
        }
        if "--advice" in self._platform:
            settings["advice"] = self._store_address
        boot = self.folder / f"{name}.json"
        boot.write_text(json.dumps(settings))
        self._run_node(name)

    def restart(self, name: str) -> None:
        """Start a node again that has ended."""
        self.processes[name].wait(10)
        if self._has_failed(name):
            self._failed.append(name)
        self._run_node(name)

    def _has_failed(self, name: str) -> bool:
        # Below zero is a signal; one that was asked to stop says 0.
        return (self.processes[name].poll() or 0) > 0

    def _run_node(self, name: str) -> None:
        boot = str(self.folder / f"{name}.json")
        env = {"GRANITETRESTLE_BOOT": boot}
        self._spawn(name, ["-m", "granitetrestle.platform"], env)

    def failed_nodes(self) -> list[str]:
        """Return the nodes that ended by themselves, each as often as it did."""
        return self._failed + [name for name in self.nodes() if self._has_failed(name)]

    def nodes(self) -> list[str]:
        """Return the names of all nodes."""
        return sorted(self._ips)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: t.Any = None,
        host: str = HOST,
        left_ms: int = 3000,
        read_s: float = 6.0,
        pool: httpcore.ConnectionPool | None = None,
    ) -> Answer:
        """Make one call.

        :param left_ms: how long the program is told that the client waits.
        :param read_s: how long it really waits for bytes.
        :param pool: connections of the caller's own.
        """
        content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        timeout = {"connect": 1.0, "read": read_s, "write": 1.0, "pool": 1.0}
        response = (pool or self.http).request(
            method,
            f"http://{address}{path}",
            headers={"Host": host, "Deadline-Ms": str(left_ms)},
            content=content if method == "POST" else None,
            extensions={"timeout": timeout},
        )
        retry = dict(response.headers).get(b"retry-after", b"")
        return Answer(response.status, response.content, retry)

    def store(self, call: str, body: t.Any = None) -> Answer:
        """Call the store, or one of its test hooks."""
        method = "POST" if call.startswith(("/test", "append")) else "GET"
        path = call if call.startswith("/test") else f"/api/log-{call}"
        return self.call(method, self._store_address, path, body)

    def order(self, key: str, value: str = "") -> float:
        """Let an operator write to the store; without a value the key is dropped.

        :returns: when it was confirmed, in seconds on the platform's clock.
        """
        written = f"&value={value}" if value else ""
        answer = self.store(f"/test/order?key={key}{written}")
        return float(json.loads(answer.content)["at"])

    def box(self, box: int, path: str) -> Answer:
        """Call a test hook of a box, ``/test/HOOK``; it answers while the box is down."""
        hook = path.removeprefix("/test/")
        return self.store(f"/test/box/{box}/{hook}")

    def history(self) -> list[list[t.Any]]:
        """Return task, run and end of each run that any box began."""
        return [row for box in range(self.boxes) for row in self.rows(box)]

    def rows(self, box: int) -> list[list[t.Any]]:
        """Return task, run and end of each run that a box began."""
        status, content, _ = self.box(box, "/test/history")
        assert status == 200, (status, content)
        rows: list[list[t.Any]] = json.loads(content)
        return rows

    def started(self) -> list[tuple[str, str]]:
        """Return the hall and the task of each run that any box began."""
        return [
            (f"hall-{1 + (1 + box) % 2}", row[0])
            for box in range(self.boxes)
            for row in self.rows(box)
        ]

    def figure(self, name: str, node: str | None = None) -> float | None:
        """Return a figure of a node's metrics page, the decider's if none is named."""
        node = node or self.leader()
        assert node is not None
        address = f"{self._ips[node]}:{METRICS_PORT}"
        _, content, _ = self.call("GET", address, "/metrics")
        for line in content.decode().splitlines():
            if line.startswith(f'granitetrestle_state{{what="{name}"}}'):
                return float(line.split()[-1])
        return None

    def log(self, name: str) -> list[dict[str, t.Any]]:
        """Return a node's log lines."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def leader(self) -> str | None:
        """Return the node that took over last, by the logs."""
        found = [
            (line["epoch"], name)
            for name in self.nodes()
            for line in self.log(name)
            if line["event"] == "took_over"
        ]
        return max(found)[1] if found else None

    def kill(self, name: str | None, number: int = signal.SIGKILL) -> None:
        """Send a signal to a node."""
        assert name is not None
        os.kill(self.processes[name].pid, number)
        if number == signal.SIGKILL:
            self.processes[name].wait(10)

    def wait(
        self, condition: t.Callable[[], T], what: str = "", longest_s: float = LONGEST_S
    ) -> T:
        """Return what ``condition`` returns once that is true.

        :raises AssertionError: if it does not come about in time.
        """
        end = time.monotonic() + longest_s
        last: object = None
        while time.monotonic() < end:
            try:
                result = condition()
                if result:
                    return result
                last = result
            except self.LOST as error:
                last = error
            time.sleep(0.05)
        raise AssertionError(f"did not come about: {what}; last {last!r}")

    def ready(self) -> None:
        """Return once all nodes are ready and one decides."""
        for name in self.nodes():
            address = self.readies[name]
            self.wait(
                lambda a=address: self.call("GET", a, "/api/readyz").status == 200,  # type: ignore[misc]
                f"{name} ready",
            )
        self.wait(lambda: self.state("0" * 16) == "gone", "a decider")

    def submit(
        self, job: str, steps: Steps, node: str | None = None, spec: str = "200"
    ) -> bool:
        """Hand in a job as a client does: again after no or an unclear answer."""
        body = {"spec": spec, "steps": steps}

        def accepted() -> bool:
            for name in [node] if node else self.nodes():
                status, _, _ = self.call(
                    "POST", self.fronts[name], f"/jobs/{job}", body
                )
                if status == 200:
                    return True
            return False

        return self.wait(accepted, f"{job} accepted")

    def state(self, job: str, node: str | None = None) -> str | None:
        """Return a job's state as a node tells it; ``gone`` for one that is not known."""
        for name in [node] if node else self.nodes():
            try:
                status, content, _ = self.call("GET", self.fronts[name], f"/jobs/{job}")
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            if status == 200:
                return str(json.loads(content)["state"])
            if status == 410:
                return "gone"
        return None

    def stop(self) -> None:
        """End all that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        self.http.close()
        if self._links is not None:
            self._links.close()
        self._net.close()
