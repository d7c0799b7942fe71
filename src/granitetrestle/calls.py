"""HTTP client with a connection pool, for calls to endpoints, peers, boxes and the
platform. It handles connections directly, so that it knows for each call whether any
byte was sent, and a failure can prove that the request has not run."""

import abc
import ipaddress
import time
import typing as t

import anyio

from .appendpace import DEFAULT_LINK_BYTES_PER_S
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
# No limit in practice: more than a process usually has descriptors for.
DEFAULT_MAX_OPEN = 1_000_000
DEFAULT_TIMEOUT_S = 2.0
# An answer that takes more time than this share of the link would is given up.
MIN_ANSWER_LINK_SHARE = 0.125
# Python refuses to convert texts of thousands of digits.
MAX_PORT_DIGITS = 5
REQUEST_ID = "x-request-id"
REFUSED_HEADER = b"x-refused"


def is_address(text: str) -> bool:
    """Return whether ``text`` is IP:PORT, with an IPv4 address; host names are not
    resolved."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(port) < 65536


class Reply(t.NamedTuple):
    """A complete HTTP answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Return a header's value, or ``b""`` if it is missing.

        :param name: in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


class CallFailure(t.NamedTuple):
    """A call without a complete answer from the party that was called.

    :param proof: whether the request may have run, and what failed.
    :param timed_out: whether the timeout passed, with the connection still open.
    :param other_reply: the answer, if it came from another than the party.
    """

    proof: Proof
    timed_out: bool = False
    other_reply: Reply | None = None


class Request(t.NamedTuple):
    """An HTTP request."""

    path: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    method: str = "POST"


class Party(abc.ABC):
    """The process that a call is for, where the address doesn't identify it.

    A process's connections close when it ends. Whoever has identified itself over a
    connection therefore receives all that is sent over it.
    """

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Part of the pool key of its connections, beside the address."""

    @abc.abstractmethod
    def identity_request(self) -> Request:
        """Return a request whose answer identifies the receiver, and that has no effect
        on it."""

    @abc.abstractmethod
    def is_sender(self, reply: Reply) -> bool | None:
        """Return whether this party sent an answer to the identity request, or to
        another request whose answer identifies the sender.

        :returns: ``None`` if the answer doesn't identify its sender.
        """


class _Idle(t.NamedTuple):
    connection: Connection
    since: float


class Caller:
    """Makes calls over a pool of idle connections, by address, or by address and party.

    :param max_open: maximum of open connections. Without a limit a process that calls
        thousands of boxes runs out of descriptors, and all its calls fail.
    :param link_bytes_per_s: bandwidth of the link of this process.
    """

    def __init__(
        self,
        max_open: int = DEFAULT_MAX_OPEN,
        link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S,
    ) -> None:
        self._min_bytes_per_s = MIN_ANSWER_LINK_SHARE * link_bytes_per_s
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
        by_progress: bool = False,
        connect_timeout_s: float | None = None,
    ) -> Reply | CallFailure:
        """Send one request to an address and read the whole answer.

        :param timeout_s: seconds after which the connection is closed.
        :param connect_timeout_s: seconds after which an attempt to connect is given up,
            if sooner.
        :param by_progress: count the timeout from the newest part of the answer, while
            it takes no more time than ``MIN_ANSWER_LINK_SHARE`` of the link would.
        :param limit: maximum length of the answer, in bytes.
        :param fresh: use a new connection, or one that was in use less than
            ``MAX_FRESH_IDLE_S`` ago.
        :param new: use a new connection: one that is open may be dead.
        :returns: the reply, or a failure that says whether the request may have run.
        """
        max_age_s = MAX_FRESH_IDLE_S if fresh else MAX_IDLE_S
        pooled = None if new else self._take_idle(address, max_age_s)
        request = Request(path, tuple(headers), body, method)
        exchange = _Exchange(address, address, request, limit, timeout_s, by_progress)
        return await self._call(exchange, pooled, connect_timeout_s)

    async def call_party(
        self,
        party: Party,
        address: str,
        request: Request,
        timeout_s: float,
        limit: int = DEFAULT_MAX_ANSWER_BYTES,
        no_side_effects: bool = False,
        answer_identifies: bool = False,
        by_progress: bool = False,
    ) -> Reply | CallFailure:
        """Send one request to a party, and to no other process at its address.

        :param no_side_effects: whether the request has no effect on another process
            that it reaches; if its answer identifies the sender too, no identity
            request goes before it.
        :param answer_identifies: whether the answer identifies its sender.
        :param by_progress: as for :meth:`call`; also for the identity request.
        :returns: as :meth:`call`; the failure has the other process's answer, if any.
        """
        key = f"{address} {party.name}"
        verify_first = not (no_side_effects and answer_identifies)
        exchange = _Exchange(
            key,
            address,
            request,
            limit,
            timeout_s,
            by_progress,
            party,
            verify_first,
            answer_identifies,
        )
        return await self._call(exchange, self._take_idle(key, MAX_IDLE_S))

    async def _call(
        self,
        exchange: "_Exchange",
        pooled: Connection | None,
        connect_timeout_s: float | None = None,
    ) -> Reply | CallFailure:
        connection = pooled
        done = sent = False
        try:
            with anyio.move_on_after(exchange.timeout_s) as scope:
                extend = None
                if exchange.by_progress:
                    extend = _ProgressTimeout(
                        scope, exchange.timeout_s, self._min_bytes_per_s
                    )
                if connection is None:
                    if not self._make_room():
                        return CallFailure(Proof(False, "too many connections"))
                    opened = None
                    with anyio.move_on_after(connect_timeout_s):
                        opened = await self._open(exchange.address, exchange.limit)
                    if opened is None:
                        return CallFailure(Proof(False, "not connected in time"))
                    if isinstance(opened, CallFailure):
                        return opened
                    connection = opened
                    failure = await exchange.verify_party(connection, extend)
                    if failure is not None:
                        return failure
                sent = True
                verified = connection is pooled or exchange.verify_first
                outcome = await exchange.run(connection, verified, extend)
                done = isinstance(outcome, Reply)
                return outcome
            # All open connections may be dead, without a reset, while new ones work.
            # Closing them all saves a timeout for each.
            self._close_idle(exchange.key)
            return CallFailure(Proof(sent, "no answer in time"), timed_out=True)
        finally:
            if connection is not None:
                if done and connection.idle:
                    self._keep_idle(exchange.key, connection)
                else:
                    connection.close()

    def _make_room(self) -> bool:
        """Close the longest idle connection if the limit is reached.

        :returns: whether a connection may be opened.
        """
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
        """Close old idle connections, before the server does."""
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
        # ValueError and OverflowError: the address is malformed.
        return CallFailure(Proof(False, f"not connected: {error!r}"))


class _ProgressTimeout:
    """Extends the timeout of a call while parts of its answer arrive. A fixed timeout
    fails every attempt at an answer that the link can't carry within it."""

    def __init__(
        self, scope: anyio.CancelScope, timeout_s: float, min_bytes_per_s: float
    ) -> None:
        self._scope = scope
        self._timeout_s = timeout_s
        self._min_bytes_per_s = min_bytes_per_s
        self._started = anyio.current_time()
        self._received = 0

    def __call__(self, size: int) -> None:
        """Record a part of the answer."""
        self._received += size
        longest_s = self._timeout_s + self._received / self._min_bytes_per_s
        self._scope.deadline = min(
            anyio.current_time() + self._timeout_s, self._started + longest_s
        )


class _Exchange(t.NamedTuple):
    """One request over one connection.

    :param key: pool key of the connection.
    :param limit: maximum length of the answer, in bytes.
    :param by_progress: whether parts of the answer extend the timeout.
    :param verify_first: whether a new connection needs an identity request first.
    :param answer_identifies: whether the request's answer identifies its sender.
    """

    key: str
    address: str
    request: Request
    limit: int
    timeout_s: float
    by_progress: bool
    party: Party | None = None
    verify_first: bool = False
    answer_identifies: bool = False

    async def verify_party(
        self, connection: Connection, on_part: "_ProgressTimeout | None"
    ) -> CallFailure | None:
        """Send the identity request over a new connection, if needed.

        :returns: a failure, or ``None`` if the request may be sent.
        """
        if self.party is None or not self.verify_first:
            return None
        identity_request = _encode_request(self.address, self.party.identity_request())
        reply = await _send(connection, identity_request, on_part)
        if isinstance(reply, CallFailure):
            return CallFailure(
                Proof(False, f"no answer to the identity request: {reply.proof.detail}")
            )
        if self.party.is_sender(reply):
            return None
        return CallFailure(
            Proof(False, "another process answers at the address"), other_reply=reply
        )

    async def run(
        self,
        connection: Connection,
        verified: bool,
        on_part: "_ProgressTimeout | None",
    ) -> Reply | CallFailure:
        """Send the request and return the whole answer.

        :param verified: whether the party has identified itself over the connection.
        """
        request = _encode_request(self.address, self.request)
        reply = await _send(connection, request, on_part)
        if (
            self.party is None
            or not self.answer_identifies
            or isinstance(reply, CallFailure)
        ):
            return reply
        matches = self.party.is_sender(reply)
        if matches or (matches is None and verified):
            return reply
        return CallFailure(Proof(True, "another process answered"), other_reply=reply)


def _encode_request(address: str, request: Request) -> bytes:
    lines = [
        f"{request.method} {request.path} HTTP/1.1\r\nhost: {address}\r\n".encode(),
        b"content-length: %d\r\n" % len(request.body),
    ]
    for name, value in request.headers:
        if b"\n" in name + value or b"\r" in name + value:
            raise ValueError(f"header {name!r} must not contain a line break")
        lines.append(b"%s: %s\r\n" % (name, value))
    return b"".join((*lines, b"\r\n", request.body))


async def _send(
    connection: Connection,
    request: bytes,
    on_part: _ProgressTimeout | None,
) -> Reply | CallFailure:
    # No byte of the request has been sent over a connection that closed while idle.
    if not connection.idle:
        return CallFailure(Proof(False, "the connection was closed while idle"))
    try:
        response: Response = await connection.exchange(request, on_part)
    except ConnectionLost as error:
        return CallFailure(Proof(True, str(error)))
    reply = Reply(*response)
    if reply.header(REFUSED_HEADER):
        return CallFailure(
            Proof(False, "the endpoint refused the request before it started")
        )
    return reply
