"""A stand-in for the platform's advice service over HTTP: one call of a caller at a time,
in turn, and a refusal while too many wait. Every box may run every step."""

import asyncio
import collections
import json
import time
import typing as t

from granitetrestle_standins.adviceservice import MAX_WAITING
from granitetrestle_standins.boxserver import Reply
from granitetrestle_standins.boxserver import json_reply

__all__ = ["AdviceServer"]


class AdviceServer:
    """Answers calls, and counts them.

    :param decide_ms: duration of a call, beside the time for each box.
    """

    def __init__(self, decide_ms: float, each_ms: float, valid_ms: float) -> None:
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self._turns: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self._open: collections.Counter[str] = collections.Counter()
        self._counts = {"answered": 0, "refused": 0, "most_open": 0}
        self._silent_until = 0.0
        self._slowness = 1.0

    @property
    def route(self) -> dict[str, float]:
        """What the route of the queue says of the service."""
        return {
            "decide_ms": self.decide_ms,
            "each_ms": self.each_ms,
            "valid_ms": self.valid_ms,
        }

    def hook(self, query: t.Mapping[str, str]) -> Reply:
        """Return the counts; ``silent=S`` handles nothing for S seconds, ``times=X`` lets
        calls take X times as long."""
        self._silent_until = time.monotonic() + float(query.get("silent", "0"))
        self._slowness = float(query.get("times", self._slowness))
        return json_reply(200, self._counts)

    async def answer(self, caller: str, body: bytes) -> Reply:
        """Return the answer to a call.

        :param caller: address of the calling machine.
        """
        if self._open[caller] > MAX_WAITING:
            self._counts["refused"] += 1
            return json_reply(429, {})
        self._open[caller] += 1
        most_open = max(self._counts["most_open"], self._open[caller])
        self._counts["most_open"] = most_open
        try:
            async with self._turns[caller]:
                await asyncio.sleep(self._silent_until - time.monotonic())
                workers = json.loads(body)["workers"]
                took_ms = self.decide_ms + self.each_ms * len(workers)
                await asyncio.sleep(took_ms * self._slowness / 1000.0)
                self._counts["answered"] += 1
                good = [[box_id, f"ticket-{box_id}"] for box_id in workers]
                return json_reply(200, {"good": good, "valid_ms": self.valid_ms})
        finally:
            self._open[caller] -= 1
