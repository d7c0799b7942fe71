"""Response bodies of the administration API, built from the reducer's state. Views
are read-only and contain no scheduling logic."""

import time
import typing as t

import msgspec

from .capacity import Vector
from .jobs import Job
from .records import CellValue
from .reducer import Reducer
from .settings import Settings
from .table import COLUMNS

__all__ = [
    "BoxView",
    "CellView",
    "ColumnView",
    "HallView",
    "JobView",
    "NodeView",
    "ServiceView",
    "StatusView",
    "TableView",
    "TaskView",
    "box_views",
    "job_view",
    "service_views",
    "status_view",
    "table_view",
]


class ColumnView(msgspec.Struct):
    """A column of the table: its default, unit and meaning."""

    name: str
    default: CellValue
    unit: str
    meaning: str


class CellView(msgspec.Struct):
    """A cell of the table; version 0 is the column's default."""

    value: CellValue
    version: int


class TableView(msgspec.Struct):
    """The table in force in this process."""

    offset: int
    rows: dict[str, dict[str, CellView]]


class TaskView(msgspec.Struct):
    """A task of a job."""

    task: str
    attempt: int
    ended: bool
    last_ending: str
    evictions: int
    failures: int


class JobView(msgspec.Struct):
    """A job and its tasks."""

    job: str
    account: str
    kind: str
    state: str
    shard: int
    service: str
    tasks: list[TaskView]


class ServiceView(msgspec.Struct):
    """A service: its slots in this hall and the other halls that offer it."""

    service: str
    slots_here: int
    halls: list[str]


class BoxView(msgspec.Struct):
    """A box of this hall; ``owner`` is the process that owns its shard.

    ``free_cores`` and ``tasks`` are known only to the owner.
    """

    box: str
    rack: str
    state: str
    shard: int
    owner: str
    cores: float
    free_cores: float | None
    tasks: list[str]


class NodeView(msgspec.Struct):
    """A process and the configuration offset in force there (``None``: unknown)."""

    node: str
    offset: int | None
    live: bool


class HallView(msgspec.Struct):
    """A data hall; ``reachable`` is seen from the process that answers."""

    hall: str
    reachable: bool
    nodes: list[NodeView]
    owners: dict[int, str]
    services: dict[str, int]
    evacuated: bool = False


class StatusView(msgspec.Struct):
    """The system as seen from one process."""

    node: str
    hall: str
    config_offset: int
    halls: list[HallView]


def table_view(reducer: Reducer, only_account: str) -> TableView:
    """Return the table.

    :param only_account: the account whose row is returned; empty: all rows.
    """
    table = reducer.table
    accounts = [a for a in table.accounts() if only_account in ("", a)]
    rows: dict[str, dict[str, CellView]] = {}
    for account in accounts:
        rows[account] = {}
        for column in COLUMNS:
            if column == "token_sha256":
                continue
            cell = table.cell(account, column)
            rows[account][column] = CellView(cell.value, cell.version)
    return TableView(table.offset, rows)


def job_view(job: Job) -> JobView:
    """Return a job's view."""
    tasks = [
        TaskView(x.task, x.attempt, x.ended, x.last_ending, x.evictions, x.failures)
        for x in job.tasks.values()
    ]
    return JobView(
        job.job,
        job.account,
        job.spec.kind,
        job.state,
        job.shard,
        job.spec.service,
        tasks,
    )


def service_views(reducer: Reducer) -> list[ServiceView]:
    """Return every service that this process knows."""
    now = time.monotonic()
    names = set(reducer.borrower.services())
    for known in reducer.halls.known.values():
        names |= known.digest.services.keys()
    return [
        ServiceView(
            name,
            reducer.borrower.slots(name, now),
            reducer.halls.halls_serving(name, now),
        )
        for name in sorted(names)
    ]


def box_views(reducer: Reducer) -> list[BoxView]:
    """Return the boxes of this hall."""
    placement = reducer.owner.placement
    views = []
    for name, info in sorted((placement.listed or {}).items()):
        shard = reducer.shard_of_box(name)
        owned = placement.owned_shards.get(shard)
        box = owned.index.boxes.get(name) if owned else None
        state = "leaving" if info.leaving else "live"
        if placement.evacuated:
            state = "evacuated"
        if name in placement.drained:
            state = "drained"
        free: Vector | None = box.free if box else None
        views.append(
            BoxView(
                name,
                info.rack,
                state,
                shard,
                reducer.ownership.shards[shard].holder,
                info.cores,
                free.cores if free else None,
                sorted(box.tasks) if box else [],
            )
        )
    return views


def status_view(reducer: Reducer, settings: Settings) -> StatusView:
    """Return the status of all halls as this process knows it."""
    now = time.monotonic()
    halls: dict[str, list[str]] = {}
    for peer in settings.peers:
        halls.setdefault(peer.hall, []).append(peer.node)
    views = [_hall_view(reducer, hall, halls[hall], settings, now) for hall in halls]
    return StatusView(settings.node, settings.hall, reducer.table.offset, views)


def _hall_view(
    reducer: Reducer, hall: str, nodes: t.Sequence[str], settings: Settings, now: float
) -> HallView:
    if hall == settings.hall:
        members = reducer.ownership.members
        live = set(reducer.ownership.live_members(now))
        offsets = {name: m.beat.config_offset for name, m in members.items()}
        offsets[settings.node] = reducer.table.offset
        owners = {n: s.holder for n, s in reducer.ownership.shards.items()}
        names = reducer.borrower.services()
        services = {name: reducer.borrower.slots(name, now) for name in names}
        return HallView(
            hall,
            True,
            _node_views(nodes, offsets, live),
            owners,
            services,
            reducer.owner.placement.evacuated,
        )
    known = reducer.halls.known.get(hall)
    reachable = reducer.halls.reachable(hall, now)
    if known is None:
        return HallView(hall, False, _node_views(nodes, {}, set()), {}, {})
    digest = known.digest
    live = set(digest.nodes) if reachable else set()
    return HallView(
        hall,
        reachable,
        _node_views(nodes, digest.nodes, live),
        digest.owners,
        digest.services,
        digest.evacuated,
    )


def _node_views(
    nodes: t.Sequence[str], offsets: t.Mapping[str, int], live: t.Container[str]
) -> list[NodeView]:
    return [NodeView(node, offsets.get(node), node in live) for node in nodes]
