"""Decisions on the keys of requests that must run at most once (promise 6).

In each epoch one process decides on a key, and answers ``run`` to exactly one
request. A key that an earlier epoch may have granted is answered ``too_old``."""

import typing as t
import zlib

__all__ = ["KeyLedger", "Verdict", "key_hall", "key_shard"]

Verdict: t.TypeAlias = t.Literal["run", "seen", "too_old", "not_owner"]
MAX_KEY_AGE_S = 600.0
MAX_KEYS = 200_000
MAX_KEY_AHEAD_S = 0.6
PRUNE_INTERVAL_S = 30.0


def _hash(*parts: str) -> int:
    return zlib.crc32("\0".join(parts).encode())


def key_hall(account: str, key: str, halls: t.Sequence[str]) -> str:
    """Return the data hall that decides on a key; every process finds the same."""
    return max(sorted(halls), key=lambda hall: _hash(hall, account, key))


def key_shard(account: str, key: str, shards: int) -> int:
    """Return the shard whose owner decides on a key."""
    return _hash(account, key) % shards


class KeyLedger:
    """Decisions on keys in one epoch.

    :param since_wall: wall time (s) before which keys may have been decided by
        an earlier epoch; includes the clock margin.
    """

    def __init__(self, since_wall: float) -> None:
        self._since_wall = since_wall
        self._next_prune_at = 0.0
        self._decided: dict[tuple[str, str], tuple[float, str]] = {}

    def __len__(self) -> int:
        return len(self._decided)

    def decide(
        self, account: str, key: str, issued_at: float, wall: float, request: str
    ) -> Verdict:
        """Decide whether a request with a key may run.

        :param issued_at: wall time (s) at which the caller made the key.
        :returns: ``run`` the first time, then ``seen``; ``too_old`` for keys from
            before this epoch, older than ``MAX_KEY_AGE_S`` or too far in the
            future; ``not_owner`` when the ledger is full.
        """
        if (account, key) in self._decided:
            return "seen"
        if issued_at <= max(self._since_wall, wall - MAX_KEY_AGE_S):
            return "too_old"
        if issued_at > wall + MAX_KEY_AHEAD_S:
            # It would look newer than the next epoch, which could grant it again.
            return "too_old"
        if len(self._decided) >= MAX_KEYS:
            return "not_owner"
        self._decided[(account, key)] = (issued_at, request)
        return "run"

    def release(self, account: str, key: str, request: str) -> None:
        """Free a key whose request was granted but provably did not run."""
        decided = self._decided.get((account, key))
        if decided is not None and decided[1] == request:
            del self._decided[(account, key)]

    def prune(self, wall: float) -> None:
        """Remove keys that are refused by their age alone, once per interval."""
        if wall < self._next_prune_at:
            return
        self._next_prune_at = wall + PRUNE_INTERVAL_S
        for name, (issued_at, _) in list(self._decided.items()):
            if issued_at <= wall - MAX_KEY_AGE_S:
                del self._decided[name]
