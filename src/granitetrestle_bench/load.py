"""An open-loop load generator: requests leave at their drawn times whether or not
earlier ones were answered, so that waiting is counted and not hidden. Bounded in
rate and time; targets 127.0.0.0/8 only."""

import collections
import random
import time
import typing as t

import anyio
from hdrh.histogram import HdrHistogram

from granitetrestle.calls import Caller
from granitetrestle.calls import CallFailure
from granitetrestle.calls import Reply

__all__ = ["Load", "Result", "run_load"]

MAX_SECONDS = 60.0
MAX_RATE = 5000.0
HIGHEST_US = 60_000_000


class Load(t.NamedTuple):
    """What to send.

    :param rate: requests a second, exponential gaps.
    :param targets: addresses, taken in turn.
    """

    targets: tuple[str, ...]
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    rate: float
    seconds: float
    seed: int
    timeout_s: float = 5.0


class Result(t.NamedTuple):
    """What came back; times in milliseconds, from the drawn time of leaving."""

    sent: int
    answered: int
    outcomes: dict[str, int]
    p50: float
    p99: float
    p999: float
    seconds: float


async def run_load(load: Load) -> Result:
    """Send a load and wait for all its answers.

    :raises ValueError: if the load is not bounded, or leaves this machine.
    """
    if load.seconds > MAX_SECONDS or load.rate > MAX_RATE:
        raise ValueError("the load is not bounded")
    if not all(target.startswith("127.") for target in load.targets):
        raise ValueError("a target is not in 127.0.0.0/8")
    draw = random.Random(load.seed)
    caller = Caller()
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    outcomes: collections.Counter[str] = collections.Counter()
    started = time.monotonic()
    due = started
    sent = 0
    async with anyio.create_task_group() as tasks:
        while due < started + load.seconds:
            due += draw.expovariate(load.rate)
            await anyio.sleep(max(0.0, due - time.monotonic()))
            target = load.targets[sent % len(load.targets)]
            sent += 1
            tasks.start_soon(_one, caller, load, target, due, histogram, outcomes)
    return Result(
        sent,
        outcomes["200"],
        dict(outcomes),
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        histogram.get_value_at_percentile(99.9) / 1000,
        time.monotonic() - started,
    )


async def _one(
    caller: Caller,
    load: Load,
    target: str,
    due: float,
    histogram: HdrHistogram,
    outcomes: "collections.Counter[str]",
) -> None:
    reply = await caller.call(
        target, load.path, load.headers, load.body, load.timeout_s
    )
    outcomes[_kind(reply)] += 1
    if isinstance(reply, Reply) and reply.status == 200:
        elapsed = int((time.monotonic() - due) * 1e6)
        histogram.record_value(min(HIGHEST_US, max(1, elapsed)))


def _kind(reply: Reply | CallFailure) -> str:
    return "failed" if isinstance(reply, CallFailure) else str(reply.status)
