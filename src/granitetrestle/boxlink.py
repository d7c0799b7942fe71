"""Adapter to the platform's boxes: the platform's list of them, which lags behind, and
the exchange that sends commands to a box and returns its report. No other module knows
the wire formats of the two."""

import time
import typing as t

import msgspec

from .calls import Caller
from .calls import CallFailure
from .calls import Reply
from .errors import DECODE_ERRORS
from .events import BoxAnswered
from .events import BoxFailed
from .events import BoxInfo
from .events import BoxReport
from .events import Command
from .events import CommandBox
from .events import CommandResult
from .events import TaskReport
from .records import JobSpec

__all__ = ["BoxLink"]

EXCHANGE_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 2.0
T = t.TypeVar("T")


class WireBox(msgspec.Struct):
    """An entry of the platform's list of boxes."""

    box: str
    hall: str
    rack: str
    address: str
    endpoint_address: str
    state: t.Literal["live", "leaving"]
    cores: float
    memory_gb: float
    accelerators: int = 0
    slots: int = 8


class WireCommand(msgspec.Struct, omit_defaults=True):
    """A command to a box."""

    op: str
    task: str
    attempt: int
    epoch: int
    not_after: float = 0.0
    expires: float = 0.0
    spec: JobSpec | None = None
    checkpoint: str = ""
    speed: float = 1.0


class WireExchange(msgspec.Struct):
    """Request body of an exchange."""

    commands: list[WireCommand]


class WireResult(msgspec.Struct):
    """A box's result of one command."""

    task: str
    attempt: int
    op: str
    error: str = ""


class WireTask(msgspec.Struct):
    """A task in a box's report."""

    task: str
    attempt: int
    epoch: int
    state: str
    checkpoint: str = ""
    cores_used: float = 0.0


class WireReport(msgspec.Struct):
    """Response body of an exchange."""

    results: list[WireResult]
    tasks: list[WireTask]


class BoxLink:
    """HTTP client of the boxes and of the platform's list of them."""

    def __init__(self, platform: str, caller: Caller) -> None:
        self._platform = platform
        self._caller = caller

    async def list_boxes(self, hall: str) -> tuple[BoxInfo, ...] | None:
        """Return the data hall's boxes, or ``None`` without a valid answer."""
        reply = await self._caller.call(
            self._platform,
            f"/v1/boxes?hall={hall}",
            timeout_s=LIST_TIMEOUT_S,
            method="GET",
            by_progress=True,
        )
        boxes = _decode(reply, list[WireBox])
        if boxes is None:
            return None
        return tuple(_box_info(box) for box in boxes if box.hall == hall)

    async def exchange(self, effect: CommandBox) -> BoxAnswered | BoxFailed:
        """Send commands to a box.

        :returns: the box's report, or a failure that says whether the commands provably
            did not run.
        """
        body = WireExchange([_to_wire(command) for command in effect.commands])
        sent_wall = time.time()
        reply = await self._caller.call(
            effect.address,
            "/v1/exchange",
            body=msgspec.json.encode(body),
            timeout_s=EXCHANGE_TIMEOUT_S,
            by_progress=True,
        )
        report = _decode(reply, WireReport)
        if report is not None:
            return _box_answered(effect.box, sent_wall, report)
        unsent = isinstance(reply, CallFailure) and not reply.proof.may_have_run
        return _box_failed(effect, sent_wall, unsent)


def _decode(reply: Reply | CallFailure, body_type: type[T]) -> T | None:
    if isinstance(reply, CallFailure) or reply.status != 200:
        return None
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except DECODE_ERRORS:
        return None


def _box_info(box: WireBox) -> BoxInfo:
    return BoxInfo(
        box.box,
        box.hall,
        box.rack,
        box.address,
        box.endpoint_address,
        box.state == "leaving",
        box.cores,
        box.memory_gb,
        box.accelerators,
        box.slots,
    )


def _to_wire(command: Command) -> WireCommand:
    return WireCommand(*command)


def _box_failed(effect: CommandBox, sent_wall: float, unsent: bool) -> BoxFailed:
    now, wall = time.monotonic(), time.time()
    return BoxFailed(now, wall, effect.box, sent_wall, effect.commands, unsent)


def _box_answered(box: str, sent_wall: float, report: WireReport) -> BoxAnswered:
    results = tuple(
        CommandResult(r.task, r.attempt, r.op, r.error) for r in report.results
    )
    tasks = tuple(
        TaskReport(w.task, w.attempt, w.epoch, w.state, w.checkpoint, w.cores_used)
        for w in report.tasks
    )
    return BoxAnswered(
        time.monotonic(), time.time(), box, sent_wall, results, BoxReport(tasks)
    )
