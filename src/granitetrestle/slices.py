"""Cooperative scheduling of long computations: they run in slices, between which the
event loop gets its turn. A process whose event loop is blocked sends no reports, and
its peers take it for dead."""

import time
import typing as t

import anyio

__all__ = ["SlicedWork", "run_to_completion", "in_slices"]

SLICE_S: t.Final = 0.02
# Long enough for several turns of the event loop, which handle what arrived meanwhile.
SLICE_PAUSE_S: t.Final = 0.001

T = t.TypeVar("T")
SlicedWork: t.TypeAlias = t.Generator[None, None, T]


def run_to_completion(work: SlicedWork[T]) -> T:
    """Run a computation in one go and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return t.cast(T, stop.value)


async def in_slices(work: SlicedWork[T]) -> T:
    """Run a computation in slices and return its result; other tasks run in between."""
    slice_started = time.monotonic()
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return t.cast(T, stop.value)
        if time.monotonic() - slice_started > SLICE_S:
            await anyio.sleep(SLICE_PAUSE_S)
            slice_started = time.monotonic()
