"""HTTP calls to endpoints, peers, boxes and the platform. Connections are held
directly, in a free list for each address, so that a slot is a
connection and it is known exactly whether the first byte has left."""

import time
import typing as t

import anyio
import httpcore

from .events import Proof

__all__ = ["CallFailure", "Caller", "Reply"]

IDLE_S = 3.0
FRESH_S = 0.5
MAX_BODY = 1024 * 1024
MAX_IDLE = 64
DEFAULT_TIMEOUT_S = 2.0
REQUEST_ID = "x-request-id"
REFUSED = b"x-refused"


class Reply(t.NamedTuple):
    """A whole answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return a header's value, or nothing."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


class CallFailure(t.NamedTuple):
    """No whole answer, and what that proves."""

    proof: Proof


class _Idle(t.NamedTuple):
    connection: httpcore.AsyncHTTPConnection
    since: float


class Caller:
    """Keeps idle connections by address and makes calls on them."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}

    async def call(
        self,
        address: str,
        path: str,
        headers: t.Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        fresh: bool = False,
        method: str = "POST",
        limit: int = MAX_BODY,
    ) -> Reply | CallFailure:
        """Send one request to an address and read the whole answer.

        :param timeout_s: seconds after which the connection is closed.
        :param limit: longest answer taken, in bytes.
        :param fresh: use only a connection known good a moment ago, or a new
            one.
        :returns: the reply, or a failure with the proof that it gives.
        """
        connection = await self._take(address, FRESH_S if fresh else IDLE_S)
        done = False
        try:
            with anyio.move_on_after(timeout_s):
                outcome = await self._exchange(
                    connection, address, path, headers, body, method, limit
                )
                done = isinstance(outcome, Reply)
                return outcome
            return CallFailure(Proof(True, "no answer in time"))
        finally:
            if done and connection.is_idle():
                self._keep(address, connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()

    async def _take(self, address: str, max_age: float) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.get(address, [])
        while idle and time.monotonic() - idle[-1].since < max_age:
            held = idle.pop()
            if not held.connection.has_expired():
                return held.connection
            await held.connection.aclose()
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=IDLE_S)

    def _keep(self, address: str, connection: httpcore.AsyncHTTPConnection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) < MAX_IDLE:
            idle.append(_Idle(connection, time.monotonic()))

    async def prune(self) -> None:
        """Close connections before the far side does."""
        limit = time.monotonic() - IDLE_S
        for address, idle in list(self._idle.items()):
            old = [held for held in idle if held.since < limit]
            idle[:] = [held for held in idle if held.since >= limit]
            if not idle:
                del self._idle[address]
            for held in old:
                await held.connection.aclose()

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        address: str,
        path: str,
        headers: t.Sequence[tuple[bytes, bytes]],
        body: bytes,
        method: str,
        limit: int,
    ) -> Reply | CallFailure:
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=[
                (b"host", address.encode()),
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
            content=body,
        )
        try:
            response = await connection.handle_async_request(request)
            return await _read(response, limit)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return CallFailure(Proof(False, f"not connected: {error!r}"))
        except (
            httpcore.ConnectionNotAvailable,
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            unsent = isinstance(error, httpcore.ConnectionNotAvailable)
            return CallFailure(Proof(not unsent, f"connection lost: {error!r}"))


async def _read(response: httpcore.Response, limit: int) -> Reply | CallFailure:
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in response.aiter_stream():
            size += len(chunk)
            if size > limit:
                return CallFailure(Proof(True, "the answer is too long"))
            chunks.append(chunk)
    finally:
        await response.aclose()
    headers = tuple((key, value) for key, value in response.headers)
    reply = Reply(response.status, headers, b"".join(chunks))
    if reply.header(REFUSED):
        return CallFailure(Proof(False, "the endpoint refused before it began"))
    return reply
