"""Weighted fair queue of requests that wait for a slot. Each client account has a
bounded queue of its own, so a burst of one account does not delay the others."""

import collections
import dataclasses
import typing as t

__all__ = ["FairQueue"]


@dataclasses.dataclass(slots=True)
class _AccountQueue:
    start_tag: float = 0.0
    requests: "collections.OrderedDict[str, None]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class FairQueue:
    """The queue of one service: start-time fair queueing over accounts."""

    def __init__(self) -> None:
        self._queues: dict[str, _AccountQueue] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        queue = self._queues.get(account)
        return len(queue.requests) if queue else 0

    def push(self, account: str, request: str) -> None:
        """Append a request to the queue of its account."""
        queue = self._queues.get(account)
        if queue is None:
            queue = self._queues[account] = _AccountQueue(start_tag=self._virtual_time)
        queue.requests[request] = None
        self._length += 1

    def discard(self, account: str, request: str) -> bool:
        """Remove a request; returns whether it was waiting."""
        queue = self._queues.get(account)
        if queue is None or request not in queue.requests:
            return False
        del queue.requests[request]
        self._length -= 1
        if not queue.requests:
            del self._queues[account]
        return True

    def pop(
        self, weight: t.Callable[[str], float], allowed: t.Callable[[str], bool]
    ) -> str | None:
        """Remove and return the next request in fair order.

        :param weight: account -> weight from the table.
        :param allowed: account -> whether it may have one more request in flight.
        """
        ready = [(queue.start_tag, name) for name, queue in self._queues.items()]
        for start_tag, account in sorted(ready):
            if not allowed(account):
                continue
            queue = self._queues[account]
            request, _ = queue.requests.popitem(last=False)
            self._length -= 1
            self._virtual_time = max(self._virtual_time, start_tag)
            queue.start_tag = max(start_tag, self._virtual_time) + 1.0 / weight(account)
            if not queue.requests:
                del self._queues[account]
            return request
        return None

    def requests_ahead(self, account: str, weight: t.Callable[[str], float]) -> float:
        """Return how many waiting requests are served before a new one of ``account``."""
        own = self.waiting(account)
        own_weight = weight(account)
        ahead = float(own)
        for other, queue in self._queues.items():
            if other != account:
                fair = (own + 1) * weight(other) / own_weight
                ahead += min(len(queue.requests), fair)
        return ahead
