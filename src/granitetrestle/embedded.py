"""uvicorn as one of several tasks of a process that has signals of its own."""

import contextlib
import typing as t

import anyio
import uvicorn

__all__ = ["EmbeddedServer"]

# uvicorn itself looks ten times a second, which costs an idle process processor time.
STOP_CHECK_INTERVAL_S: t.Final = 0.5


class EmbeddedServer(uvicorn.Server):
    """uvicorn inside this process; signals are the process's own business."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        """Leave signals alone."""
        yield

    async def main_loop(self) -> None:
        """Look for the stop less often than uvicorn does, to idle cheaply."""
        while not self.should_exit:
            await self.on_tick(0)
            await anyio.sleep(STOP_CHECK_INTERVAL_S)
