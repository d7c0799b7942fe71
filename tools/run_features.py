"""Runs the scenarios, several feature files at a time, each in a process of its own: most
of their time is spent waiting for real processes and timeouts.

    python tools/run_features.py [--lanes N] [--report REPORT.json] [FILE ...]

Prints what behave prints for each file, once the file has ended. The report is that of
behave in JSON, with all files in one list.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing as t

ROOT: t.Final = pathlib.Path(__file__).resolve().parent.parent
FEATURES: t.Final = ROOT / "features"
MAX_LANES: t.Final = 4
# The files that take longest, so that none of them is the last one to end.
LONG_FILES: t.Final = (
    "soak",
    "real_faults",
    "links",
    "native_whole_path",
    "thin_links",
    "succession",
    "review_findings",
)


class Outcome(t.NamedTuple):
    """What the run of one file came to.

    :param report: behave's report; empty if it ended before it wrote one.
    """

    file: str
    code: int
    took_s: float
    report: list[dict[str, t.Any]]


def _default_lanes() -> int:
    return max(1, min(MAX_LANES, (os.cpu_count() or 1) // 2))


def _in_order(files: t.Iterable[pathlib.Path]) -> list[pathlib.Path]:
    rank = {name: number for number, name in enumerate(LONG_FILES)}
    return sorted(files, key=lambda file: (rank.get(file.stem, len(rank)), file.name))


def run_file(file: pathlib.Path) -> Outcome:
    """Run the scenarios of one file, and print what behave says."""
    name = str(file.relative_to(ROOT))
    with tempfile.TemporaryDirectory(prefix="granitetrestle-report-") as folder:
        report = pathlib.Path(folder) / "report.json"
        began = time.monotonic()
        done = subprocess.run(
            [
                *(sys.executable, "-m", "behave", "--no-capture"),
                *("--format", "json", "--outfile", str(report)),
                *("--format", "progress", "--outfile", "/dev/stdout"),
                name,
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            check=False,
        )
        took_s = time.monotonic() - began
        try:
            features = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            features = []
    sys.stdout.buffer.write(done.stdout)
    print(f"{name}: exit {done.returncode}, {took_s:.1f} s", flush=True)
    return Outcome(name, done.returncode, took_s, features)


def merge(outcomes: t.Iterable[Outcome]) -> list[dict[str, t.Any]]:
    """Return the report of all files; one that ended without a report has failed as a
    whole, and so has one that ended badly though none of its scenarios failed."""
    merged: list[dict[str, t.Any]] = []
    for outcome in outcomes:
        merged += outcome.report
        told = any(feature["status"] == "failed" for feature in outcome.report)
        if not outcome.report or (outcome.code and not told):
            merged.append({"location": f"{outcome.file}:1", "status": "failed"})
    return merged


def main() -> int:
    """Run the files; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lanes", type=int, default=_default_lanes())
    parser.add_argument("--report", type=pathlib.Path)
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    arguments = parser.parse_args()
    files = [file.resolve() for file in arguments.files]
    files = _in_order(files or FEATURES.glob("*.feature"))
    began = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(arguments.lanes) as lanes:
        outcomes = list(lanes.map(run_file, files))
    report = merge(outcomes)
    if arguments.report:
        arguments.report.write_text(json.dumps(report), encoding="utf-8")
    failed = [outcome.file for outcome in outcomes if outcome.code]
    scenarios = [
        element["status"]
        for feature in report
        for element in feature.get("elements", ())
        if element["type"] != "background"
    ]
    print(
        f"{scenarios.count('passed')} scenarios passed, "
        f"{scenarios.count('failed') + scenarios.count('error')} failed, in "
        f"{time.monotonic() - began:.0f} s; files that failed: {failed or 'none'}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
