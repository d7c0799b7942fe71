"""A link of limited bandwidth in front of servers: all connections through it share its
rate, in each direction on its own."""

import asyncio
import socket
import typing as t

from .linkpipes import Condition
from .linkpipes import Pipe
from .linkviews import Passthrough

__all__ = ["ThinLink"]

Address: t.TypeAlias = tuple[str, int]


class ThinLink:
    """The link of one machine.

    :param bytes_per_s: its rate in each direction.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._out, self._in = Condition(), Condition()
        self._out.bytes_per_s = self._in.bytes_per_s = bytes_per_s
        self._tasks: set[asyncio.Task[None]] = set()

    def cut_off_answers(self) -> None:
        """Let no more bytes of answers through."""
        self._in.cut_off()

    async def forward(self, address: Address, target: Address) -> None:
        """Forward connections to ``address`` until cancelled.

        :param target: IP and port of the server behind the link.
        """
        loop = asyncio.get_running_loop()
        with socket.create_server(address, reuse_port=False) as listener:
            listener.setblocking(False)
            while True:
                accepted, _ = await loop.sock_accept(listener)
                accepted.setblocking(False)
                unchanged = Passthrough(str), Passthrough(str)
                pipe = Pipe(self._out, self._in, *unchanged)
                task = asyncio.create_task(pipe.run(accepted, target))
                # Kept until it has ended: the loop itself holds no reference.
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
