"""Requests that wait for a slot, one bounded line for each account, served in
weighted fair order so that one account's flood leaves the others' wait alone."""

import collections
import dataclasses
import typing as t

__all__ = ["FairQueue"]


@dataclasses.dataclass(slots=True)
class _Line:
    tag: float = 0.0
    requests: "collections.OrderedDict[str, None]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class FairQueue:
    """The line of one service: start-time fair queueing over accounts."""

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, account: str) -> int:
        """Return how many requests of an account wait."""
        line = self._lines.get(account)
        return len(line.requests) if line else 0

    def push(self, account: str, request: str) -> None:
        """Add a request at the end of its account's line."""
        line = self._lines.get(account)
        if line is None:
            line = self._lines[account] = _Line(tag=self._virtual)
        line.requests[request] = None
        self._length += 1

    def discard(self, account: str, request: str) -> bool:
        """Take a request out; says whether it waited."""
        line = self._lines.get(account)
        if line is None or request not in line.requests:
            return False
        del line.requests[request]
        self._length -= 1
        if not line.requests:
            del self._lines[account]
        return True

    def pop(
        self, weight: t.Callable[[str], float], allowed: t.Callable[[str], bool]
    ) -> str | None:
        """Return the next request in fair order, taken out of its line.

        :param weight: account -> weight from the table.
        :param allowed: account -> whether it may have one more in flight.
        """
        ready = [(line.tag, name) for name, line in self._lines.items()]
        for tag, account in sorted(ready):
            if not allowed(account):
                continue
            line = self._lines[account]
            request, _ = line.requests.popitem(last=False)
            self._length -= 1
            self._virtual = max(self._virtual, tag)
            line.tag = max(tag, self._virtual) + 1.0 / weight(account)
            if not line.requests:
                del self._lines[account]
            return request
        return None

    def share_ahead(self, account: str, weight: t.Callable[[str], float]) -> float:
        """Return how many requests go before a new one of ``account``."""
        own = self.waiting(account)
        mine = weight(account)
        ahead = float(own)
        for other, line in self._lines.items():
            if other != account:
                fair = (own + 1) * weight(other) / mine
                ahead += min(len(line.requests), fair)
        return ahead
