"""Durations of leases and exchanges on the older path, and the shard of a box."""

import typing as t
import zlib

__all__ = ["PlacementParameters", "shard_of"]


class PlacementParameters(t.NamedTuple):
    """Durations in seconds.

    :param lease_s: how long a box runs a task without a lease renewal.
    :param start_window_s: maximum age of a start command when it arrives.
    :param clock_margin_s: maximum difference of the wall clocks of two machines.
    :param exchange_s: interval of exchanges with a box that has nothing to start.
    :param orphan_s: how long an owner whose term has ended goes on renewing the leases
        of running tasks.
    """

    lease_s: float = 10.0
    start_window_s: float = 1.0
    clock_margin_s: float = 0.3
    exchange_s: float = 1.0
    orphan_s: float = 600.0

    def renewals_end_wall(self, superseded_at: float) -> float:
        """Return the wall time (s) after which an owner renews no lease and prolongs no
        loan that lost its shard at ``superseded_at``, by another machine's clock."""
        return superseded_at + self.orphan_s + self.clock_margin_s


def shard_of(box: str, shards: int) -> int:
    """Return the shard of a box. All processes and releases must agree on it."""
    return zlib.crc32(box.encode()) % shards
