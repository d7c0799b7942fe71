"""Heartbeats of a data hall's processes, which renew their ownership leases.

Each process numbers its heartbeats. One process of the hall, the aggregator,
appends all of them to the log in one small append, so that renewing the leases
of a whole hall costs about one append a second. A process whose heartbeat does
not appear on the log in time appends its own."""

import typing as t

from .events import AppendFacts
from .events import Effect
from .events import SendPeer
from .messages import BeatSent
from .ownership import Ownership
from .records import Beat
from .records import Renewed

__all__ = ["Heartbeat"]

HEARTBEAT_INTERVAL_S = 0.8
OWN_APPEND_TIMEOUT_S = 1.5


class Heartbeat:
    """This process's heartbeats, and those that it collects from others."""

    def __init__(
        self, stream: str, node: str, incarnation: str, ownership: Ownership
    ) -> None:
        self._stream = stream
        self._node = node
        self._incarnation = incarnation
        self._ownership = ownership
        self._number = 0
        self._last_sent_at = -1e18
        self._collected: dict[str, Beat] = {}

    def collect(self, beat: Beat) -> None:
        """Keep another process's heartbeat for the next append."""
        known = self._collected.get(beat.node)
        if (
            known is None
            or known.incarnation != beat.incarnation
            or known.number < beat.number
        ):
            self._collected[beat.node] = beat

    def remove_appended(self, beats: t.Iterable[Beat]) -> None:
        """Remove collected heartbeats that have appeared on the log."""
        for beat in beats:
            known = self._collected.get(beat.node)
            if known is not None and known.number <= beat.number:
                del self._collected[beat.node]

    def tick(self, now: float, config_offset: int, stopping: bool) -> list[Effect]:
        """Return the effects of the next heartbeat if it is due.

        :param config_offset: offset up to which this process's table is applied.
        :param stopping: whether this process is in a planned stop.
        """
        if now - self._last_sent_at < HEARTBEAT_INTERVAL_S:
            return []
        self._last_sent_at = now
        self._number += 1
        beat = Beat(
            self._node, self._incarnation, self._number, config_offset, stopping
        )
        self._ownership.record_heartbeat_sent(self._number, now)
        aggregator = self._ownership.aggregator(now)
        if aggregator == self._node:
            return [self._append(beat)]
        effects: list[Effect] = [SendPeer(aggregator, BeatSent(beat))]
        self._collected.clear()
        if self._own_heartbeat_missing(now):
            effects.append(self._append(beat))
        return effects

    def _own_heartbeat_missing(self, now: float) -> bool:
        own = self._ownership.members.get(self._node)
        if own is None or own.beat.incarnation != self._incarnation:
            return True
        return now - own.renewed_at > OWN_APPEND_TIMEOUT_S

    def _append(self, beat: Beat) -> Effect:
        others = [b for b in self._collected.values() if b.node != self._node]
        beats = (beat, *sorted(others, key=lambda b: b.node))
        return AppendFacts(self._stream, (Renewed(beats),), "beats", latest_only=True)
