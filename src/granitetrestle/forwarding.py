"""Forwarding of clients' requests to the leader, again if the leader changes.

A client never gets a refusal for a request that some leader may have accepted."""

import itertools
import secrets
import time
import typing as t

import anyio

from .answering import AnswerWatch
from .forwardwindow import ForwardWindow
from .messages import CallAnswered
from .messages import CallForwarded
from .messages import Message

__all__ = ["ClientAnswer", "ClientCall", "Deposed", "Forwarding", "Target"]

# A handover takes some 0.2 s and a take-over after a kill about a second. A client that
# would wait longer is refused and retries: for a leader, until one that takes over
# answers, or until it is its turn.
LEADER_WAIT_TIMEOUT_S: t.Final = 0.9
RETRY_AFTER_S: t.Final = 1
# A request without an answer is sent again: messages may be lost.
RESEND_INTERVAL_S: t.Final = 0.6
RETRY_PAUSE_S: t.Final = 0.03
# Two incarnations of a process use the same numbers for a day's requests once in some
# millions of years.
REQUEST_NUMBER_BITS: t.Final = 62
SERVICE_UNAVAILABLE: t.Final = 503
GATEWAY_TIMEOUT: t.Final = 504
REFUSALS: t.Final = (429, SERVICE_UNAVAILABLE)


class Deposed(Exception):
    """This process is no longer the leader; the request belongs to its successor."""


class ClientCall(t.NamedTuple):
    """A client's request as received."""

    method: str
    host: str
    path: str
    body: bytes


class ClientAnswer(t.NamedTuple):
    """The answer to a client.

    :param status: HTTP status.
    :param retry_after_s: delay after which to retry; 0 for no advice.
    :param why: cause of a failure, for the log of the process that received the request.
    """

    status: int
    body: bytes = b""
    retry_after_s: int = 0
    why: str = ""


class Target(t.NamedTuple):
    """A leader in one epoch.

    :param taking_over: whether it answers no requests yet.
    """

    node: str
    epoch: int
    taking_over: bool = False


class _PendingCall:
    """A request without an answer.

    :ivar changed: set when the answer arrives, the leader changes or the process ends.
    """

    __slots__ = ("answer", "changed")

    def __init__(self) -> None:
        self.answer: ClientAnswer | None = None
        self.changed = anyio.Event()


class Forwarding:
    """Forwards the requests that this process has received from clients.

    :param address: IP:PORT at which peers reach this process.
    :param send: sends a message to a process; returns whether it was queued.
    :param answer_locally: answers a request as the leader.
    :param window: limits the requests that are under way to the leader.
    """

    def __init__(
        self,
        node: str,
        address: str,
        send: t.Callable[[str, Message], bool],
        answer_locally: t.Callable[[ClientCall], t.Awaitable[ClientAnswer]],
        window: ForwardWindow,
    ) -> None:
        self._node = node
        self._address = address
        self._send = send
        self._answer_locally = answer_locally
        # An answer to an earlier incarnation must not be taken for one to this one:
        # each starts its numbers at random.
        self._numbers = itertools.count(secrets.randbits(REQUEST_NUMBER_BITS))
        self._pending: dict[int, _PendingCall] = {}
        self._answers = AnswerWatch()
        self._window = window
        self._closed = False

    @property
    def open_calls(self) -> int:
        """Number of requests without an answer."""
        return len(self._pending)

    def leader_changed(self) -> None:
        """Let all requests without an answer determine the leader again."""
        for pending in self._pending.values():
            pending.changed.set()

    def close(self) -> None:
        """End the wait of all requests with their final answer: the process ends."""
        self._closed = True
        self.leader_changed()

    def record_answer(self, message: CallAnswered) -> None:
        """Record a leader's answer."""
        self._answers.record_answer(message.number)
        self._window.leave(message.number)
        pending = self._pending.get(message.number)
        if pending is not None and pending.answer is None:
            pending.answer = ClientAnswer(
                message.status, message.body, message.retry_after_s, message.why
            )
            pending.changed.set()

    async def serve(
        self, call: ClientCall, left_s: float, leader: t.Callable[[], Target | None]
    ) -> ClientAnswer:
        """Return the answer to a request within ``left_s`` seconds.

        :param leader: returns the leader that can answer now, or ``None``.
        """
        number = next(self._numbers)
        pending = self._pending[number] = _PendingCall()
        attempts: list[Target] = []
        try:
            with anyio.move_on_after(left_s):
                answer = await self._deliver(
                    number, pending, call, left_s, leader, attempts
                )
                if answer is not None:
                    return _without_false_refusal(call, answer, attempts)
        finally:
            del self._pending[number]
            self._answers.remove(number)
            self._window.leave(number)
        if not attempts:
            return _refusal()
        return ClientAnswer(
            GATEWAY_TIMEOUT, why=f"no answer; {_describe_attempts(attempts)}"
        )

    async def _deliver(
        self,
        number: int,
        pending: _PendingCall,
        call: ClientCall,
        left_s: float,
        leader: t.Callable[[], Target | None],
        attempts: list[Target],
    ) -> ClientAnswer | None:
        started = waiting_since = time.monotonic()
        waits_for: Target | None = None
        while pending.answer is None and not self._closed:
            target = leader()
            now = time.monotonic()
            if now - started > left_s:
                # The process stood still; the timeout takes effect at the next wait.
                return None
            pending.changed = anyio.Event()
            if target != waits_for:
                waits_for, waiting_since = target, now
            waits_for_turn = target is not None
            pause_s = LEADER_WAIT_TIMEOUT_S / 3
            if target is not None and not target.taking_over:
                if target.node == self._node:
                    attempts.append(target)
                    try:
                        return await self._answer_locally(call)
                    except Deposed:
                        await anyio.sleep(RETRY_PAUSE_S)
                        continue
                if not attempts and self._answers.should_refuse(target):
                    after_s = self._answers.next_retry_after_s()
                    return ClientAnswer(
                        SERVICE_UNAVAILABLE,
                        b"",
                        after_s,
                        "the leader answers no requests",
                    )
                size = len(call.body)
                if self._window.enter(number, target, size, pending.changed.set):
                    if self._forward(number, call, target, left_s - (now - started)):
                        attempts.append(target)
                        waiting_since = now
                        await _wait_for_change(pending, RESEND_INTERVAL_S)
                        continue
                    # Only the connection to it is still being opened.
                    waits_for_turn, pause_s = False, RETRY_PAUSE_S
            # One that was sent before may have been accepted: only a leader knows.
            if now - waiting_since > LEADER_WAIT_TIMEOUT_S and not (
                attempts and waits_for_turn
            ):
                return None
            await _wait_for_change(pending, pause_s)
        return pending.answer

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
        self._answers.record_sent(number, target)
        queued = self._send(target.node, message)
        if not queued:
            self._answers.remove(number)
        return queued


async def _wait_for_change(pending: _PendingCall, timeout_s: float) -> None:
    with anyio.move_on_after(timeout_s):
        await pending.changed.wait()


def _refusal() -> ClientAnswer:
    return ClientAnswer(SERVICE_UNAVAILABLE, b"", RETRY_AFTER_S, "no leader is known")


def _describe_attempts(attempts: list[Target]) -> str:
    last = attempts[-1]
    return f"sent {len(attempts)} times, last to {last.node} of epoch {last.epoch}"


def _without_false_refusal(
    call: ClientCall, answer: ClientAnswer, attempts: list[Target]
) -> ClientAnswer:
    """Return the answer, or one of unknown outcome in place of a refusal of a request
    that was sent more than once: another copy may still be in flight, or have been
    accepted by another leader."""
    if call.method == "POST" and answer.status in REFUSALS and len(attempts) > 1:
        why = f"refused ({answer.why}), but {_describe_attempts(attempts)}"
        return ClientAnswer(GATEWAY_TIMEOUT, why=why)
    return answer
