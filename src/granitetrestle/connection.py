"""HTTP/1.1 client connection over asyncio's transports and httptools, the parser that
uvicorn uses. A leader makes hundreds of calls a second on part of a core, for which
general HTTP clients are too slow. :mod:`.calls` keeps the pool of connections."""

import asyncio
import socket
import typing as t

import httptools

__all__ = ["Connection", "ConnectionLost", "Response", "connect"]

# A server that lost power sends no reset: unacknowledged data closes the connection
# after this time.
USER_TIMEOUT_MS: t.Final = 4000
CONNECT_TIMEOUT_S: t.Final = 1.0


class ConnectionLost(Exception):
    """The connection failed before the answer was complete."""


class Response(t.NamedTuple):
    """A complete HTTP answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    :param limit: maximum length of an answer, in bytes.
    :param count_open: called with 1 when the connection opens, and -1 when it closes.
    :ivar idle: whether it can take a request: open, with no request in flight.
    """

    def __init__(self, limit: int, count_open: t.Callable[[int], None]) -> None:
        self._count_open = count_open
        self._limit = limit
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[Response] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._keep_alive = True
        self._on_part: t.Callable[[int], None] | None = None
        self._parser: t.Any = None
        self.idle = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :class:`asyncio.Protocol`."""
        self._transport = t.cast(asyncio.Transport, transport)
        self._count_open(1)
        self.idle = True

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._count_open(-1)
        self._fail(f"connection lost: {exc!r}")

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._pending is None:
            self._fail("data without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"malformed answer: {error}")
        if self._pending is not None and self._on_part is not None:
            self._on_part(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by the parser."""
        self._headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self._size += len(data)
        if self._size > self._limit:
            self._fail(f"the answer has more than {self._limit} bytes")
        else:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Complete the answer; called by the parser."""
        pending, self._pending = self._pending, None
        if pending is None or pending.done():
            return
        self.idle = bool(self._parser.should_keep_alive())
        status = self._parser.get_status_code()
        response = Response(status, tuple(self._headers), b"".join(self._body))
        pending.set_result(response)

    def _fail(self, reason: str) -> None:
        self.idle = False
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(ConnectionLost(reason))
        self.close()

    async def exchange(
        self, request: bytes, on_part: t.Callable[[int], None] | None = None
    ) -> Response:
        """Send a request and return the whole answer.

        :param on_part: called with the size of each part of the answer but the last.
        :raises ConnectionLost: if the connection fails before the answer is complete.
        """
        if not self.idle or self._transport is None or self._transport.is_closing():
            raise ConnectionLost("the connection is not open")
        self.idle = False
        self._headers, self._body, self._size = [], [], 0
        self._on_part = on_part
        self._parser = httptools.HttpResponseParser(self)
        self._pending = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._pending

    def close(self) -> None:
        """Close at once."""
        self.idle = False
        if self._transport is not None:
            self._transport.close()


async def connect(
    host: str, port: int, limit: int, count_open: t.Callable[[int], None]
) -> Connection:
    """Open a connection.

    :param limit: maximum length of an answer, in bytes.
    :param count_open: called with 1 when the connection opens, and -1 when it closes.
    :raises OSError: if it can't be opened, or not within ``CONNECT_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, connection = await loop.create_connection(
            lambda: Connection(limit, count_open), host, port
        )
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return connection
