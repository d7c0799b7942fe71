"""Hand-over: a leader that has resigned asks another process to take over."""

import time
import typing as t

import anyio

from .messages import LeaderResigned

__all__ = ["ask_to_take_over"]

# A connection to a process that has just restarted opens within a second, and nobody
# leads meanwhile. Without a request, the silence of the leader is noticed after as long.
ASK_TIMEOUT_S: t.Final = 1.2
ASK_INTERVAL_S: t.Final = 0.02
# Processes that are not ready start, or stop and never take over, so they are asked only
# if none becomes ready within this time.
READY_TIMEOUT_S: t.Final = 0.4


async def ask_to_take_over(
    send: t.Callable[[str, LeaderResigned], bool],
    ready: t.Callable[[], t.Sequence[str]],
    others: t.Callable[[], t.Sequence[str]],
    epoch: int,
) -> str:
    """Ask the first process to which the request can be sent.

    :param send: returns whether the message is on its way to a process.
    :param ready: returns the processes that are ready, best first.
    :param others: returns those that may become ready, best first.
    :returns: the process that was asked, or an empty string.
    """
    began = time.monotonic()
    while True:
        waited_s = time.monotonic() - began
        candidates = ready()
        if not candidates and waited_s >= READY_TIMEOUT_S:
            candidates = others()
        for node in candidates:
            if send(node, LeaderResigned(epoch)):
                return node
        if waited_s >= ASK_TIMEOUT_S:
            return ""
        await anyio.sleep(ASK_INTERVAL_S)
