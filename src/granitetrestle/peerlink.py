"""Adapter for messages between the system's own processes, over zmq push and
pull sockets. A full queue drops: every message is repeated by a tick or has its
own deadline, and an old one is worth less than none."""

import hmac
import typing as t

import zmq
import zmq.asyncio

from .errors import FrameError
from .messages import Envelope
from .messages import Message
from .messages import decode_envelope
from .messages import encode_envelope
from .settings import PeerAddress
from .settings import Settings

__all__ = ["PeerLink"]

QUEUE = 200
MAX_FRAME = 4 * 1024 * 1024


class PeerLink:
    """Sends to and receives from the processes that the settings name."""

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self._node = settings.node
        self._incarnation = incarnation
        self._token = settings.peer_token.encode()
        self._context = zmq.asyncio.Context()
        self._plain: zmq.Context[zmq.SyncSocket] = zmq.Context.shadow(
            self._context.underlying
        )
        self._inbound = self._context.socket(zmq.PULL)
        self._inbound.setsockopt(zmq.RCVHWM, QUEUE * 10)
        self._inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME)
        self._inbound.setsockopt(zmq.LINGER, 0)
        self._inbound.bind(f"tcp://{settings.zmq}")
        self._outbound = {
            peer.node: self._connect(peer)
            for peer in settings.peers
            if peer.node != settings.node
        }
        self.dropped = 0

    def _connect(self, peer: PeerAddress) -> zmq.SyncSocket:
        # A plain socket: a send never waits, so it needs no event loop.
        socket: zmq.SyncSocket = self._plain.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, QUEUE)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        socket.connect(f"tcp://{peer.zmq}")
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
        """Yield messages; malformed and foreign ones are dropped."""
        while True:
            frames: list[bytes] = await self._inbound.recv_multipart()
            if len(frames) != 2 or not hmac.compare_digest(frames[0], self._token):
                self.dropped += 1
                continue
            try:
                yield decode_envelope(frames[1])
            except FrameError:
                self.dropped += 1

    def close(self) -> None:
        """Close all sockets at once."""
        for socket in self._outbound.values():
            socket.close()
        self._inbound.close()
        self._context.term()
