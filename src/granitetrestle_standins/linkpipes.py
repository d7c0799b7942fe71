"""Forwarding of a single connection through the proxy. Bytes read from one side are
delivered to the other as the current condition of that direction allows. The end of a
connection is delivered in order like bytes: if a side closes or resets while the
direction is cut, the other side sees it only after the cut, and after all bytes sent
before it."""

import asyncio
import contextlib
import socket
import struct
import typing as t

from .linkviews import Rewriter

__all__ = ["Condition", "Pipe", "reset_socket"]

# Most bytes read at a time.
CHUNK_BYTES: t.Final = 65536
# Chunks queued in one direction of a connection; reading pauses while it is full.
MAX_IN_FLIGHT_CHUNKS: t.Final = 64
# How often a delayed delivery checks whether the fault was healed.
RECHECK_INTERVAL_S: t.Final = 0.02
# A slow direction delivers the bytes of one such interval at a time.
SLOW_INTERVAL_S: t.Final = 0.05
# With a linger time of 0 the kernel sends a reset when the socket closes.
NO_LINGER: t.Final = struct.pack("ii", 1, 0)


class Condition:
    """The faults in force in one direction between two places.

    :ivar delay_s: delay of every delivery.
    :ivar bytes_per_s: limit of the bandwidth; 0 for no limit.
    :ivar reset: whether connections are reset.
    :ivar loses_answers: whether answers to requests of the source are lost.
    """

    def __init__(self) -> None:
        self._passable = asyncio.Event()
        self._next_free_at = 0.0
        self.heal()

    @property
    def cut(self) -> bool:
        """Whether nothing passes."""
        return not self._passable.is_set()

    def heal(self) -> None:
        """Remove all faults."""
        self._passable.set()
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.reset = False
        self.loses_answers = False

    def cut_off(self) -> None:
        """Stop all deliveries."""
        self._passable.clear()

    async def wait_passable(self) -> None:
        """Wait until the direction isn't cut."""
        await self._passable.wait()

    def reserve(self, size: int, now: float) -> float:
        """Reserve bandwidth that all connections share, in order of their calls.

        :param now: seconds on the loop's clock.
        :returns: when ``size`` bytes will have been sent, on the same clock.
        """
        self._next_free_at = max(self._next_free_at, now) + size / self.bytes_per_s
        return self._next_free_at


class _Chunk(t.NamedTuple):
    """Bytes that the proxy received, or the end of the stream.

    :param at: time of receipt in seconds on the loop's clock.
    :param data: empty for the end of the stream.
    :param was_reset: whether the stream ended by a reset.
    """

    at: float
    data: bytes
    was_reset: bool = False


class _Flow:
    """One direction of a connection.

    :param condition: condition of this direction.
    :param request_condition: for a flow of answers, the condition of the direction of
        the requests.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        condition: Condition,
        rewriter: Rewriter,
        request_condition: Condition | None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._condition = condition
        self._rewriter = rewriter
        self._request_condition = request_condition
        self._answer_lost = False
        self._in_flight: asyncio.Queue[_Chunk] = asyncio.Queue(MAX_IN_FLIGHT_CHUNKS)
        self.held_until = 0.0

    async def run(self) -> None:
        """Forward bytes until the end of the stream is delivered."""
        async with asyncio.TaskGroup() as tasks:
            receiving = tasks.create_task(self._receive())
            await self._deliver()
            receiving.cancel()

    async def _receive(self) -> None:
        now = asyncio.get_running_loop().time
        try:
            while data := await self._reader.read(CHUNK_BYTES):
                if rewritten := self._rewriter.feed(data):
                    await self._in_flight.put(_Chunk(now(), rewritten))
            if rest := self._rewriter.flush():
                await self._in_flight.put(_Chunk(now(), rest))
        except OSError:
            await self._in_flight.put(_Chunk(now(), b"", was_reset=True))
        else:
            await self._in_flight.put(_Chunk(now(), b""))

    async def _deliver(self) -> None:
        while True:
            chunk = await self._in_flight.get()
            await self._wait(chunk.at)
            if (
                self._request_condition is not None
                and self._request_condition.loses_answers
            ):
                self._answer_lost = True
            if self._answer_lost:
                if not chunk.data:
                    return
                continue
            if chunk.was_reset:
                reset_writer(self._writer)
                return
            try:
                if not chunk.data:
                    self._writer.write_eof()
                    return
                await self._write(chunk.data)
            except (OSError, RuntimeError):
                # The receiver is gone; the flow of the other direction reports that.
                return

    async def _wait(self, received_at: float) -> None:
        now = asyncio.get_running_loop().time
        while True:
            await self._condition.wait_passable()
            due = max(received_at + self._condition.delay_s, self.held_until)
            if due <= now():
                return
            await asyncio.sleep(min(due - now(), RECHECK_INTERVAL_S))

    async def _write(self, data: bytes) -> None:
        now = asyncio.get_running_loop().time
        while data:
            size = len(data)
            if rate := self._condition.bytes_per_s:
                size = max(1, int(rate * SLOW_INTERVAL_S))
                sent_by = self._condition.reserve(len(data[:size]), now())
                await asyncio.sleep(max(0.0, sent_by - now()))
                await self._condition.wait_passable()
            self._writer.write(data[:size])
            await self._writer.drain()
            data = data[size:]


class Pipe:
    """An accepted connection and the connection to its target.

    :param forward: condition of the direction from the client to the server.
    :param backward: condition of the direction from the server to the client.
    :param request_rewriter: rewrites the bytes that the client sends.
    :param answer_rewriter: rewrites the bytes that the server sends.
    """

    def __init__(
        self,
        forward: Condition,
        backward: Condition,
        request_rewriter: Rewriter,
        answer_rewriter: Rewriter,
    ) -> None:
        self._forward = forward
        self._backward = backward
        self._rewriters = (request_rewriter, answer_rewriter)
        self._flows: tuple[_Flow, ...] = ()
        self._writers: tuple[asyncio.StreamWriter, ...] = ()

    async def run(self, accepted: socket.socket, target: tuple[str, int]) -> None:
        """Forward bytes until both directions have ended."""
        if self._forward.reset or self._backward.reset:
            reset_socket(accepted)
            return
        client_reader, client = await asyncio.open_connection(sock=accepted)
        self._writers = (client,)
        try:
            server_reader, server = await asyncio.open_connection(*target)
        except OSError:
            # Nothing listens there. An accepted connection can only be reset.
            self.reset()
            return
        self._writers = (client, server)
        for writer in self._writers:
            connection = writer.get_extra_info("socket")
            # One side may have been reset while the other was being opened.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request_rewriter, answer_rewriter = self._rewriters
        self._flows = (
            _Flow(client_reader, server, self._forward, request_rewriter, None),
            _Flow(
                server_reader, client, self._backward, answer_rewriter, self._forward
            ),
        )
        try:
            async with asyncio.TaskGroup() as tasks:
                for flow in self._flows:
                    tasks.create_task(flow.run())
        finally:
            for writer in self._writers:
                writer.close()

    def hold(self, condition: Condition, until: float) -> None:
        """Deliver nothing in one direction before ``until`` (s, loop's clock)."""
        for flow, flow_condition in zip(
            self._flows, (self._forward, self._backward), strict=False
        ):
            if flow_condition is condition:
                flow.held_until = until

    def reset(self) -> None:
        """Reset the connections of both sides."""
        for writer in self._writers:
            reset_writer(writer)


def reset_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


def reset_socket(accepted: socket.socket) -> None:
    """Close an accepted socket by a reset."""
    with contextlib.suppress(OSError):
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    accepted.close()
