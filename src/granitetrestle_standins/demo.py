"""``make demo``: the main jobs of the product through real processes, with a
readable summary. Ends by itself; its exit code tells whether all came about."""

import pathlib
import sys
import tempfile
import typing as t

from . import demojobs
from . import demoservices
from .demosteps import Step

__all__ = ["main"]


def main() -> None:
    """Run the demo and print its summary."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="granitetrestle-demo-"))
    print(f"logs and spans: {folder}")
    try:
        jobs = demojobs.run(_made(folder / "jobs"))
        services, trees = demoservices.run(_made(folder / "services"))
    except (RuntimeError, TimeoutError, AssertionError) as error:
        print(f"FAILED: {error}")
        sys.exit(1)
    _print("jobs, on the users' platform:", jobs)
    _print("the table, services and requests:", services)
    print("spans, a line for each hop:")
    print("\n".join(f"  {line}" for line in trees))


def _made(folder: pathlib.Path) -> pathlib.Path:
    folder.mkdir()
    return folder


def _print(title: str, steps: t.Sequence[Step]) -> None:
    print(title)
    width = max(len(step.name) for step in steps)
    for step in steps:
        print(f"  ok  {step.name.ljust(width)}  {step.seconds:5.2f} s  {step.result}")
