"""Long computations in slices, between which the event loop turns. A process whose
event loop stands still says nothing to others, which then take it for dead."""

import time
import typing as t

import anyio

__all__ = ["SlicedWork", "run_to_completion", "in_slices"]

SLICE_S: t.Final = 0.02
# Long enough for what came meanwhile to be taken up, in several turns.
SLICE_PAUSE_S: t.Final = 0.001

T = t.TypeVar("T")
SlicedWork: t.TypeAlias = t.Generator[None, None, T]


def run_to_completion(work: SlicedWork[T]) -> T:
    """Return the result of a computation."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return t.cast(T, stop.value)


async def in_slices(work: SlicedWork[T]) -> T:
    """Return the result of a computation; others have their turns meanwhile."""
    slice_started = time.monotonic()
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return t.cast(T, stop.value)
        if time.monotonic() - slice_started > SLICE_S:
            await anyio.sleep(SLICE_PAUSE_S)
            slice_started = time.monotonic()
