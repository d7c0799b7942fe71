"""HTTP calls to endpoints, peers, boxes and the platform. Connections are held
directly, in a free list for each address, so that a slot is a connection and it is
known exactly whether the first byte has left."""

import abc
import ipaddress
import time
import typing as t

import anyio

from .connection import Connection
from .connection import ConnectionLost
from .connection import Response
from .connection import connect
from .events import Proof

__all__ = ["CallFailure", "Caller", "Party", "Reply", "Request", "is_address"]

MAX_IDLE_S = 3.0
MAX_FRESH_IDLE_S = 0.5
DEFAULT_MAX_ANSWER_BYTES = 1024 * 1024
MAX_IDLE_PER_KEY = 64
# More connections than a process usually has descriptors for.
DEFAULT_MAX_OPEN = 1_000_000
DEFAULT_TIMEOUT_S = 2.0
REQUEST_ID = "x-request-id"
REFUSED_HEADER = b"x-refused"


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
    :param stranger: what somebody else answered than the party that was to be called.
    """

    proof: Proof
    timed_out: bool = False
    other_reply: Reply | None = None


class Request(t.NamedTuple):
    """What is sent to an address."""

    path: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    method: str = "POST"


class Party(abc.ABC):
    """Who is to be called, where the address alone doesn't tell. A process takes its
    connections with it when it ends, so that who has answered over one of them once is
    who takes all that is sent there."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """What its connections are kept under, beside the address."""

    @abc.abstractmethod
    def identity_request(self) -> Request:
        """Return what asks who answers, and does nothing to whoever that is."""

    @abc.abstractmethod
    def is_sender(self, reply: Reply) -> bool | None:
        """Say whether an answer to the question, or to a call whose answers tell who
        gives them, is the party's; ``None`` if this one doesn't tell."""


class _Idle(t.NamedTuple):
    connection: Connection
    since: float


class Caller:
    """Keeps idle connections by address, and by party where one is called, and makes calls
    on them.

    :param most_open: connections that may be open at once. Without a bound a process that
        calls thousands of boxes runs out of descriptors, and all it does fails.
    """

    def __init__(self, max_open: int = DEFAULT_MAX_OPEN) -> None:
        self._idle: dict[str, list[_Idle]] = {}
        self._max_open = max_open
        self._opening = 0
        self._established = 0

    @property
    def open_connections(self) -> int:
        """Connections that are open or being opened."""
        return self._opening + self._established

    async def call(
        self,
        address: str,
        path: str,
        headers: t.Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        fresh: bool = False,
        method: str = "POST",
        limit: int = DEFAULT_MAX_ANSWER_BYTES,
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
        max_age_s = MAX_FRESH_IDLE_S if fresh else MAX_IDLE_S
        pooled = None if new else self._take_idle(address, max_age_s)
        request = Request(path, tuple(headers), body, method)
        return await self._call(
            _Exchange(address, address, request, limit), pooled, timeout_s
        )

    async def call_party(
        self,
        party: Party,
        address: str,
        request: Request,
        timeout_s: float,
        limit: int = DEFAULT_MAX_ANSWER_BYTES,
        no_side_effects: bool = False,
        answer_identifies: bool = False,
    ) -> Reply | CallFailure:
        """Send one request to a party, and to nobody else who answers at its address.

        :param harmless: whether the request does nothing to another that it reaches.
        :param tells: whether its answer tells who gives it.
        :returns: as :meth:`call`; a failure with what the stranger answered, if one did.
        """
        key = f"{address} {party.name}"
        verify_first = not (no_side_effects and answer_identifies)
        exchange = _Exchange(
            key, address, request, limit, party, verify_first, answer_identifies
        )
        return await self._call(exchange, self._take_idle(key, MAX_IDLE_S), timeout_s)

    async def _call(
        self, exchange: "_Exchange", pooled: Connection | None, timeout_s: float
    ) -> Reply | CallFailure:
        connection = pooled
        done = sent = False
        try:
            with anyio.move_on_after(timeout_s):
                if connection is None:
                    if not self._make_room():
                        return CallFailure(Proof(False, "too many connections"))
                    opened = await self._open(exchange.address, exchange.limit)
                    if isinstance(opened, CallFailure):
                        return opened
                    connection = opened
                    failure = await exchange.verify_party(connection)
                    if failure is not None:
                        return failure
                sent = True
                verified = connection is pooled or exchange.verify_first
                outcome = await exchange.run(connection, verified)
                done = isinstance(outcome, Reply)
                return outcome
            # Open connections may all have gone silent, without a reset, while new ones
            # work: none is tried after the first, which saves a time-out for each.
            self._close_idle(exchange.key)
            return CallFailure(Proof(sent, "no answer in time"), timed_out=True)
        finally:
            if connection is not None:
                if done and connection.idle:
                    self._keep_idle(exchange.key, connection)
                else:
                    connection.close()

    def _make_room(self) -> bool:
        """Close the connection that was idle for longest, if there are too many."""
        if self.open_connections < self._max_open:
            return True
        oldest = min(
            (key for key, idle in self._idle.items() if idle),
            key=lambda key: self._idle[key][0].since,
            default=None,
        )
        if oldest is None:
            return False
        self._idle[oldest].pop(0).connection.close()
        return True

    async def _open(self, address: str, limit: int) -> Connection | CallFailure:
        self._opening += 1
        try:
            return await _open(address, limit, self._count_open)
        finally:
            self._opening -= 1

    def _count_open(self, by: int) -> None:
        self._established += by

    def _take_idle(self, key: str, max_age_s: float) -> Connection | None:
        idle = self._idle.get(key, [])
        while idle and time.monotonic() - idle[-1].since < max_age_s:
            pooled = idle.pop()
            if pooled.connection.idle:
                return pooled.connection
            pooled.connection.close()
        return None

    def _keep_idle(self, key: str, connection: Connection) -> None:
        idle = self._idle.setdefault(key, [])
        if len(idle) < MAX_IDLE_PER_KEY:
            idle.append(_Idle(connection, time.monotonic()))

    def _close_idle(self, key: str) -> None:
        for pooled in self._idle.pop(key, []):
            pooled.connection.close()

    async def prune(self) -> None:
        """Close connections before the far side does."""
        limit = time.monotonic() - MAX_IDLE_S
        for key, idle in list(self._idle.items()):
            old = [pooled for pooled in idle if pooled.since < limit]
            idle[:] = [pooled for pooled in idle if pooled.since >= limit]
            if not idle:
                del self._idle[key]
            for pooled in old:
                pooled.connection.close()


async def _open(
    address: str, limit: int, count_open: t.Callable[[int], None]
) -> Connection | CallFailure:
    host, _, port = address.rpartition(":")
    try:
        return await connect(host, int(port), limit, count_open)
    except (OSError, ValueError, OverflowError) as error:
        # The latter two: what should be an address is none.
        return CallFailure(Proof(False, f"not connected: {error!r}"))


class _Exchange(t.NamedTuple):
    """One request over one connection.

    :param key: what the connection is kept under.
    :param asks: whether a new connection needs the party's question first.
    :param tells: whether the answer to the request tells who gives it.
    """

    key: str
    address: str
    request: Request
    limit: int
    party: Party | None = None
    verify_first: bool = False
    answer_identifies: bool = False

    async def verify_party(self, connection: Connection) -> CallFailure | None:
        """Learn who is at the other end of a new connection, if that is asked for.

        :returns: a failure, unless the request may be sent.
        """
        if self.party is None or not self.verify_first:
            return None
        identity_request = _encode_request(self.address, self.party.identity_request())
        reply = await _send(connection, identity_request)
        if isinstance(reply, CallFailure):
            return CallFailure(
                Proof(False, f"no answer who it is: {reply.proof.detail}")
            )
        if self.party.is_sender(reply):
            return None
        return CallFailure(Proof(False, "somebody else answers"), other_reply=reply)

    async def run(self, connection: Connection, verified: bool) -> Reply | CallFailure:
        """Send the request and return the whole answer.

        :param proved: whether it is known who is at the other end.
        """
        reply = await _send(connection, _encode_request(self.address, self.request))
        if (
            self.party is None
            or not self.answer_identifies
            or isinstance(reply, CallFailure)
        ):
            return reply
        matches = self.party.is_sender(reply)
        if matches or (matches is None and verified):
            return reply
        return CallFailure(Proof(True, "somebody else answered"), other_reply=reply)


def _encode_request(address: str, request: Request) -> bytes:
    lines = [
        f"{request.method} {request.path} HTTP/1.1\r\nhost: {address}\r\n".encode(),
        b"content-length: %d\r\n" % len(request.body),
    ]
    for name, value in request.headers:
        if b"\n" in name + value or b"\r" in name + value:
            raise ValueError(f"a header may not hold a line end: {name!r}")
        lines.append(b"%s: %s\r\n" % (name, value))
    return b"".join((*lines, b"\r\n", request.body))


async def _send(connection: Connection, request: bytes) -> Reply | CallFailure:
    # A connection that closed while idle has not carried a byte of this request.
    if not connection.idle:
        return CallFailure(Proof(False, "the connection had closed"))
    try:
        response: Response = await connection.exchange(request)
    except ConnectionLost as error:
        return CallFailure(Proof(True, str(error)))
    reply = Reply(*response)
    if reply.header(REFUSED_HEADER):
        return CallFailure(Proof(False, "the endpoint refused before it began"))
    return reply
