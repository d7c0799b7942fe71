"""Hand-over: a leader that has resigned asks another process to take over."""

import time
import typing as t

import anyio

from .messages import LeaderResigned

__all__ = ["ask_to_take_over"]

# A connection to a process that has just restarted opens within a second, and nobody
# leads meanwhile. Without a request, the silence of the leader is noticed after as long.
ASK_TIMEOUT_S: t.Final = 0.6
ASK_INTERVAL_S: t.Final = 0.02


async def ask_to_take_over(
    send: t.Callable[[str, LeaderResigned], bool],
    candidates: t.Sequence[str],
    epoch: int,
) -> str:
    """Ask the first of ``candidates`` to which the request can be sent.

    :param send: returns whether the message is on its way to a process.
    :returns: the process that was asked, or an empty string.
    """
    until = time.monotonic() + ASK_TIMEOUT_S
    while candidates:
        for node in candidates:
            if send(node, LeaderResigned(epoch)):
                return node
        if time.monotonic() >= until:
            break
        await anyio.sleep(ASK_INTERVAL_S)
    return ""
