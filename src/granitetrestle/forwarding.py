"""Brings a client's request to the process that decides, again if that changes, and
never says "not taken" of a request that some decider may have taken."""

import itertools
import secrets
import time
import typing as t

import anyio

from .answering import AnswerWatch
from .messages import CallAnswered
from .messages import CallForwarded
from .messages import Message

__all__ = ["ClientAnswer", "ClientCall", "Deposed", "Forwarding", "Target"]

# A hand-over takes some 0.2 s and a take-over after a kill about a second; a client
# is told to come back rather than kept for longer than that.
WAIT_FOR_LEADER_S: t.Final = 0.9
COME_BACK_S: t.Final = 1
# A request that the decider has not answered is sent again: a message may be lost.
REPEAT_S: t.Final = 0.6
PAUSE_S: t.Final = 0.03
# Two lives of a process number a day's requests alike once in some millions of years.
NUMBER_BITS: t.Final = 62
UNAVAILABLE: t.Final = 503
NO_ANSWER: t.Final = 504
REFUSALS: t.Final = (429, UNAVAILABLE)


class Deposed(Exception):
    """This process decides no more; the request belongs to its successor."""


class ClientCall(t.NamedTuple):
    """A client's request as it came in."""

    method: str
    host: str
    path: str
    body: bytes


class ClientAnswer(t.NamedTuple):
    """What a client is told.

    :param retry_after_s: when to come back; 0 for no advice.
    :param why: cause of a failure, for the log of the process that took the request.
    """

    status: int
    body: bytes = b""
    retry_after_s: int = 0
    why: str = ""


class Target(t.NamedTuple):
    """A decider in one epoch."""

    node: str
    epoch: int


class _Waiting:
    """A request on its way."""

    __slots__ = ("answer", "news")

    def __init__(self) -> None:
        self.answer: ClientAnswer | None = None
        self.news = anyio.Event()


class Forwarding:
    """The requests that this process has taken from clients.

    :param address: where this process's peers reach it.
    :param send: sends a message to a process; says whether it went.
    :param answer_here: answers as the decider.
    """

    def __init__(
        self,
        node: str,
        address: str,
        send: t.Callable[[str, Message], bool],
        answer_here: t.Callable[[ClientCall], t.Awaitable[ClientAnswer]],
    ) -> None:
        self._node = node
        self._address = address
        self._send = send
        self._answer_here = answer_here
        # An answer to an earlier life of this process must not be taken for one of its
        # own: lives number their requests from far apart.
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))
        self._waiting: dict[int, _Waiting] = {}
        self._answers = AnswerWatch()
        self._closed = False

    @property
    def open_calls(self) -> int:
        """Requests without an answer."""
        return len(self._waiting)

    def leader_changed(self) -> None:
        """Let all requests look for the decider again."""
        for waiting in self._waiting.values():
            waiting.news.set()

    def close(self) -> None:
        """Give all requests their final answer now: the process ends."""
        self._closed = True
        self.leader_changed()

    def answered(self, message: CallAnswered) -> None:
        """Take up a decider's answer."""
        self._answers.answered(message.number)
        waiting = self._waiting.get(message.number)
        if waiting is not None and waiting.answer is None:
            waiting.answer = ClientAnswer(
                message.status, message.body, message.retry_after_s, message.why
            )
            waiting.news.set()

    async def serve(
        self, call: ClientCall, left_s: float, leader: t.Callable[[], Target | None]
    ) -> ClientAnswer:
        """Answer a request within ``left_s`` seconds."""
        number = next(self._numbers)
        waiting = self._waiting[number] = _Waiting()
        asked: list[Target] = []
        try:
            with anyio.move_on_after(left_s):
                answer = await self._bring(number, waiting, call, left_s, leader, asked)
                if answer is not None:
                    return _truthful(call, answer, asked)
        finally:
            del self._waiting[number]
            self._answers.ended(number)
        if not asked:
            return _refusal()
        return ClientAnswer(NO_ANSWER, why=f"no answer; {_described(asked)}")

    async def _bring(
        self,
        number: int,
        waiting: _Waiting,
        call: ClientCall,
        left_s: float,
        leader: t.Callable[[], Target | None],
        asked: list[Target],
    ) -> ClientAnswer | None:
        began = time.monotonic()
        unreached_since: float | None = None
        while waiting.answer is None and not self._closed:
            target = leader()
            now = time.monotonic()
            waiting.news = anyio.Event()
            if target is not None and target.node == self._node:
                asked.append(target)
                try:
                    return await self._answer_here(call)
                except Deposed:
                    await anyio.sleep(PAUSE_S)
                    continue
            if target is not None and not asked and self._answers.hopeless(target):
                after_s = self._answers.come_back_s()
                return ClientAnswer(UNAVAILABLE, b"", after_s, "no answers come")
            if target is not None and self._forward(
                number, call, target, left_s - (now - began)
            ):
                asked.append(target)
                unreached_since = None
                await _news(waiting, REPEAT_S)
                continue
            unreached_since = unreached_since or now
            if now - unreached_since > WAIT_FOR_LEADER_S:
                return None
            # The connection to a decider that is known is only being opened.
            await _news(waiting, PAUSE_S if target else WAIT_FOR_LEADER_S / 3)
        return waiting.answer

    def _forward(
        self, number: int, call: ClientCall, target: Target, left_s: float
    ) -> bool:
        message = CallForwarded(
            number,
            call.method,
            call.host,
            call.path,
            call.body,
            left_s,
            self._address,
        )
        self._answers.sent(number, target)
        went = self._send(target.node, message)
        if not went:
            self._answers.ended(number)
        return went


async def _news(waiting: _Waiting, at_most_s: float) -> None:
    with anyio.move_on_after(at_most_s):
        await waiting.news.wait()


def _refusal() -> ClientAnswer:
    return ClientAnswer(UNAVAILABLE, b"", COME_BACK_S, "no decider is known")


def _described(asked: list[Target]) -> str:
    last = asked[-1]
    return f"sent {len(asked)} times, last to {last.node} of epoch {last.epoch}"


def _truthful(
    call: ClientCall, answer: ClientAnswer, asked: list[Target]
) -> ClientAnswer:
    """A refusal is true only if the request was sent once: another message of it may
    still be on its way, or have been taken by another decider."""
    if call.method == "POST" and answer.status in REFUSALS and len(asked) > 1:
        why = f"refused ({answer.why}), but {_described(asked)}"
        return ClientAnswer(NO_ANSWER, why=why)
    return answer
