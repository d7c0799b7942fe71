"""Excludes long-lived objects from garbage collection. Each collection walks all
tracked objects, and the event loop is blocked meanwhile."""

import contextlib
import gc
import typing as t

__all__ = ["freeze_allocations", "unfreeze_allocations"]


@contextlib.contextmanager
def freeze_allocations() -> t.Iterator[None]:
    """Disable the collector within the block and freeze all objects at its end.

    Loading the records of 56,000 running tasks takes 2.1 s of processor time with the
    collector and 0.6 s without; one collection of the loaded objects takes 0.9 s.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()


def unfreeze_allocations() -> None:
    """Make frozen objects collectable again, once they are no longer used."""
    gc.unfreeze()
