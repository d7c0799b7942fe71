"""What a process of the system is started with."""

import typing as t

from .forwarding import ClientAnswer
from .forwarding import ClientCall
from .session import Session
from .shardstate import SchedulerParameters

__all__ = ["NodeParameters", "Responder"]


class Responder(t.Protocol):
    """Answers clients' requests through a session."""

    async def answer(
        self, session: Session, request: str, call: ClientCall
    ) -> ClientAnswer:
        """Return the answer.

        :raises Deposed: if the session ended before the answer.
        """


class NodeParameters(t.NamedTuple):
    """Start parameters of a process.

    :param address: IP:PORT at which peers reach it.
    :param cores: processor cores of its box that it may use.
    """

    node: str
    incarnation: str
    hall: str
    ip: str
    address: str
    cores: float
    scheduler: SchedulerParameters
