"""Hot path of the HTTP API: ``POST /v1/services/NAME/call``. It is a plain ASGI
application, without a framework, since each step adds to the latency of every call."""

import contextlib
import functools
import time
import typing as t
import uuid

import msgspec
from opentelemetry import trace

from .access import Access
from .access import Role
from .calls import Reply
from .engine import DEADLINE_MS_HEADER
from .engine import HOPS_HEADER
from .engine import KEY_GRANTED_HEADER
from .engine import OUTCOME_HEADER
from .engine import PEER_TOKEN_HEADER
from .engine import REQUEST_ID_HEADER
from .engine import CallBody
from .engine import Engine
from .errors import AccessDenied
from .errors import GranitetrestleError
from .errors import InvalidInput
from .events import RequestArrived
from .jobs import SERVICE_PATTERN
from .keys import MAX_KEY_AHEAD_S
from .outcomes import Answered
from .outcomes import NotRun
from .outcomes import Outcome
from .outcomes import Rejected
from .outcomes import Unknown
from .telemetry import PROPAGATOR
from .telemetry import trace_id

__all__ = ["CallPath", "error_body"]

Scope: t.TypeAlias = t.MutableMapping[str, t.Any]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[t.MutableMapping[str, t.Any]]]
Send: t.TypeAlias = t.Callable[[t.MutableMapping[str, t.Any]], t.Awaitable[None]]

MAX_BODY_BYTES = 64 * 1024
MAX_KEY_LENGTH = 128
DEFAULT_DEADLINE_S = 2.0
FORWARDED_HEADERS: t.Final = frozenset(
    {
        b"content-type",
        b"idempotency-key",
        b"idempotency-issued-at",
        b"x-repeatable",
        b"x-work-s",
    }
)
ACCOUNT: t.Final = b"x-granitetrestle-account"


def error_body(error: GranitetrestleError) -> bytes:
    """Return the JSON body of an error answer."""
    return msgspec.json.encode(
        {
            "error": error.code,
            "message": error.message,
            "next_step": error.next_step,
        }
    )


class CallPath:
    """ASGI application that serves calls to services."""

    def __init__(self, engine: Engine, access: Access) -> None:
        self._engine = engine
        self._access = access

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        headers = dict(scope["headers"])
        carrier = {"traceparent": headers.get(b"traceparent", b"").decode("latin-1")}
        telemetry = self._engine.telemetry
        started = time.perf_counter()
        with telemetry.tracer.start_as_current_span(
            "entry request",
            context=PROPAGATOR.extract(carrier),
            kind=trace.SpanKind.SERVER,
        ) as span:
            try:
                body = await _read_body(receive)
                event = self._parse_request(scope, headers)
                if span.is_recording():
                    span.set_attribute("account", event.account)
                    span.set_attribute("request", event.request)
                forwarded = _forwarded_headers(headers, event.account)
                call = CallBody(scope["path"], forwarded, body)
                outcome, reply = await self._engine.call(
                    event, call, functools.partial(_wait_for_disconnect, receive)
                )
                self._log_outcome(event, outcome)
            except GranitetrestleError as error:
                request_id = headers.get(REQUEST_ID_HEADER, b"")
                await _respond_with_error(send, error, request_id, b"rejected")
                return
        await self._respond(send, event.request, outcome, reply)
        telemetry.metrics.timing("request", time.perf_counter() - started)

    def _parse_request(
        self, scope: Scope, headers: dict[bytes, bytes]
    ) -> RequestArrived:
        service = scope["path"].split("/")[3]
        if not SERVICE_PATTERN.fullmatch(service):
            raise InvalidInput(
                f"service {service!r} must be a name of a-z, 0-9 and -, "
                "with up to 63 characters"
            )
        peer = self._access.is_peer(headers.get(PEER_TOKEN_HEADER, b""))
        now = time.monotonic()
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        if len(key) > MAX_KEY_LENGTH:
            raise InvalidInput(
                f"Idempotency-Key must have up to {MAX_KEY_LENGTH} characters, "
                f"not {len(key)}"
            )
        issued_at = _numeric_header(headers, b"idempotency-issued-at", 0.0)
        if key and not issued_at:
            raise InvalidInput(
                "Idempotency-Key requires Idempotency-Issued-At",
                "send the time (seconds since 1970) at which the key was made",
            )
        wall = time.time()
        if issued_at > wall + MAX_KEY_AHEAD_S:
            raise InvalidInput(
                f"Idempotency-Issued-At {issued_at:.3f} is in the future; "
                f"the time here is {wall:.3f}",
                "correct the caller's clock, or use the time of this answer",
            )
        return RequestArrived(
            now=now,
            wall=wall,
            request=_request_id(headers, peer),
            account=self._caller_account(headers, peer),
            service=service,
            deadline=now + self._deadline_s(headers),
            repeatable=headers.get(b"x-repeatable", b"") == b"yes" and not key,
            key=key,
            issued_at=issued_at,
            hops=int(_numeric_header(headers, HOPS_HEADER, 0.0)) if peer else 0,
            key_granted=peer and headers.get(KEY_GRANTED_HEADER, b"") == b"yes",
        )

    def _deadline_s(self, headers: dict[bytes, bytes]) -> float:
        requested_s = (
            _numeric_header(headers, DEADLINE_MS_HEADER, DEFAULT_DEADLINE_S * 1000.0)
            / 1000.0
        )
        return min(requested_s, self._engine.reducer.max_request_s)

    def _caller_account(self, headers: dict[bytes, bytes], peer: bool) -> str:
        if peer:
            return headers.get(ACCOUNT, b"").decode("latin-1")
        authorization = headers.get(b"authorization", b"").decode("latin-1")
        caller = self._access.authenticate(authorization)
        if caller.role is not Role.ACCOUNT:
            raise AccessDenied("only client accounts may call services")
        return caller.account

    def _log_outcome(self, event: RequestArrived, outcome: Outcome) -> None:
        log = self._engine.telemetry.log
        # Requests that may have run are logged one by one; metrics count the others.
        log_method = log.info if isinstance(outcome, Unknown) else log.debug
        log_method(
            "request",
            account=event.account,
            request=event.request,
            service=event.service,
            outcome=type(outcome).__name__,
            trace=trace_id(),
        )

    async def _respond(
        self, send: Send, request: str, outcome: Outcome, reply: Reply | None
    ) -> None:
        request_id = request.encode()
        self._engine.telemetry.metrics.count(f"outcome.{type(outcome).__name__}")
        match outcome:
            case Answered():
                assert reply is not None
                content_type = reply.header(b"content-type") or b"text/plain"
                headers = [
                    (b"content-type", content_type),
                    (OUTCOME_HEADER, b"answered"),
                ]
                await _send(send, reply.status, headers, request_id, reply.body)
            case NotRun():
                status = 429 if outcome.reason.value == "account_limit" else 503
                headers = [
                    (OUTCOME_HEADER, b"not_run"),
                    (b"retry-after", f"{outcome.retry_after_s:.3f}".encode()),
                ]
                body = _outcome_body("not_run", outcome)
                await _send(send, status, headers, request_id, body)
            case Unknown():
                body = _outcome_body("unknown", outcome)
                await _send(send, 504, [(OUTCOME_HEADER, b"unknown")], request_id, body)
            case Rejected():
                body = _outcome_body("rejected", outcome)
                await _send(
                    send, 400, [(OUTCOME_HEADER, b"rejected")], request_id, body
                )
            case _:
                raise AssertionError(outcome)


def _outcome_body(kind: str, outcome: NotRun | Unknown | Rejected) -> bytes:
    retry = outcome.retry_after_s if isinstance(outcome, NotRun) else None
    return msgspec.json.encode(
        {
            "outcome": kind,
            "reason": outcome.reason.value,
            "detail": outcome.detail,
            "retry_after_s": retry,
        }
    )


def _request_id(headers: dict[bytes, bytes], peer: bool) -> str:
    peer_request_id = headers.get(REQUEST_ID_HEADER, b"").decode("latin-1")
    # An id from a caller could equal another account's; ids of peers are unique.
    return peer_request_id if peer and peer_request_id else uuid.uuid4().hex


def _forwarded_headers(
    headers: dict[bytes, bytes], account: str
) -> tuple[tuple[bytes, bytes], ...]:
    copied = [(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]
    return ((ACCOUNT, account.encode()), *copied)


def _numeric_header(headers: dict[bytes, bytes], name: bytes, default: float) -> float:
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise InvalidInput(
            f"header {name.decode()} must be at least 0 and below 1e12, not {text!r}"
        )
    return value


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _read_body(receive: Receive) -> bytes:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise InvalidInput("the caller closed the connection within the body")
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise InvalidInput(f"the body must have up to {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _send(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    request_id: bytes,
    body: bytes,
) -> None:
    headers = [
        *headers,
        (REQUEST_ID_HEADER, request_id),
        (b"content-length", str(len(body)).encode()),
    ]
    # The caller may have left; then nobody needs the answer.
    with contextlib.suppress(OSError):
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


async def _respond_with_error(
    send: Send, error: GranitetrestleError, request_id: bytes, outcome: bytes
) -> None:
    headers = [(b"content-type", b"application/json"), (OUTCOME_HEADER, outcome)]
    await _send(send, error.http_status, headers, request_id, error_body(error))
