"""HTTP calls to endpoints, peers, boxes and the platform. Connections are held
directly, in a free list for each address, so that a slot is a connection and it is
known exactly whether the first byte has left."""

import ipaddress
import time
import typing as t

import anyio

from .connection import Connection
from .connection import ConnectionLost
from .connection import Response
from .connection import connect
from .events import Proof

__all__ = ["CallFailure", "Caller", "Reply", "is_address"]

IDLE_S = 3.0
FRESH_S = 0.5
MAX_BODY = 1024 * 1024
MAX_IDLE = 64
# More connections than a process usually has descriptors for.
MOST_OPEN = 1_000_000
DEFAULT_TIMEOUT_S = 2.0
REQUEST_ID = "x-request-id"
REFUSED = b"x-refused"


def is_address(text: str) -> bool:
    """Say whether ``text`` is IP:PORT; names are not looked up."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65536


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
    """No whole answer, and what that proves.

    :param timed_out: whether the time was over, with the connection still open.
    """

    proof: Proof
    timed_out: bool = False


class _Idle(t.NamedTuple):
    connection: Connection
    since: float


class Caller:
    """Keeps idle connections by address and makes calls on them.

    :param most_open: connections that may be open at once. Without a bound a process that
        calls thousands of boxes runs out of descriptors, and all it does fails.
    """

    def __init__(self, most_open: int = MOST_OPEN) -> None:
        self._idle: dict[str, list[_Idle]] = {}
        self._most_open = most_open
        self._opening = 0
        self._made = 0

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return self._opening + self._made

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
        new: bool = False,
    ) -> Reply | CallFailure:
        """Send one request to an address and read the whole answer.

        :param timeout_s: seconds after which the connection is closed.
        :param limit: longest answer taken, in bytes.
        :param fresh: use only a connection known good a moment ago, or a new
            one.
        :param new: use a new connection: one that is open may have gone silent.
        :returns: the reply, or a failure with the proof that it gives.
        """
        max_age = FRESH_S if fresh else IDLE_S
        connection = None if new else self._take(address, max_age)
        done = False
        try:
            with anyio.move_on_after(timeout_s):
                if connection is None:
                    if not self._make_room():
                        return CallFailure(Proof(False, "too many connections"))
                    opened = await self._open(address, limit)
                    if isinstance(opened, CallFailure):
                        return opened
                    connection = opened
                request = _request(address, path, headers, body, method)
                outcome = await _exchange(connection, request)
                done = isinstance(outcome, Reply)
                return outcome
            # Open connections may all have gone silent, without a reset, while new ones
            # work: none is tried after the first, which saves a time-out for each.
            self._drop(address)
            proof = Proof(connection is not None, "no answer in time")
            return CallFailure(proof, timed_out=True)
        finally:
            if connection is not None:
                if done and connection.idle:
                    self._keep(address, connection)
                else:
                    connection.close()

    def _make_room(self) -> bool:
        """Close the connection that was idle for longest, if there are too many."""
        if self.open_connections < self._most_open:
            return True
        oldest = min(
            (address for address, idle in self._idle.items() if idle),
            key=lambda address: self._idle[address][0].since,
            default=None,
        )
        if oldest is None:
            return False
        self._idle[oldest].pop(0).connection.close()
        return True

    async def _open(self, address: str, limit: int) -> Connection | CallFailure:
        self._opening += 1
        try:
            return await _open(address, limit, self._changed)
        finally:
            self._opening -= 1

    def _changed(self, by: int) -> None:
        self._made += by

    def _take(self, address: str, max_age: float) -> Connection | None:
        idle = self._idle.get(address, [])
        while idle and time.monotonic() - idle[-1].since < max_age:
            held = idle.pop()
            if held.connection.idle:
                return held.connection
            held.connection.close()
        return None

    def _keep(self, address: str, connection: Connection) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) < MAX_IDLE:
            idle.append(_Idle(connection, time.monotonic()))

    def _drop(self, address: str) -> None:
        for held in self._idle.pop(address, []):
            held.connection.close()

    async def prune(self) -> None:
        """Close connections before the far side does."""
        limit = time.monotonic() - IDLE_S
        for address, idle in list(self._idle.items()):
            old = [held for held in idle if held.since < limit]
            idle[:] = [held for held in idle if held.since >= limit]
            if not idle:
                del self._idle[address]
            for held in old:
                held.connection.close()


async def _open(
    address: str, limit: int, changed: t.Callable[[int], None]
) -> Connection | CallFailure:
    host, _, port = address.rpartition(":")
    try:
        return await connect(host, int(port), limit, changed)
    except (OSError, ValueError, OverflowError) as error:
        # The latter two: what should be an address is none.
        return CallFailure(Proof(False, f"not connected: {error!r}"))


def _request(
    address: str,
    path: str,
    headers: t.Sequence[tuple[bytes, bytes]],
    body: bytes,
    method: str,
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1\r\nhost: {address}\r\n".encode(),
        b"content-length: %d\r\n" % len(body),
    ]
    for name, value in headers:
        if b"\n" in name + value or b"\r" in name + value:
            raise ValueError(f"a header may not hold a line end: {name!r}")
        lines.append(b"%s: %s\r\n" % (name, value))
    return b"".join((*lines, b"\r\n", body))


async def _exchange(connection: Connection, request: bytes) -> Reply | CallFailure:
    # A connection that closed while idle has not carried a byte of this request.
    if not connection.idle:
        return CallFailure(Proof(False, "the connection had closed"))
    try:
        response: Response = await connection.exchange(request)
    except ConnectionLost as error:
        return CallFailure(Proof(True, str(error)))
    reply = Reply(*response)
    if reply.header(REFUSED):
        return CallFailure(Proof(False, "the endpoint refused before it began"))
    return reply
