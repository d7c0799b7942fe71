"""Message transport between the processes of the system, over zmq push and pull sockets.

A full queue drops new messages: every message is repeated on a tick or has its own
deadline, and an outdated one does more harm than a lost one."""

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
# A silent connection is closed within 1.5 s, the sum of both. Requests wait for the
# leader for less than that, so a client that retries after a second is served.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1000
# The same as for calls over HTTP.
CONNECT_TIMEOUT_MS = 1000
MAX_FRAME_BYTES = 4 * 1024 * 1024
# A connection opens within a few ms, or within a second after a lost packet.
OPENING_TIMEOUT_S: t.Final = 1.0
# A process answers requests from all others while it leads, and hardly any afterwards.
UNUSED_TIMEOUT_S: t.Final = 10.0


class _Peer:
    """A connection to another process.

    :ivar opening: whether no message has been queued on it yet.
    """

    __slots__ = ("address", "opened_at", "opening", "socket", "used_at")

    def __init__(self, address: str, socket: zmq.SyncSocket, now: float) -> None:
        self.address = address
        self.socket = socket
        self.opened_at = self.used_at = now
        self.opening = True


def _ignore(node: str, reason: str) -> None:
    """Do nothing."""


class PeerLink:
    """Sends messages to other processes of the system and receives theirs. Connections
    are opened when there is a message to send, and closed when unused.

    :ivar dropped: messages dropped: on a full queue, malformed, or with a wrong token.
    :ivar on_not_opened: called with the process and the reason when no connection can be
        opened, once until one can again.
    :param token: shared secret in the first frame of every message.
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
        # Process -> its incarnation by the message that was received last.
        self._incarnations: dict[str, str] = {}
        self._not_opened = 0
        self.dropped = 0
        self.on_not_opened: t.Callable[[str, str], None] = _ignore

    @property
    def connections(self) -> int:
        """Number of processes that this one has a connection to."""
        return len(self._peers)

    def connect(self, node: str, address: str) -> None:
        """Open a connection to ``node``, or replace it if the address has changed.

        :param address: IP:PORT.
        """
        peer = self._peers.get(node)
        if node == self._node or (peer is not None and peer.address == address):
            return
        self.disconnect(node)
        try:
            socket = self._open(address)
        except zmq.ZMQError as error:
            # Out of file descriptors, or no address: callers retry as for a lost message.
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
        """Return whether a connection to ``node`` is being opened and has queued no
        message yet."""
        peer = self._peers.get(node)
        if peer is None or not peer.opening:
            return False
        return time.monotonic() - peer.opened_at < OPENING_TIMEOUT_S

    def close_unused(self, keep: t.Collection[str]) -> None:
        """Close connections that have been unused for longer than the timeout.

        :param keep: processes whose connections stay open.
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
        # The operating system retries a connection at growing intervals. Without this
        # timeout, a process can't reach the leader and refuses its clients for about as
        # long after a network cut as the cut lasted.
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # A peer that lost power does not close its connections. Without heartbeats,
        # messages sent after its return would go over the dead connection.
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        return socket

    def send(self, node: str, message: Message, trace: str = "") -> bool:
        """Send without waiting; return whether the message was queued."""
        return not self.send_all((node,), message, trace)

    def send_all(
        self, nodes: t.Iterable[str], message: Message, trace: str = ""
    ) -> list[str]:
        """Send to several processes without waiting; return those for which the message
        was not queued."""
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
        """Yield received messages. Malformed ones, and those without this system's token,
        are dropped.

        Waits for the socket's descriptor and then reads all available messages: the
        asyncio wrapper of zmq costs several times as much per message.
        """
        descriptor = int(self._inbound.getsockopt(zmq.FD))
        while True:
            while (frames := self._next_frames()) is not None:
                envelope = self._decode(frames)
                if envelope is not None:
                    self._drop_outdated(envelope)
                    yield envelope
            # The descriptor is edge-triggered; the timeout covers a missed edge.
            with anyio.move_on_after(RECEIVE_RECHECK_INTERVAL_S):
                await anyio.wait_readable(descriptor)

    def _drop_outdated(self, envelope: Envelope) -> None:
        """Close the connection to an earlier incarnation of a process that has started
        again. The library would reopen it only after its growing interval."""
        node, incarnation = envelope.sender, envelope.incarnation
        if self._incarnations.setdefault(node, incarnation) != incarnation:
            self._incarnations[node] = incarnation
            self.disconnect(node)

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
