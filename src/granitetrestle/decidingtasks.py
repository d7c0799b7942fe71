"""Tasks that decide on the same state. An error in one of them leaves the state half
changed, so all of them end before another one can run."""

import typing as t

import anyio
import anyio.abc

__all__ = ["DecidingTasks"]

_Function: t.TypeAlias = t.Callable[..., t.Coroutine[t.Any, t.Any, None]]


class DecidingTasks:
    """The tasks of one leader's session."""

    def __init__(self) -> None:
        self._group: anyio.abc.TaskGroup | None = None
        self._over = False

    @property
    def over(self) -> bool:
        """Whether the tasks have ended, or are being cancelled."""
        return self._over

    def run_in(self, group: anyio.abc.TaskGroup) -> None:
        """Set the task group in which the tasks run."""
        self._group = group

    def start(self, function: _Function, *args: t.Any) -> None:
        """Start a task."""
        assert self._group is not None
        self._group.start_soon(self._run, function, args)

    async def _run(self, function: _Function, args: tuple[t.Any, ...]) -> None:
        try:
            await function(*args)
        except Exception:
            # The group itself cancels the other tasks only in a later turn of the loop.
            self.end()
            raise

    def end(self) -> None:
        """Cancel all tasks."""
        self._over = True
        if self._group is not None:
            self._group.cancel_scope.cancel()
