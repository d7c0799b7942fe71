"""The operators' table: one row per client account, one typed column per weight
or limit. The version of a cell is the log offset that set it. Concurrent changes are
therefore decided by the log's order alone, and no replica returns to an older value."""

import dataclasses
import math
import re
import typing as t

from .errors import InvalidInput
from .outcomes import Accepted
from .outcomes import Outcome
from .outcomes import Reason
from .outcomes import Rejected
from .records import CellEdit
from .records import CellValue
from .records import TableEdited

__all__ = ["COLUMNS", "Cell", "Column", "Table", "check_edits"]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAX_EDITS = 500
MAX_TEXT_LENGTH = 128


class Column(t.NamedTuple):
    """A column: its default, its unit, and the values allowed in its cells."""

    name: str
    default: CellValue
    unit: str
    meaning: str
    low: float = 0.0
    high: float = math.inf
    pattern: str = ""


COLUMNS: t.Final[dict[str, Column]] = {
    column.name: column
    for column in (
        Column("weight", 1.0, "ratio", "share under contention", 0.01, 1000),
        Column("max_cores", 64.0, "cores", "running tasks' cores in each hall"),
        Column("max_memory_gb", 512.0, "GB", "running tasks' memory in each hall"),
        Column("max_accelerators", 0.0, "count", "accelerators in each hall"),
        Column("max_in_flight", 64.0, "requests", "at one entry", 0, 1e6),
        Column("max_queued", 256.0, "requests", "waiting at one entry", 0, 1e6),
        Column("urgent_cores", 8.0, "cores", "urgent work in each hall"),
        Column("eviction_cost", 1.0, "ratio", "harm of one eviction", 0, 1000),
        Column(
            "token_sha256",
            "",
            "hex",
            "hash of the account's bearer token",
            pattern=r"[0-9a-f]{64}|",
        ),
    )
}


class Cell(t.NamedTuple):
    """A value and the log offset of the record that set it (0: the default)."""

    value: CellValue
    version: int


def check_edits(edits: t.Sequence[CellEdit]) -> None:
    """Check a whole change before it is appended to the log.

    :param edits: the cells of one change.
    :raises InvalidInput: if the change is empty, too long or names a cell twice, or
        for its first cell that is not allowed.
    """
    if not edits or len(edits) > MAX_EDITS:
        raise InvalidInput(f"a change has 1 to {MAX_EDITS} cells, not {len(edits)}")
    cells = {(edit.account, edit.column) for edit in edits}
    if len(cells) != len(edits):
        raise InvalidInput("a change names a cell twice")
    for edit in edits:
        _check_edit(edit)


def _check_edit(edit: CellEdit) -> None:
    column = COLUMNS.get(edit.column)
    if column is None:
        known = ", ".join(COLUMNS)
        raise InvalidInput(f"no column {edit.column!r}", f"columns are: {known}")
    if not NAME_PATTERN.fullmatch(edit.account):
        raise InvalidInput(
            f"account name {edit.account[:64]!r} is not 1 to 63 of a-z, 0-9 and -"
        )
    if isinstance(column.default, str):
        _check_text(column, edit.value)
        return
    _check_number(column, edit.value)


def _check_text(column: Column, value: CellValue) -> None:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise InvalidInput(
            f"{column.name} takes a text of up to {MAX_TEXT_LENGTH} characters"
        )
    if not re.fullmatch(column.pattern, value):
        raise InvalidInput(f"{column.name} must match {column.pattern}")


def _check_number(column: Column, value: CellValue) -> None:
    if isinstance(value, str) or not math.isfinite(value):
        raise InvalidInput(f"{column.name} takes a finite number ({column.unit})")
    if not column.low <= value <= column.high:
        raise InvalidInput(
            f"{column.name} is {value!r}, not in {column.low:g}..{column.high:g}"
        )


@dataclasses.dataclass(slots=True)
class Table:
    """The table at one offset of the configuration stream."""

    rows: dict[str, dict[str, Cell]] = dataclasses.field(default_factory=dict)
    offset: int = 0

    def apply(self, offset: int, change: TableEdited) -> Outcome:
        """Apply one change at its place in the log.

        :param offset: the record's offset; must increase from call to call.
        :param change: the cells to set, each with the version that its author saw.
        :returns: accepted, or rejected as invalid or as a conflict with a change that
            came first in the log.
        """
        try:
            check_edits(change.edits)
        except InvalidInput as error:
            return Rejected(Reason.INVALID, error.message)
        for edit in change.edits:
            current = self.cell(edit.account, edit.column)
            if current.version != edit.seen_version:
                return Rejected(Reason.CONFLICT, _conflict_text(edit, current))
        for edit in change.edits:
            row = self.rows.setdefault(edit.account, {})
            row[edit.column] = Cell(edit.value, offset)
        return Accepted(f"{len(change.edits)} cell(s)", offset)

    def restore(self, rows: dict[str, dict[str, Cell]], offset: int) -> None:
        """Replace the table by a snapshot that is newer than it."""
        self.rows = rows
        self.offset = offset

    def advance(self, offset: int) -> None:
        """Record that all records up to ``offset`` are in force here."""
        self.offset = max(self.offset, offset)

    def cell(self, account: str, column: str) -> Cell:
        """Return the cell, or the column's default at version 0."""
        found = self.rows.get(account, {}).get(column)
        return found if found is not None else Cell(COLUMNS[column].default, 0)

    def number(self, account: str, column: str) -> float:
        """Return the value of a numeric cell."""
        return float(self.cell(account, column).value)

    def accounts(self) -> list[str]:
        """Return the accounts that have a row."""
        return sorted(self.rows)


def _conflict_text(edit: CellEdit, current: Cell) -> str:
    return (
        f"{edit.account}.{edit.column} is {current.value!r} at version "
        f"{current.version}, not version {edit.seen_version}"
    )
