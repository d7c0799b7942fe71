"""uvicorn server that runs as a task of a process which handles signals itself."""

import contextlib
import typing as t

import anyio
import uvicorn

__all__ = ["EmbeddedServer"]

# uvicorn's own interval of 0.1 s uses processor time in an idle process.
STOP_CHECK_INTERVAL_S: t.Final = 0.5


class EmbeddedServer(uvicorn.Server):
    """uvicorn server without signal handlers; the process installs its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        """Install no signal handlers."""
        yield

    async def main_loop(self) -> None:
        """Check ``should_exit`` less often than uvicorn does, to save processor time."""
        while not self.should_exit:
            await self.on_tick(0)
            await anyio.sleep(STOP_CHECK_INTERVAL_S)
