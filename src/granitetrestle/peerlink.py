"""Adapter for messages between the system's own processes, over zmq push and
pull sockets. A full queue drops: every message is repeated by a tick or has its
own deadline, and an old one is worth less than none."""

import contextlib
import hmac
import time
import typing as t

import anyio
import zmq

from .errors import FrameError
from .messages import Envelope
from .messages import Message
from .messages import decode_envelope
from .messages import encode_envelope

__all__ = ["PeerLink"]

QUEUE_LIMIT = 200
RECEIVE_RECHECK_INTERVAL_S = 1.0
# A connection that has gone silent is given up within 1.5 s; requests wait for their
# decider for less than that, so a client that comes back after a second is served.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1000
# As long as calls over HTTP wait for a connection to open.
CONNECT_TIMEOUT_MS = 1000
MAX_FRAME_BYTES = 4 * 1024 * 1024
# A connection is open within a few ms, or after a lost packet within a second.
OPENING_TIMEOUT_S: t.Final = 1.0
# A process answers requests of all others while it decides, and then hardly any.
UNUSED_TIMEOUT_S: t.Final = 10.0


class _Peer:
    """A connection to another process.

    :ivar opening: whether nothing has gone over it yet.
    """

    __slots__ = ("address", "opened_at", "opening", "socket", "used_at")

    def __init__(self, address: str, socket: zmq.SyncSocket, now: float) -> None:
        self.address = address
        self.socket = socket
        self.opened_at = self.used_at = now
        self.opening = True


def _ignore(node: str, reason: str) -> None:
    """Tell nobody."""


class PeerLink:
    """Sends to and receives from other processes of the system. Connections are opened
    when something is to be sent, and closed again when that was long ago.

    :ivar on_not_opened: told once of the process and the reason when no connection can be
        opened, until one can again.
    :param bind: IP:PORT at which the others reach this process.
    """

    def __init__(self, node: str, incarnation: str, token: str, bind: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._token = token.encode()
        self._context = zmq.Context()
        self._inbound = self._context.socket(zmq.PULL)
        self._inbound.setsockopt(zmq.RCVHWM, QUEUE_LIMIT * 10)
        self._inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._inbound.setsockopt(zmq.LINGER, 0)
        self._inbound.bind(f"tcp://{bind}")
        self._peers: dict[str, _Peer] = {}
        self._not_opened = 0
        self.dropped = 0
        self.on_not_opened: t.Callable[[str, str], None] = _ignore

    @property
    def connections(self) -> int:
        """How many processes this one has a connection to."""
        return len(self._peers)

    def connect(self, node: str, address: str) -> None:
        """Learn where ``node`` listens; it may have moved."""
        peer = self._peers.get(node)
        if node == self._node or (peer is not None and peer.address == address):
            return
        self.disconnect(node)
        try:
            socket = self._open(address)
        except zmq.ZMQError as error:
            # Out of descriptors: who wants to send tries again, as if it were lost.
            self._not_opened += 1
            if self._not_opened == 1:
                self.on_not_opened(node, str(error))
            return
        self._not_opened = 0
        self._peers[node] = _Peer(address, socket, time.monotonic())

    def disconnect(self, node: str) -> None:
        """Close the connection to ``node``, if there is one."""
        peer = self._peers.pop(node, None)
        if peer is not None:
            peer.socket.close()

    def is_opening(self, node: str) -> bool:
        """Say whether a connection was begun lately and has carried nothing yet."""
        peer = self._peers.get(node)
        if peer is None or not peer.opening:
            return False
        return time.monotonic() - peer.opened_at < OPENING_TIMEOUT_S

    def close_unused(self, keep: t.Collection[str]) -> None:
        """Close connections that have carried nothing for long.

        :param keep: whom this process will go on sending to.
        """
        now = time.monotonic()
        for node, peer in list(self._peers.items()):
            if node not in keep and now - peer.used_at > UNUSED_TIMEOUT_S:
                self.disconnect(node)

    def _open(self, address: str) -> zmq.SyncSocket:
        socket: zmq.SyncSocket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, QUEUE_LIMIT)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        # The system asks a path that is back ever more rarely: without it a process can't
        # reach the decider, and refuses its clients, for about as long again as a cut.
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # A peer that lost power says nothing: give the connection up, so that what
        # is sent after its return goes over a new one.
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.connect(f"tcp://{address}")
        return socket

    def send(self, node: str, message: Message, trace: str = "") -> bool:
        """Send without waiting; says whether it was queued."""
        return not self.send_all((node,), message, trace)

    def send_all(
        self, nodes: t.Iterable[str], message: Message, trace: str = ""
    ) -> list[str]:
        """Send to several without waiting; returns those for whom it was not queued."""
        envelope = Envelope(self._node, self._incarnation, message, trace)
        frames = [self._token, encode_envelope(envelope)]
        return [node for node in nodes if not self._send_frames(node, frames)]

    def _send_frames(self, node: str, frames: list[bytes]) -> bool:
        peer = self._peers.get(node)
        if peer is None:
            return False
        try:
            peer.socket.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        peer.opening = False
        peer.used_at = time.monotonic()
        return True

    async def receive(self) -> t.AsyncIterator[Envelope]:
        """Yield messages; malformed and foreign ones are dropped.

        Waits on the socket's descriptor and then takes all that is there: the
        asyncio wrapper of zmq costs several times as much a message.
        """
        descriptor = int(self._inbound.getsockopt(zmq.FD))
        while True:
            while (frames := self._next_frames()) is not None:
                envelope = self._decode(frames)
                if envelope is not None:
                    yield envelope
            # The descriptor signals edges; the time-out covers one missed.
            with anyio.move_on_after(RECEIVE_RECHECK_INTERVAL_S):
                await anyio.wait_readable(descriptor)

    def _next_frames(self) -> list[bytes] | None:
        try:
            return self._inbound.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return None

    def _decode(self, frames: list[bytes]) -> Envelope | None:
        if len(frames) == 2 and hmac.compare_digest(frames[0], self._token):
            with contextlib.suppress(FrameError):
                return decode_envelope(frames[1])
        self.dropped += 1
        return None

    def close(self) -> None:
        """Close all sockets at once."""
        for node in list(self._peers):
            self.disconnect(node)
        self._inbound.close()
        self._context.term()
