"""Limits on the starts of one placement pass, in all and by path.

A task that is placed before its start can be sent reserves room that others could use,
and can't be reordered any more."""

import typing as t

__all__ = ["UNLIMITED_STARTS", "StartLimits"]

# Larger than any number of waiting tasks.
UNLIMITED_STARTS: t.Final = 1_000_000_000


def _one_path(hall: str) -> str:
    return ""


class StartLimits:
    """How many starts a placement pass may make.

    :param total: how many in all; a gang may exceed it.
    :param by_path: how many of them on each path. A path that isn't named has no limit.
    :param path_of: maps a data hall to its path.
    :ivar path_exhausted: whether a box was passed over for the limit of its path.
    """

    def __init__(
        self,
        total: int = UNLIMITED_STARTS,
        by_path: t.Mapping[str, int] | None = None,
        path_of: t.Callable[[str], str] = _one_path,
    ) -> None:
        self.total = total
        self._left = dict(by_path or {})
        self._path_of = path_of
        self.path_exhausted = False

    def allows(self, hall: str) -> bool:
        """Return whether a task may be started in a data hall."""
        if self._left.get(self._path_of(hall), 1) > 0:
            return True
        self.path_exhausted = True
        return False

    def is_exhausted(self, hall: str) -> bool:
        """Return whether no start can be sent to a data hall soon."""
        return self.total <= 0 or self._left.get(self._path_of(hall), 1) <= 0

    def record_start(self, hall: str) -> None:
        """Count a start in a data hall."""
        path = self._path_of(hall)
        if path in self._left:
            self._left[path] -= 1
