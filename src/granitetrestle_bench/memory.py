"""Prints the resident MB that a number of things takes, in a process of its own
so that nothing else counts: ``python -m granitetrestle_bench.memory tasks 5600``."""

import gc
import sys

from granitetrestle.keys import KeyLedger
from granitetrestle.records import CellEdit
from granitetrestle.records import JobSpec
from granitetrestle.records import TableEdited
from granitetrestle.reducer import CONFIG_STREAM
from granitetrestle.table import COLUMNS

from .rigs import OwnerRig
from .rigs import resident_mb

__all__ = ["main"]


def _tasks(size: int) -> object:
    """A hall's tasks, a ninth of them owned and running here."""
    rig = OwnerRig(max(1, size // 18 // 9 + 1))
    rig.submit(size // 10, 10, JobSpec("batch", 1.0, 4.0, run_s=600.0))
    for _ in range(30):
        rig.pass_time(0.1)
    return rig


def _boxes(size: int) -> object:
    return OwnerRig(size)


def _rows(size: int) -> object:
    rig = OwnerRig(1)
    for i in range(size):
        edits = tuple(
            CellEdit(f"acc{i}", name, column.default, 0)
            for name, column in COLUMNS.items()
        )
        rig.read(CONFIG_STREAM, (TableEdited(f"e{i}", edits),))
    return rig


def _keys(size: int) -> object:
    ledger = KeyLedger(0.0)
    for i in range(size):
        ledger.decide("account", f"key-{i:032x}", 1000.0, 1000.0, f"request-{i}")
    return ledger


def main() -> None:
    """Measure one thing."""
    what, size = sys.argv[1], int(sys.argv[2])
    make = {"tasks": _tasks, "boxes": _boxes, "rows": _rows, "keys": _keys}[what]
    kept = [make(1)]
    gc.collect()
    before = resident_mb()
    kept.append(make(size))
    gc.collect()
    print(resident_mb() - before)


if __name__ == "__main__":
    main()
