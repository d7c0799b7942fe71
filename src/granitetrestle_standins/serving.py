"""How every stand-in serves HTTP: uvicorn inside the process, on an IP number."""

import contextlib
import typing as t

import uvicorn
from starlette.types import ASGIApp

__all__ = ["serve"]


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        """Leave signals to the interpreter's defaults."""
        yield


async def serve(app: ASGIApp, ip: str, port: int, limit: int | None = None) -> None:
    """Serve ``app`` until the process ends.

    :param limit: most connections at a time; more are refused with 503.
    """
    config = uvicorn.Config(
        app,
        host=ip,
        port=port,
        loop="asyncio",
        http="h11",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=5,
        limit_concurrency=limit,
    )
    await _Server(config).serve()
