"""``make bench``: what an entry adds to a direct call, what one entry can carry
against a bare forwarder, and what happens beyond that; one table, one JSON file.
All of a comparison runs side by side in the same run."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

import anyio
from absl import app
from absl import flags

from granitetrestle_standins.cluster import Cluster
from granitetrestle_standins.cluster import Shape
from granitetrestle_standins.cluster import wait_for

from .load import Load
from .load import Result
from .load import run_load

__all__ = ["main"]

FLAGS: t.Final = flags.FLAGS
BODY = b"x" * 64
REPLICAS = 4


class Line(t.NamedTuple):
    """A measurement.

    :param cpu_us: processor time of the entry (or forwarder) per answer, in us.
    """

    name: str
    rate: float
    result: Result
    cpu_us: float


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Bench:
    """A hall with one entry, and a forwarder, in front of the same endpoints."""

    def __init__(self, cluster: Cluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._entry = cluster.daemons[0]
        self._token = ""
        self._flood = ""
        self._runners: tuple[str, ...] = ()
        self._lines: list[Line] = []

    def prepare(self) -> None:
        """Start a service with a replica on each box."""
        limits = {"max_in_flight": 1000.0, "max_queued": 1000.0}
        self._token = self._cluster.add_account(self._entry, "velotrace", **limits)
        self._flood = self._cluster.add_account(
            self._entry, "flood", max_in_flight=1000.0, max_queued=50.0
        )
        spec = {"kind": "service", "service": "unlock", "cores": 12, "memory_gb": 8}
        client = self._cluster.client(self._entry, self._token)
        client.call("POST", "/v1/jobs", {**spec, "tasks": REPLICAS})
        wanted = REPLICAS * 8

        def lent() -> bool:
            services = client.call("GET", "/v1/services")
            return sum(int(x["slots_here"]) for x in services) == wanted

        wait_for(lent, "all slots lent")
        time.sleep(11.0)  # past the slow start of new endpoints
        boxes = self._cluster.boxes
        self._runners = tuple(self._cluster.address(f"{box}/2") for box in boxes)

    def _load(self, targets: tuple[str, ...], path: str, rate: float) -> Load:
        headers = ((b"authorization", f"Bearer {self._token}".encode()),)
        seed = 7
        return Load(targets, path, headers, BODY, rate, self._seconds, seed)

    def _measure(self, name: str, load: Load, pid: int | None) -> Line:
        before = _cpu_s(pid) if pid else 0.0
        result = anyio.run(run_load, load)
        used = _cpu_s(pid) - before if pid else 0.0
        line = Line(name, load.rate, result, used / max(1, result.answered) * 1e6)
        self._lines.append(line)
        _print(line)
        return line

    def direct(self, rate: float) -> Line:
        """Call the endpoints without anything between."""
        return self._measure(
            "direct", self._load(self._runners, "/v1/serve/unlock", rate), None
        )

    def entry(self, rate: float, name: str = "entry") -> Line:
        """Call through the daemon."""
        target = (self._cluster.address(self._entry),)
        pid = self._cluster.pid(self._entry)
        path = "/v1/services/unlock/call"
        return self._measure(name, self._load(target, path, rate), pid)

    def forwarder(self, rate: float, name: str = "forwarder") -> Line:
        """Call through the bare forwarder."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = int(sock.getsockname()[1])
        command = [sys.executable, "-m", "granitetrestle_bench.forwarder"]
        command += ["127.0.0.1", str(port), *self._runners]
        process = subprocess.Popen(command)
        try:
            wait_for(lambda: _listens(port), "the forwarder listens")
            path = "/v1/services/unlock/call"
            load = self._load((f"127.0.0.1:{port}",), path, rate)
            return self._measure(name, load, process.pid)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()

    def flooded(self, rate: float, flood: float) -> None:
        """Measure one account while another floods the same entry."""
        target = (self._cluster.address(self._entry),)
        path = "/v1/services/unlock/call"
        calm = self._load(target, path, rate)
        headers = ((b"authorization", f"Bearer {self._flood}".encode()),)
        loud = calm._replace(headers=headers, rate=flood, seed=8)

        async def both() -> tuple[Result, Result]:
            results: dict[str, Result] = {}

            async def run(name: str, load: Load) -> None:
                results[name] = await run_load(load)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run, "loud", loud)
                tasks.start_soon(run, "calm", calm)
            return results["calm"], results["loud"]

        calm_result, loud_result = anyio.run(both)
        for name, load, result in (
            ("calm beside a flood", calm, calm_result),
            ("the flood", loud, loud_result),
        ):
            line = Line(name, load.rate, result, 0.0)
            self._lines.append(line)
            _print(line)

    def lines(self) -> list[Line]:
        """Return all measurements."""
        return self._lines


def _listens(port: int) -> bool:
    with socket.create_connection(("127.0.0.1", port), timeout=1.0):
        return True


def _print(line: Line) -> None:
    r = line.result
    goodput = r.answered / r.seconds
    print(
        f"{line.name:28} {line.rate:6.0f}/s sent {r.sent:6} ok {r.answered:6} "
        f"({goodput:6.0f}/s)  p50 {r.p50:7.2f}  p99 {r.p99:7.2f}  p99.9 {r.p999:7.2f} ms"
        f"  cpu {line.cpu_us:5.0f} us  {r.outcomes}",
        flush=True,
    )


def _main(argv: list[str]) -> None:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="granitetrestle-bench-"))
    shape = Shape(("zurich",), 1, REPLICAS, 1, trace_ratio=FLAGS.trace_ratio)
    with Cluster(folder, shape) as cluster:
        cluster.start()
        bench = Bench(cluster, FLAGS.seconds)
        bench.prepare()
        for rate in (50.0, 150.0, 300.0):
            bench.direct(rate)
            bench.forwarder(rate)
            bench.entry(rate)
        for rate in (600.0, 900.0, 1200.0):
            bench.forwarder(rate, "forwarder, to saturation")
            bench.entry(rate, "entry, to saturation")
        bench.flooded(50.0, 1000.0)
    out = [
        {"name": x.name, "rate": x.rate, "cpu_us": x.cpu_us, **x.result._asdict()}
        for x in bench.lines()
    ]
    path = pathlib.Path(FLAGS.out)
    path.write_text(json.dumps(out, indent=1) + "\n")


def main() -> None:
    """Measure and print."""
    flags.DEFINE_float("seconds", 6.0, "length of each measurement")
    flags.DEFINE_float("trace_ratio", 0.01, "share of requests traced")
    flags.DEFINE_string("out", "docs/measurements/bench.json", "where to write")
    app.run(_main)


if __name__ == "__main__":
    main()
