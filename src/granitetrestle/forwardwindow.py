"""Limit of the requests that one process has under way to the leader.

All processes forward to one leader over its link. Without a limit, what clients send while
there is no leader, or more than the link carries, delays the answers of the store to the
leader: it counts as without the store and is replaced, and so is each successor. What is
over the limit waits where it arrived, and can still be refused there."""

import typing as t

__all__ = ["ForwardWindow"]

# What the processes together may have under way, as the time that a link needs for it.
# A leader counts as without the store after twice as long.
LINK_TIME_S: t.Final = 0.25
# What a message holds beside the body of the request.
MESSAGE_BYTES: t.Final = 200


class ForwardWindow:
    """Requests under way to one leader, and those that wait for their turn.

    :param link_bytes_per_s: bandwidth of the link of this process, and about that of the
        leader.
    :param processes: returns how many processes forward to the leader.
    """

    def __init__(
        self, link_bytes_per_s: float, processes: t.Callable[[], int] = lambda: 1
    ) -> None:
        self._limit_bytes = link_bytes_per_s * LINK_TIME_S
        self._processes = processes
        self._target: object = None
        # Request -> its bytes.
        self._under_way: dict[int, int] = {}
        # Request -> what wakes it, in the order of arrival.
        self._waiting: dict[int, t.Callable[[], None]] = {}

    def enter(
        self, number: int, target: object, size: int, wake: t.Callable[[], None]
    ) -> bool:
        """Return whether a request may be sent; if not, it waits for its turn. At least
        one may be under way, whatever its size.

        :param target: the leader and its epoch; a new one discards what was under way.
        :param size: bytes of its body.
        :param wake: called when it should try again.
        """
        if target != self._target:
            self._target = target
            self._under_way.clear()
        if number in self._under_way:
            return True
        self._waiting[number] = wake
        size += MESSAGE_BYTES
        under_way = sum(self._under_way.values())
        limit = self._limit_bytes / max(1, self._processes())
        first = next(iter(self._waiting)) == number
        if not first or (under_way and under_way + size > limit):
            return False
        del self._waiting[number]
        self._under_way[number] = size
        self._wake_first()
        return True

    def leave(self, number: int) -> None:
        """Record that a request was answered, or has ended without an answer."""
        self._waiting.pop(number, None)
        self._under_way.pop(number, None)
        self._wake_first()

    def _wake_first(self) -> None:
        for wake in self._waiting.values():
            wake()
            return
