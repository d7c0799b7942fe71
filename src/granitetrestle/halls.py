"""Digests of the other data halls' state.

The aggregators of the halls exchange digests and send them on to the members of
their own hall. A digest is only a hint for routing and status: no guarantee
depends on it."""

import dataclasses
import typing as t

from .messages import HallDigest
from .messages import HallDigests

__all__ = ["Halls", "KnownDigest"]

DIGEST_INTERVAL_S = 2.0
MAX_DIGEST_AGE_S = 10.0


@dataclasses.dataclass(slots=True)
class KnownDigest:
    """A digest and the monotonic time at which it was first received."""

    digest: HallDigest
    received_at: float
    sender: str


class Halls:
    """The newest digest of each other hall.

    :param hall: this process's hall.
    :param nodes: hall -> nodes, from the settings.
    """

    def __init__(self, hall: str, nodes: t.Mapping[str, tuple[str, ...]]) -> None:
        self._hall = hall
        self._nodes = nodes
        self._known: dict[str, KnownDigest] = {}
        self._rotation = 0
        self._sent_at = -1e18
        self._version = 0

    @property
    def known(self) -> t.Mapping[str, KnownDigest]:
        """Hall -> newest digest."""
        return self._known

    def record_digests(self, sender: str, message: HallDigests, now: float) -> None:
        """Store the digests that are newer than the known ones."""
        for digest in message.digests:
            known = self._known.get(digest.hall)
            if digest.hall == self._hall:
                continue
            if known is None or self._is_newer(digest, known, now):
                self._known[digest.hall] = KnownDigest(digest, now, sender)

    @staticmethod
    def _is_newer(digest: HallDigest, known: KnownDigest, now: float) -> bool:
        # Versions follow the wall clock, so they grow also when a whole hall restarts.
        return digest.version > known.digest.version

    def is_send_due(self, now: float) -> bool:
        """Return whether digests should be sent now, and count them as sent if so."""
        if now - self._sent_at < DIGEST_INTERVAL_S:
            return False
        self._sent_at = now
        return True

    def next_version(self, wall: float) -> int:
        """Return a digest version above all earlier ones of this hall.

        :param wall: wall time in seconds.
        """
        self._version = max(self._version + 1, int(wall * 10))
        return self._version

    def with_own(self, own: HallDigest) -> HallDigests:
        """Return ``own`` and all other digests, for the members of this hall."""
        others = tuple(known.digest for known in self._known.values())
        return HallDigests((own, *others))

    def next_targets(self) -> list[str]:
        """Return one node of each other hall, in rotation."""
        self._rotation += 1
        return [
            nodes[self._rotation % len(nodes)]
            for hall, nodes in self._nodes.items()
            if hall != self._hall and nodes
        ]

    def halls_serving(self, service: str, now: float) -> list[str]:
        """Return the halls that serve ``service``, those with most slots first."""
        found = [
            (-known.digest.services[service], hall)
            for hall, known in self._known.items()
            if service in known.digest.services
            and now - known.received_at < MAX_DIGEST_AGE_S
        ]
        return [hall for _, hall in sorted(found)]

    def reachable(self, hall: str, now: float) -> bool:
        """Return whether the hall's digest is at most ``MAX_DIGEST_AGE_S`` old."""
        known = self._known.get(hall)
        return known is not None and now - known.received_at < MAX_DIGEST_AGE_S

    def first_reachable(self, now: float) -> str:
        """Return the first by name of this hall and the reachable ones."""
        halls = [hall for hall in self._known if self.reachable(hall, now)]
        return min([self._hall, *halls])

    def pick_node(self, hall: str, now: float, avoid: t.Container[str]) -> str | None:
        """Return a process of ``hall`` to send a request to, in rotation.

        Prefers the live processes of its digest to those of the settings.

        :param avoid: processes that are not returned.
        """
        known = self._known.get(hall)
        live = sorted(known.digest.nodes) if known is not None else []
        nodes = [n for n in live or self._nodes.get(hall, ()) if n not in avoid]
        if not nodes:
            return None
        self._rotation += 1
        return nodes[self._rotation % len(nodes)]
