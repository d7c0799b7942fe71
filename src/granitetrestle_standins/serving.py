"""How every stand-in serves HTTP: uvicorn inside the process, on an IP number."""

import asyncio
import contextlib
import functools
import typing as t

import uvicorn
from starlette.types import ASGIApp

__all__ = ["Gate", "serve"]


class Gate:
    """Whether anybody listens at an address. While it is shut connections are refused,
    and those that were open have ended, as with the process that held them."""

    def __init__(self) -> None:
        self._server: _Server | None = None

    def guards(self, server: "_Server") -> None:
        """Take a server whose connections this is about."""
        self._server = server

    def shut(self) -> None:
        """End all connections and refuse new ones."""
        if self._server is not None:
            self._server.leave()

    def open(self) -> None:
        """Take connections again."""
        if self._server is not None:
            self._server.come_back()


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        """Leave signals to the interpreter's defaults."""
        yield

    def leave(self) -> None:
        """Listen no more, and end all connections."""
        for listener in self.servers:
            listener.close()
        self.servers = []
        for connection in list(self.server_state.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def come_back(self) -> None:
        """Listen again."""
        task = asyncio.create_task(self._listen())
        # Kept until it has ended: the loop itself holds no reference.
        self.server_state.tasks.add(task)
        task.add_done_callback(self.server_state.tasks.discard)

    async def _listen(self) -> None:
        # As uvicorn itself makes them.
        protocol = functools.partial(
            t.cast(t.Any, self.config.http_protocol_class),
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            protocol, self.config.host, self.config.port, backlog=self.config.backlog
        )
        self.servers.append(listener)


async def serve(
    app: ASGIApp,
    ip: str,
    port: int,
    limit: int | None = None,
    gate: Gate | None = None,
) -> None:
    """Serve ``app`` until the process ends.

    :param limit: most connections at a time; more are refused with 503.
    :param gate: decides whether anybody listens.
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
    server = _Server(config)
    if gate is not None:
        gate.guards(server)
    await server.serve()
