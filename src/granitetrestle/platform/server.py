"""ASGI application of a node: client requests, readiness checks and metrics, each on
its own port from the settings."""

import time
import typing as t

from ..errors import InvalidInput
from ..forwarding import ClientAnswer
from ..forwarding import ClientCall
from ..forwarding import Deposed
from ..interfaces import Config
from ..jobcalls import CancelJob
from ..jobcalls import GetState
from ..jobcalls import JobRefused
from ..jobcalls import SubmitJob
from ..jobrecords import DEFAULT_MAX_RECORD_BYTES
from ..jobrecords import longest_submission_record
from ..node import Node
from ..session import Session
from . import front

__all__ = ["FrontResponder", "Ports", "make_app"]

DEADLINE_HEADER: t.Final = b"deadline-ms"
# For clients that send no deadline: the longest one in the platform's specification.
DEFAULT_DEADLINE_S: t.Final = 3.0
# A client that names a longer one, or none that is finite, is answered within this.
MAX_DEADLINE_S: t.Final = 3600.0
# Subtracted from a client's deadline, so that the answer arrives in time.
ANSWER_SLACK_S: t.Final = 0.05
MAX_BODY_BYTES: t.Final = 1024 * 1024
RETRY_AFTER_S: t.Final = 1

Scope: t.TypeAlias = t.MutableMapping[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[t.MutableMapping[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[t.MutableMapping[str, t.Any]], t.Awaitable[None]]


class FrontResponder:
    """Decodes a client's request by the session's configuration and answers it.

    :param record_bytes: longest record that the store takes.
    """

    def __init__(self, record_bytes: int = DEFAULT_MAX_RECORD_BYTES) -> None:
        self._record_bytes = record_bytes
        self._indexed: tuple[Config, front.QueueIndex] | None = None

    def _index(self, config: Config) -> front.QueueIndex:
        if self._indexed is None or self._indexed[0] is not config:
            self._indexed = (config, front.QueueIndex(config))
        return self._indexed[1]

    async def answer(
        self, session: Session, request: str, call: ClientCall
    ) -> ClientAnswer:
        """See :class:`..node.Responder`."""
        config: Config | None = None
        while config is None or config is not session.config:
            # A configuration that came into force during the wait for the confirmation
            # may know the queue.
            if session.over:
                # Nothing has been done yet, and the successor may accept the call.
                raise Deposed
            config = session.config
            if config is None:
                return _retry_later("no configuration yet")
            decoded = self._decode(config, call)
            refusal = await _refusal(session, decoded)
            if refusal and not _is_submitted(session, decoded):
                return _retry_later(refusal, session.retry_after_s)
        if isinstance(decoded, InvalidInput):
            return ClientAnswer(400, decoded.message.encode(), why=decoded.message)
        if isinstance(decoded, front.UnknownQueue):
            return ClientAnswer(404)
        if self._is_of_other_queue(session, config, call, decoded):
            return ClientAnswer(410)
        outcome = await session.call(request, decoded)
        if isinstance(outcome, JobRefused):
            return ClientAnswer(503, why=outcome.reason)
        answer = front.encode_outcome(outcome)
        return ClientAnswer(answer.status, answer.body)

    def _decode(
        self, config: Config, call: ClientCall
    ) -> front.DecodedCall | InvalidInput:
        """Return the call that a request makes, or why it makes none."""
        try:
            decoded = front.decode_call(self._index(config), *call)
            self._check_size(decoded)
        except InvalidInput as error:
            return error
        return decoded

    def _is_of_other_queue(
        self,
        session: Session,
        config: Config,
        call: ClientCall,
        decoded: front.DecodedCall,
    ) -> bool:
        """Return whether a call names a job under the prefix of another queue, where
        there is no such job."""
        if not isinstance(decoded, CancelJob | GetState):
            return False
        workflow = session.scheduler.state.workflows.get(decoded.job)
        if workflow is None:
            return False
        queue = workflow.submission.queue
        return not self._index(config).may_name(queue, call.host, call.path)

    def _check_size(self, decoded: front.DecodedCall) -> None:
        """Reject a job that the store would not take, at whatever time it is accepted.

        :raises InvalidInput: if the job's record is too long for the store.
        """
        if not isinstance(decoded, SubmitJob):
            return
        record = longest_submission_record(decoded.submission)
        if record.size > self._record_bytes:
            raise InvalidInput(
                f"the job's record has more than {self._record_bytes} bytes"
            )


async def _refusal(session: Session, decoded: front.DecodedCall | InvalidInput) -> str:
    """Return why a call can't be answered now, or an empty string once this process is
    proved to lead, by a configuration that is fresh."""
    if isinstance(decoded, SubmitJob) and session.store_unavailable:
        return "store away"
    if session.serving and not await session.confirm():
        return "store away"
    return "" if session.serving else "the configuration was not confirmed recently"


def _is_submitted(session: Session, decoded: front.DecodedCall | InvalidInput) -> bool:
    """Return whether the call submits a job that is already accepted, perhaps not yet
    durably. To refuse such a call would be wrong, since the job may run."""
    if not isinstance(decoded, SubmitJob):
        return False
    return decoded.submission.job in session.scheduler.state.workflows


def _retry_later(why: str, retry_after_s: int = RETRY_AFTER_S) -> ClientAnswer:
    return ClientAnswer(503, b"", retry_after_s, why)


class Ports(t.NamedTuple):
    """Ports for readiness checks and metrics; all others serve clients."""

    ready: int
    metrics: int


def make_app(node: Node, ports: Ports, stopping: t.Callable[[], bool]) -> t.Any:
    """Return the ASGI application of ``node``.

    :param stopping: returns whether connections are closed after their answer.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        port = scope["server"][1]
        if port == ports.ready:
            await _reply(send, ClientAnswer(200 if node.ready else 503), False)
            return
        if port == ports.metrics:
            text = node.metrics.render(node.figures())
            await _reply(send, ClientAnswer(200, text), False)
            return
        answer = await _serve(node, scope, receive)
        await _reply(send, answer, stopping())

    return app


async def _serve(node: Node, scope: Scope, receive: Receive) -> ClientAnswer:
    started_at = time.monotonic()
    held_up_s = node.held_up_s
    body = await _body(receive)
    if body is None:
        return ClientAnswer(413)
    headers = dict(scope["headers"])
    host = headers.get(b"host", b"").decode("latin-1")
    call = ClientCall(scope["method"], host, scope["path"], body)
    left_s = _deadline_s(headers) - ANSWER_SLACK_S - (time.monotonic() - started_at)
    left_s -= held_up_s
    if held_up_s and left_s <= 0 and call.method == "POST":
        # Its client has left, and may have cancelled the job at another machine.
        answer = _retry_later(f"waited here for up to {held_up_s:.1f} s")
    else:
        answer = await node.serve(call, max(left_s, ANSWER_SLACK_S))
    took_s = time.monotonic() - started_at
    node.metrics.record_answer(call.method, answer.status, took_s)
    if answer.status >= 400 and answer.status not in (404, 410):
        node.log.event(
            "request_failed",
            method=call.method,
            path=call.path,
            status=answer.status,
            why=answer.why,
            took_s=round(took_s, 3),
        )
    return answer


def _deadline_s(headers: t.Mapping[bytes, bytes]) -> float:
    try:
        left_s = max(0.0, float(headers[DEADLINE_HEADER]) / 1000.0)
        return min(MAX_DEADLINE_S, left_s)
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S


async def _body(receive: Receive) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return b"".join(chunks)
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return None
        chunks.append(chunk)
        if not message.get("more_body"):
            return b"".join(chunks)


async def _reply(send: Send, answer: ClientAnswer, close: bool) -> None:
    headers = [(b"content-length", str(len(answer.body)).encode())]
    if answer.body:
        headers.append((b"content-type", b"application/json"))
    if answer.retry_after_s:
        headers.append((b"retry-after", str(answer.retry_after_s).encode()))
    if close:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})
