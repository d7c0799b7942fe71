"""Real processes of the platform's program against the platform in small, each on an
address of 127.0.0.0/8 of its own; only processes started here are ended, by id."""

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

__all__ = ["NativeCluster", "Steps", "free_port"]

HOST: t.Final = "jobs.example"
LONGEST_S: t.Final = 25.0
METRICS_PORT: t.Final = 9464

Steps: t.TypeAlias = t.Sequence[t.Mapping[str, t.Any]]
T = t.TypeVar("T")


class Answer(t.NamedTuple):
    """What a call got."""

    status: int
    content: bytes
    retry_after: bytes


def free_port(ip: str = "127.0.0.1", run: int = 1) -> int:
    """Return a first port of ``run`` free ones in a row."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first: int = probe.getsockname()[1]
        if first + run > 65000:
            continue
        try:
            for port in range(first, first + run):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return first


class NativeCluster:
    """Nodes ``n1``, ``n2`` and so on, and boxes that take turns to lie in two halls.

    :param folder: for settings and logs.
    :param platform: further arguments of the platform in small.
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
    ) -> None:
        self.folder = folder
        self.boxes = boxes
        self.port = free_port(run=boxes + 1)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, str] = {}
        self.readies: dict[str, str] = {}
        self.http = httpcore.ConnectionPool(max_connections=50)
        self._spawn(
            "platform",
            [
                *("-m", "granitetrestle_standins.nativeplatform"),
                *("--port", str(self.port), "--boxes", str(boxes)),
                *platform,
            ],
            {},
        )
        self.wait(lambda: self.store("newest?topic=keyed.op&part=0").status == 200)
        # One number in the third byte keeps runs beside each other apart.
        self.net = 1 + os.getpid() % 250
        for number in range(1, nodes + 1):
            self.start_node(f"n{number}", f"127.20.{self.net}.{number}")

    def _spawn(self, name: str, arguments: list[str], env: t.Mapping[str, str]) -> None:
        out = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, **env},
            stdout=out,
            stderr=out,
        )

    def start_node(self, name: str, ip: str) -> None:
        """Start a process of the program."""
        port = free_port(ip, 5)
        self.fronts[name] = f"{ip}:{port}"
        self.readies[name] = f"{ip}:{port + 1}"
        settings = {
            "node_name": name,
            "zone": "hall",
            "ip": ip,
            "listen": {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"},
            "internal_ports": [port + 2, port + 4],
            "platform": {"address": f"127.0.0.1:{self.port}", "unknown": [1]},
            "bounds": {"hold_max_ms": 4000, "grace_s": 4},
            "limits": {"cpu_share": 1.0, "cores": 1},
            "something_new": {"a": 1},
        }
        boot = self.folder / f"{name}.json"
        boot.write_text(json.dumps(settings))
        self._run_node(name)

    def restart(self, name: str) -> None:
        """Start a node again that has ended."""
        self.processes[name].wait(10)
        self._run_node(name)

    def _run_node(self, name: str) -> None:
        boot = str(self.folder / f"{name}.json")
        env = {"GRANITETRESTLE_BOOT": boot}
        self._spawn(name, ["-m", "granitetrestle.platform"], env)

    def nodes(self) -> list[str]:
        """Return the names of all nodes."""
        return sorted(self.fronts)

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: t.Any = None,
        host: str = HOST,
        left_ms: int = 3000,
    ) -> Answer:
        """Make one call."""
        content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        timeout = {"connect": 1.0, "read": 6.0, "write": 1.0, "pool": 1.0}
        response = self.http.request(
            method,
            f"http://{address}{path}",
            headers={"Host": host, "Deadline-Ms": str(left_ms)},
            content=content if method == "POST" else None,
            extensions={"timeout": timeout},
        )
        retry = dict(response.headers).get(b"retry-after", b"")
        return Answer(response.status, response.content, retry)

    def store(self, call: str) -> Answer:
        """Call the store, or one of its test hooks."""
        method = "POST" if call.startswith("/test") else "GET"
        path = call if call.startswith("/test") else f"/api/log-{call}"
        return self.call(method, f"127.0.0.1:{self.port}", path)

    def order(self, key: str, value: str = "") -> float:
        """Let an operator write to the store; without a value the key is dropped.

        :returns: when it was confirmed, in seconds on the platform's clock.
        """
        written = f"&value={value}" if value else ""
        answer = self.store(f"/test/order?key={key}{written}")
        return float(json.loads(answer.content)["at"])

    def box(self, box: int, path: str) -> Answer:
        """Call a test hook of a box."""
        return self.call("POST", f"127.0.0.1:{self.port + 1 + box}", path)

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

    def figure(self, name: str) -> float | None:
        """Return a figure of the decider's metrics page."""
        leader = self.leader()
        assert leader is not None
        host = self.fronts[leader].rpartition(":")[0]
        _, content, _ = self.call("GET", f"{host}:{METRICS_PORT}", "/metrics")
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
