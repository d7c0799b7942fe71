"""How long appends take: the duration of short ones, and the rate at which the link to
the store carries long ones, both learnt from appends that were answered.

With fixed timeouts, an append that takes longer on the link fails at every attempt, and
for each successor in the same way. So batches are short enough for the link, and what
is expected of an append grows with its size."""

import typing as t

__all__ = ["DEFAULT_LINK_BYTES_PER_S", "AppendPace"]

# Used where the settings name no link.
DEFAULT_LINK_BYTES_PER_S: t.Final = 1_250_000.0
# How long a batch may take on the link. Appends confirm the leader, which counts as
# without the store after half a second.
BATCH_TRANSFER_S: t.Final = 0.2
MIN_BATCH_BYTES: t.Final = 16_000
# Appends below this size are short: their duration says nothing about the link.
SHORT_APPEND_BYTES: t.Final = 4_000
INITIAL_DURATION_S: t.Final = 0.012
DURATION_SMOOTHING_FACTOR: t.Final = 0.1
MIN_TRANSFER_S: t.Final = 0.001
# Only appends of this share of a batch or more change the rate, by this factor at most.
MIN_SAMPLE_SHARE: t.Final = 0.25
MAX_RATE_CHANGE: t.Final = 2.0


class AppendPace:
    """Durations of appends over one link.

    :param max_batch_bytes: upper limit of a batch on any link.
    :param bytes_per_s: rate of the link at first.
    """

    def __init__(
        self, max_batch_bytes: int, bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    ) -> None:
        self._max_batch_bytes = max_batch_bytes
        self._bytes_per_s = bytes_per_s
        self._short_s = INITIAL_DURATION_S

    @property
    def short_s(self) -> float:
        """Mean duration of a short append, in seconds."""
        return self._short_s

    @property
    def batch_bytes(self) -> int:
        """Upper limit of the bytes of a batch now."""
        carried = int(self._bytes_per_s * BATCH_TRANSFER_S)
        return min(self._max_batch_bytes, max(MIN_BATCH_BYTES, carried))

    def transfer_s(self, size: int) -> float:
        """Return how long the link needs for ``size`` bytes, in seconds."""
        return size / self._bytes_per_s

    def record_answered(self, size: int, duration_s: float) -> None:
        """Record an append that the first attempt has completed."""
        if size < SHORT_APPEND_BYTES:
            self._short_s += DURATION_SMOOTHING_FACTOR * (duration_s - self._short_s)
            return
        transfer_s = max(MIN_TRANSFER_S, duration_s - self._short_s)
        self._change_rate(size, size / transfer_s)

    def record_late(self, size: int) -> None:
        """Record that an append takes longer than its size explains."""
        self._change_rate(size, 0.0)

    def _change_rate(self, size: int, bytes_per_s: float) -> None:
        if size < MIN_SAMPLE_SHARE * self.batch_bytes:
            return
        lowest = max(
            self._bytes_per_s / MAX_RATE_CHANGE, MIN_BATCH_BYTES / BATCH_TRANSFER_S
        )
        highest = self._bytes_per_s * MAX_RATE_CHANGE
        self._bytes_per_s = max(lowest, min(highest, bytes_per_s))
