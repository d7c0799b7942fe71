"""Signals of a process that is stopped gracefully.

They are handled for as long as the process runs. Without a handler each of them ends the
process at once, with the requests in flight: SIGHUP and a second SIGTERM during the
graceful stop as well."""

import contextlib
import signal
import typing as t

import anyio

__all__ = ["StopSignals", "ignore_hangup"]

STOPPING: t.Final = (signal.SIGTERM, signal.SIGINT)
HANDLED: t.Final = (*STOPPING, signal.SIGHUP)


def ignore_hangup() -> None:
    """Ignore SIGHUP until :class:`StopSignals` handles it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


class StopSignals:
    """Handles signals from entry to exit; after that, they are ignored.

    :param on_hangup: called for each SIGHUP.
    """

    def __init__(self, on_hangup: t.Callable[[], None] = lambda: None) -> None:
        self._on_hangup = on_hangup
        self._stop = anyio.Event()
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> t.Self:
        receiver = anyio.open_signal_receiver(*HANDLED)
        self._signals = self._stack.enter_context(receiver)
        return self

    def __exit__(self, *error: object) -> None:
        self._stack.close()
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)

    async def run(self) -> None:
        """Handle signals until cancelled."""
        async for number in self._signals:
            if number in STOPPING:
                self._stop.set()
            else:
                self._on_hangup()

    async def wait(self) -> None:
        """Return once a signal has asked the process to stop."""
        await self._stop.wait()
