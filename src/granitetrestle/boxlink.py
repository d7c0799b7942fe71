"""Adapter to the platform's boxes: the lagging list of them, and the exchange of
commands for a report. The formats of both live in this file alone."""

import time
import typing as t

import anyio
import httpcore
import msgspec

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
KEEPALIVE_S = 2.0


class WireBox(msgspec.Struct):
    """A line of the platform's list."""

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
    """A command as a box reads it."""

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
    """Body of an exchange."""

    commands: list[WireCommand]


class WireResult(msgspec.Struct):
    """A box's answer to one command."""

    task: str
    attempt: int
    op: str
    error: str = ""


class WireTask(msgspec.Struct):
    """A task as a box reports it."""

    task: str
    attempt: int
    epoch: int
    state: str
    checkpoint: str = ""
    cores_used: float = 0.0


class WireReport(msgspec.Struct):
    """Answer to an exchange."""

    results: list[WireResult]
    tasks: list[WireTask]


class BoxLink:
    """HTTP client of boxes and of the platform's list."""

    def __init__(self, platform: str) -> None:
        self._platform = platform
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=64, keepalive_expiry=KEEPALIVE_S
        )

    async def listed(self, hall: str) -> tuple[BoxInfo, ...] | None:
        """Return the hall's boxes, or ``None`` if the platform gives no answer."""
        url = f"http://{self._platform}/v1/boxes?hall={hall}"
        try:
            with anyio.fail_after(LIST_TIMEOUT_S):
                response = await self._pool.request("GET", url)
            if response.status != 200:
                return None
            boxes = msgspec.json.decode(response.content, type=list[WireBox])
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            TimeoutError,
            msgspec.DecodeError,
        ):
            return None
        return tuple(_box_info(box) for box in boxes if box.hall == hall)

    async def exchange(self, effect: CommandBox) -> BoxAnswered | BoxFailed:
        """Carry out one exchange.

        :returns: the report, or a failure that says whether anything left.
        """
        body = WireExchange([_wire(command) for command in effect.commands])
        sent_wall = time.time()
        try:
            with anyio.fail_after(EXCHANGE_TIMEOUT_S):
                response = await self._pool.request(
                    "POST",
                    f"http://{effect.address}/v1/exchange",
                    content=msgspec.json.encode(body),
                )
            if response.status != 200:
                return _failed(effect, sent_wall, unsent=False)
            report = msgspec.json.decode(response.content, type=WireReport)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return _failed(effect, sent_wall, unsent=True)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            TimeoutError,
            msgspec.DecodeError,
        ):
            return _failed(effect, sent_wall, unsent=False)
        return _answered(effect.box, sent_wall, report)


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


def _wire(command: Command) -> WireCommand:
    return WireCommand(*command)


def _failed(effect: CommandBox, sent_wall: float, unsent: bool) -> BoxFailed:
    now, wall = time.monotonic(), time.time()
    return BoxFailed(now, wall, effect.box, sent_wall, effect.commands, unsent)


def _answered(box: str, sent_wall: float, report: WireReport) -> BoxAnswered:
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
