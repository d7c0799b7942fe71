"""Answers the requests that other processes forward to this one as the leader."""

import typing as t

import anyio
import anyio.abc

from .forwarding import ClientAnswer
from .forwarding import ClientCall
from .forwarding import Deposed
from .leaderfailures import format_trace
from .messages import CallAnswered
from .messages import CallForwarded
from .nodelog import NodeLog
from .nodemetrics import NodeMetrics
from .peerlink import PeerLink

__all__ = ["ForwardedCalls"]

# The connection to the sender of a request opens only with the first answer to it.
ANSWER_SEND_TIMEOUT_S: t.Final = 1.0
ANSWER_RETRY_INTERVAL_S: t.Final = 0.01
INTERNAL_ERROR: t.Final = 500


class ForwardedCalls:
    """The forwarded requests that are being answered.

    :param answer: answers a request as the leader.
    """

    def __init__(
        self,
        answer: t.Callable[[ClientCall], t.Awaitable[ClientAnswer]],
        peers: PeerLink,
        log: NodeLog,
        metrics: NodeMetrics,
    ) -> None:
        self._answer = answer
        self._peers = peers
        self._log = log
        self._metrics = metrics
        # Process and its number of each request.
        self._under_way: set[tuple[str, int]] = set()

    def start(
        self, sender: str, message: CallForwarded, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Answer a request, unless that is under way. Its sender repeats it without
        knowing, so that a slow leader would get work that nobody needs."""
        key = (sender, message.number)
        if key in self._under_way:
            self._metrics.count("forwarded_again")
            return

        async def run() -> None:
            try:
                await self._serve(sender, message)
            finally:
                self._under_way.discard(key)

        self._under_way.add(key)
        tasks.start_soon(run)

    async def _serve(self, sender: str, message: CallForwarded) -> None:
        call = ClientCall(message.method, message.host, message.path, message.body)
        answer: ClientAnswer | None = None
        with anyio.move_on_after(message.left_s):
            try:
                answer = await self._answer(call)
            except Deposed:
                # The sender forwards to the next leader; a refusal would end that.
                return
            except Exception as error:
                inputs = {"method": call.method, "path": call.path}
                self._log.event("call_failed", **inputs, trace=format_trace(error))
                answer = ClientAnswer(INTERNAL_ERROR, why=repr(error))
        if answer is None:
            # The sender has answered its client at the deadline.
            return
        self._peers.connect(sender, message.reply_to)
        answered = CallAnswered(message.number, *answer)
        with anyio.move_on_after(ANSWER_SEND_TIMEOUT_S):
            while not self._peers.send(sender, answered):
                await anyio.sleep(ANSWER_RETRY_INTERVAL_S)
