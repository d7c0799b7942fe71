"""``make idle``: processor time and memory of whole daemons that only keep their
hall going, against boxes and processes, from real processes on 127.0.0.1."""

import json
import os
import pathlib
import statistics
import tempfile
import time
import typing as t

from absl import app
from absl import flags

from granitetrestle_standins.cluster import Cluster
from granitetrestle_standins.cluster import Shape

__all__ = ["main"]

FLAGS: t.Final = flags.FLAGS
SETTLE_S = 8.0
SHAPES: t.Final = (
    ("3 processes, 2 boxes", Shape(("zurich",), 3, 2, 3)),
    ("3 processes, 8 boxes", Shape(("zurich",), 3, 8, 3)),
    ("3 processes, 16 boxes", Shape(("zurich",), 3, 16, 3)),
    ("9 processes, 2 boxes", Shape(("zurich",), 9, 2, 9)),
    ("3 halls of 3, 2 boxes each", Shape(daemons=3, workers=2)),
)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _measure(shape: Shape, seconds: float) -> dict[str, t.Any]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="granitetrestle-idle-"))
    with Cluster(folder, shape) as cluster:
        cluster.start()
        time.sleep(SETTLE_S)
        pids = {node: cluster.pid(node) for node in cluster.daemons}
        before = {node: _cpu_s(pid) for node, pid in pids.items()}
        appends = cluster.faults("platform", mode="ok")["appends"]
        time.sleep(seconds)
        shares = [(_cpu_s(p) - before[n]) / seconds * 100 for n, p in pids.items()]
        appended = cluster.faults("platform", mode="ok")["appends"] - appends
        memory = [_resident_mb(pid) for pid in pids.values()]
    return {
        "cpu_percent": [min(shares), statistics.median(shares), max(shares)],
        "resident_mb": [min(memory), statistics.median(memory), max(memory)],
        "appends_per_s": appended / seconds,
    }


def _main(argv: list[str]) -> None:
    results = {}
    for name, shape in SHAPES:
        result = _measure(shape, FLAGS.seconds)
        results[name] = result
        low, middle, high = result["cpu_percent"]
        print(
            f"{name:28} cpu {low:.2f}/{middle:.2f}/{high:.2f} % of a core, "
            f"{result['resident_mb'][1]:.0f} MB, {result['appends_per_s']:.2f} appends/s"
        )
    path = pathlib.Path("docs/measurements/idle.json")
    path.write_text(json.dumps(results, indent=1) + "\n")


def main() -> None:
    """Measure and print."""
    flags.DEFINE_float("seconds", 12.0, "length of each measurement")
    app.run(_main)


if __name__ == "__main__":
    main()
