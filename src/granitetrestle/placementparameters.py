"""How long placements of the older path last, and which shard a box belongs to."""

import typing as t
import zlib

__all__ = ["PlacementParameters", "shard_of"]


class PlacementParameters(t.NamedTuple):
    """Durations in seconds.

    :param lease_s: how long a box runs a task without a renewal.
    :param start_window_s: how old a start may be when it arrives.
    :param clock_margin_s: how far wall clocks of two machines may differ.
    :param exchange_s: time between two exchanges with a quiet box.
    :param orphan_s: how long an owner past its term renews what runs.
    """

    lease_s: float = 10.0
    start_window_s: float = 1.0
    clock_margin_s: float = 0.3
    exchange_s: float = 1.0
    orphan_s: float = 600.0


def shard_of(box: str, shards: int) -> int:
    """Return the shard of a box; the same in every process, for good."""
    return zlib.crc32(box.encode()) % shards
