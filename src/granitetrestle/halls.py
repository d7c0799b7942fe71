"""What this process knows of the other data halls: a brief digest of each,
passed between the halls' gatherers and from them to their hall's members. A
digest is advice for routing and status; no promise rests on it."""

import dataclasses
import typing as t

from .messages import HallDigest
from .messages import HallDigests

__all__ = ["Halls", "KnownDigest"]

DIGEST_INTERVAL_S = 2.0
MAX_DIGEST_AGE_S = 10.0


@dataclasses.dataclass(slots=True)
class KnownDigest:
    """A digest and the monotonic time at which it was first heard."""

    digest: HallDigest
    received_at: float
    sender: str


class Halls:
    """Newest digest of each hall.

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
        """Take newer digests over."""
        for digest in message.digests:
            known = self._known.get(digest.hall)
            if digest.hall == self._hall:
                continue
            if known is None or self._is_newer(digest, known, now):
                self._known[digest.hall] = KnownDigest(digest, now, sender)

    @staticmethod
    def _is_newer(digest: HallDigest, known: KnownDigest, now: float) -> bool:
        # A hall that restarted whole counts from a wall-clock based version.
        return digest.version > known.digest.version

    def is_send_due(self, now: float) -> bool:
        """Say whether digests should be sent now."""
        if now - self._sent_at < DIGEST_INTERVAL_S:
            return False
        self._sent_at = now
        return True

    def next_version(self, wall: float) -> int:
        """Return a version above all earlier ones of this hall."""
        self._version = max(self._version + 1, int(wall * 10))
        return self._version

    def with_own(self, own: HallDigest) -> HallDigests:
        """Return all digests, for the members of this hall."""
        others = tuple(known.digest for known in self._known.values())
        return HallDigests((own, *others))

    def next_targets(self) -> list[str]:
        """Return one node of each other hall, a different one each time."""
        self._rotation += 1
        return [
            nodes[self._rotation % len(nodes)]
            for hall, nodes in self._nodes.items()
            if hall != self._hall and nodes
        ]

    def halls_serving(self, service: str, now: float) -> list[str]:
        """Return the halls that serve ``service``, with most slots first."""
        found = [
            (-known.digest.services[service], hall)
            for hall, known in self._known.items()
            if service in known.digest.services
            and now - known.received_at < MAX_DIGEST_AGE_S
        ]
        return [hall for _, hall in sorted(found)]

    def reachable(self, hall: str, now: float) -> bool:
        """Say whether the hall was heard of lately."""
        known = self._known.get(hall)
        return known is not None and now - known.received_at < MAX_DIGEST_AGE_S

    def first_reachable(self, now: float) -> str:
        """Return the first hall by name that this one can reach, or itself."""
        halls = [hall for hall in self._known if self.reachable(hall, now)]
        return min([self._hall, *halls])

    def pick_node(self, hall: str, now: float, avoid: t.Container[str]) -> str | None:
        """Return a process of ``hall`` to send a request to."""
        known = self._known.get(hall)
        live = sorted(known.digest.nodes) if known is not None else []
        nodes = [n for n in live or self._nodes.get(hall, ()) if n not in avoid]
        if not nodes:
            return None
        self._rotation += 1
        return nodes[self._rotation % len(nodes)]
