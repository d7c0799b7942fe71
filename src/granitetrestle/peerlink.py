"""Adapter for messages between the system's own processes, over zmq push and
pull sockets. A full queue drops: every message is repeated by a tick or has its
own deadline, and an old one is worth less than none."""

import contextlib
import hmac
import typing as t

import anyio
import zmq

from .errors import FrameError
from .messages import Envelope
from .messages import Message
from .messages import decode_envelope
from .messages import encode_envelope

__all__ = ["PeerLink"]

QUEUE = 200
RECHECK_S = 1.0
# A connection that has gone silent is given up within 1.5 s; requests wait for their
# decider for less than that, so a client that comes back after a second is served.
HEARTBEAT_MS = 500
HEARTBEAT_TIMEOUT_MS = 1000
MAX_FRAME = 4 * 1024 * 1024


class PeerLink:
    """Sends to and receives from other processes of the system.

    :param bind: IP:PORT at which the others reach this process.
    """

    def __init__(self, node: str, incarnation: str, token: str, bind: str) -> None:
        self._node = node
        self._incarnation = incarnation
        self._token = token.encode()
        self._context = zmq.Context()
        self._inbound = self._context.socket(zmq.PULL)
        self._inbound.setsockopt(zmq.RCVHWM, QUEUE * 10)
        self._inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME)
        self._inbound.setsockopt(zmq.LINGER, 0)
        self._inbound.bind(f"tcp://{bind}")
        self._outbound: dict[str, zmq.SyncSocket] = {}
        self._addresses: dict[str, str] = {}
        self.dropped = 0

    def connect(self, node: str, address: str) -> None:
        """Learn where ``node`` listens; it may have moved."""
        if node == self._node or self._addresses.get(node) == address:
            return
        old = self._outbound.pop(node, None)
        if old is not None:
            old.close()
        self._addresses[node] = address
        self._outbound[node] = self._connect(address)

    def _connect(self, address: str) -> zmq.SyncSocket:
        socket: zmq.SyncSocket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, QUEUE)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        # A peer that lost power says nothing: give the connection up, so that what
        # is sent after its return goes over a new one.
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.connect(f"tcp://{address}")
        return socket

    def send(self, node: str, message: Message, trace: str = "") -> bool:
        """Send without waiting; says whether it was queued."""
        socket = self._outbound.get(node)
        if socket is None:
            return False
        envelope = Envelope(self._node, self._incarnation, message, trace)
        frames = [self._token, encode_envelope(envelope)]
        try:
            socket.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.Again:
            self.dropped += 1
            return False
        return True

    async def receive(self) -> t.AsyncIterator[Envelope]:
        """Yield messages; malformed and foreign ones are dropped.

        Waits on the socket's descriptor and then takes all that is there: the
        asyncio wrapper of zmq costs several times as much a message.
        """
        descriptor = int(self._inbound.getsockopt(zmq.FD))
        while True:
            while (frames := self._next_frames()) is not None:
                envelope = self._open(frames)
                if envelope is not None:
                    yield envelope
            # The descriptor signals edges; the time-out covers one missed.
            with anyio.move_on_after(RECHECK_S):
                await anyio.wait_readable(descriptor)

    def _next_frames(self) -> list[bytes] | None:
        try:
            return self._inbound.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return None

    def _open(self, frames: list[bytes]) -> Envelope | None:
        if len(frames) == 2 and hmac.compare_digest(frames[0], self._token):
            with contextlib.suppress(FrameError):
                return decode_envelope(frames[1])
        self.dropped += 1
        return None

    def close(self) -> None:
        """Close all sockets at once."""
        for socket in self._outbound.values():
            socket.close()
        self._inbound.close()
        self._context.term()
