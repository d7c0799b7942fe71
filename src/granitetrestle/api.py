"""Administration API for accounts and operators: table, jobs, services, boxes, halls
and status. Requests about another hall, or about a shard that another process owns,
are relayed to a process that can answer."""

import time
import typing as t
import uuid

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .access import Access
from .access import Role
from .callpath import CallPath
from .callpath import Receive
from .callpath import Scope
from .callpath import Send
from .callpath import error_body
from .calls import CallFailure
from .engine import Engine
from .errors import DECODE_ERRORS
from .errors import AccessDenied
from .errors import ConflictError
from .errors import GranitetrestleError
from .errors import InvalidInput
from .errors import NotFound
from .errors import NotRunError
from .errors import OutcomeUnknown
from .errors import UnreachableError
from .events import BoxDrainRequested
from .events import HallEvacuateRequested
from .events import JobCancelRequested
from .events import JobSubmitRequested
from .events import TableEditRequested
from .jobs import Job
from .jobs import check_spec
from .outcomes import Accepted
from .outcomes import NotRun
from .outcomes import Outcome
from .outcomes import Reason
from .outcomes import Rejected
from .outcomes import Unknown
from .records import CellEdit
from .records import JobSpec
from .table import COLUMNS
from .table import check_edits
from .telemetry import PROPAGATOR
from .telemetry import trace_id
from .views import BoxView
from .views import ColumnView
from .views import JobView
from .views import StatusView
from .views import TableView
from .views import box_views
from .views import job_view
from .views import service_views
from .views import status_view
from .views import table_view

__all__ = ["Api", "make_app"]

MAX_BODY_BYTES = 256 * 1024
RELAY_TIMEOUT_S = 6.0
# One relay to the hall, and one there to the shard's owner.
MAX_RELAYS = 2
RELAY_COUNT_HEADER: t.Final = "x-granitetrestle-relayed"
T = t.TypeVar("T")


class TableEdits(msgspec.Struct, forbid_unknown_fields=True):
    """Request body that changes cells of the table."""

    edits: list[CellEdit]


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Request body that drains a box or ends its drain."""

    drained: bool


class EvacuateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Request body that evacuates or restores a hall."""

    evacuated: bool


class AcceptedView(msgspec.Struct):
    """Answer to an accepted change: its subject and the log offset of its record."""

    subject: str
    offset: int


def _json(value: t.Any, status: int = 200) -> Response:
    content = msgspec.json.encode(value)
    return Response(content, status, media_type="application/json")


def _error_response(error: GranitetrestleError) -> Response:
    headers = {}
    if isinstance(error, NotRunError):
        headers["retry-after"] = f"{error.retry_after_s:.3f}"
    return Response(
        error_body(error), error.http_status, headers, media_type="application/json"
    )


def raise_unless_accepted(outcome: Outcome) -> Accepted:
    """Return an accepted outcome.

    :raises GranitetrestleError: the typed error of any other outcome.
    """
    match outcome:
        case Accepted():
            return outcome
        case NotRun():
            reason = outcome.reason.value
            raise NotRunError(f"not run: {reason}", outcome.retry_after_s)
        case Unknown():
            step = "check whether it took effect before you repeat it"
            raise OutcomeUnknown(f"unknown: {outcome.detail}", step)
        case Rejected(reason=Reason.CONFLICT):
            step = "read the table again and retry with the current version"
            raise ConflictError(outcome.detail, step)
        case Rejected(reason=Reason.NOT_FOUND):
            raise NotFound(outcome.detail)
        case Rejected():
            raise InvalidInput(outcome.detail)
        case _:
            raise AssertionError(outcome)


class Api:
    """Request handlers of the administration API."""

    def __init__(self, engine: Engine, access: Access) -> None:
        self._engine = engine
        self._access = access

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [
            Route("/healthz", self._health, methods=["GET"]),
            Route("/readyz", self._ready, methods=["GET"]),
            self._route("/v1/table", self._table, "GET"),
            self._route("/v1/table", self._edit_table, "PATCH"),
            self._route("/v1/jobs", self._submit, "POST"),
            self._route("/v1/jobs", self._jobs, "GET"),
            self._route("/v1/jobs/{job}", self._job, "GET"),
            self._route("/v1/jobs/{job}", self._cancel, "DELETE"),
            self._route("/v1/jobs/{job}/explain", self._explain, "GET"),
            self._route("/v1/services", self._services, "GET"),
            self._route("/v1/boxes", self._boxes, "GET"),
            self._route("/v1/boxes/{box}", self._drain, "PATCH"),
            self._route("/v1/halls/{hall}", self._evacuate, "PATCH"),
            self._route("/v1/status", self._status, "GET"),
        ]

    def _route(
        self,
        path: str,
        handler: t.Callable[[Request], t.Awaitable[Response]],
        method: str,
    ) -> Route:
        name = f"{method} {path}"

        async def handle_errors(request: Request) -> Response:
            carrier = {"traceparent": request.headers.get("traceparent", "")}
            tracer = self._engine.telemetry.tracer
            with tracer.start_as_current_span(
                name, context=PROPAGATOR.extract(carrier)
            ):
                try:
                    return await handler(request)
                except GranitetrestleError as error:
                    return _error_response(error)

        return Route(path, handle_errors, methods=[method])

    async def _health(self, request: Request) -> Response:
        return _json({"alive": True})

    async def _ready(self, request: Request) -> Response:
        ready = self._engine.reducer.ready
        return _json({"ready": ready}, 200 if ready else 503)

    def _account(self, request: Request) -> str:
        """Return the caller's account, or an empty string for an operator."""
        authorization = request.headers.get("authorization", "")
        return self._access.authenticate(authorization).account

    def _require_operator(self, request: Request) -> None:
        self._access.require_operator(request.headers.get("authorization", ""))

    async def _body(self, request: Request, body_type: type[T]) -> T:
        data = b""
        async for chunk in request.stream():
            data += chunk
            if len(data) > MAX_BODY_BYTES:
                raise InvalidInput(f"the body exceeds {MAX_BODY_BYTES} bytes")
        try:
            return msgspec.json.decode(data, type=body_type)
        except DECODE_ERRORS as error:
            raise InvalidInput(f"bad body: {error}") from error

    async def _table(self, request: Request) -> Response:
        caller = self._access.authenticate(request.headers.get("authorization", ""))
        only_account = caller.account if caller.role is Role.ACCOUNT else ""
        view: TableView = table_view(self._engine.reducer, only_account)
        return _json(view)

    async def _edit_table(self, request: Request) -> Response:
        self._require_operator(request)
        body = await self._body(request, TableEdits)
        check_edits(body.edits)
        name = f"edit-{uuid.uuid4().hex}"
        event = TableEditRequested(time.monotonic(), name, tuple(body.edits))
        accepted = raise_unless_accepted(await self._engine.submit_change(name, event))
        return _json(AcceptedView(accepted.subject, accepted.offset))

    async def _submit(self, request: Request) -> Response:
        account = self._account(request)
        if not account:
            raise AccessDenied(
                "only accounts may submit jobs", "use an account's token"
            )
        spec = await self._body(request, JobSpec)
        check_spec(spec)
        name = f"job-{uuid.uuid4().hex}"
        job = f"{self._engine.settings.hall}.{uuid.uuid4().hex[:12]}"
        event = JobSubmitRequested(time.monotonic(), name, job, account, spec)
        accepted = raise_unless_accepted(await self._engine.submit_change(name, event))
        self._engine.telemetry.log.info(
            "job_accepted",
            account=account,
            job=accepted.subject,
            offset=accepted.offset,
            trace=trace_id(),
        )
        return _json(AcceptedView(accepted.subject, accepted.offset), 201)

    async def _jobs(self, request: Request) -> Response:
        account = self._account(request)
        hall = request.query_params.get("hall", "")
        if hall and hall != self._engine.settings.hall:
            return await self._relay_to_hall(request, hall)
        jobs = self._engine.reducer.jobs.jobs.values()
        views: list[JobView] = [
            job_view(job) for job in jobs if account in ("", job.account)
        ]
        return _json(views)

    def _find_job(self, request: Request) -> Job | None:
        """Return the job, or ``None`` if it belongs to another hall.

        :raises NotFound: if the job does not exist or belongs to another account.
        """
        account = self._account(request)
        name = request.path_params["job"]
        if _hall_of_job(name) != self._engine.settings.hall:
            return None
        job = self._engine.reducer.jobs.jobs.get(name)
        if job is None or account not in ("", job.account):
            raise NotFound(f"no job {name}", "see: granitetrestle job list")
        return job

    async def _job(self, request: Request) -> Response:
        job = self._find_job(request)
        if job is None:
            return await self._relay_job(request)
        return _json(job_view(job))

    async def _cancel(self, request: Request) -> Response:
        job = self._find_job(request)
        if job is None:
            return await self._relay_job(request)
        name = f"cancel-{uuid.uuid4().hex}"
        event = JobCancelRequested(time.monotonic(), name, job.job, job.account)
        accepted = raise_unless_accepted(await self._engine.submit_change(name, event))
        return _json(AcceptedView(accepted.subject, accepted.offset))

    async def _explain(self, request: Request) -> Response:
        job = self._find_job(request)
        if job is None:
            return await self._relay_job(request)
        reasons = self._engine.reducer.explain(job)
        if reasons is not None:
            return _json(reasons)
        owner = self._engine.reducer.ownership.shards[job.shard].holder
        if not owner:
            return _json({task: "the shard has no owner now" for task in job.tasks})
        return await self._relay(request, [owner])

    async def _relay_job(self, request: Request) -> Response:
        return await self._relay_to_hall(
            request, _hall_of_job(request.path_params["job"])
        )

    async def _relay_to_hall(
        self, request: Request, hall: str, body: bytes = b""
    ) -> Response:
        nodes = [p.node for p in self._engine.settings.peers if p.hall == hall]
        if not nodes:
            raise NotFound(f"no hall {hall!r}")
        return await self._relay(request, nodes, body)

    async def _relay(
        self, request: Request, nodes: t.Sequence[str], body: bytes = b""
    ) -> Response:
        relays = _relay_count(request)
        if relays >= MAX_RELAYS:
            raise UnreachableError(
                f"relayed {relays} times: the shard's owner has changed", "try again"
            )
        headers = [
            (b"authorization", request.headers.get("authorization", "").encode()),
            (RELAY_COUNT_HEADER.encode(), str(relays + 1).encode()),
        ]
        carrier: dict[str, str] = {}
        PROPAGATOR.inject(carrier)
        headers += [(k.encode(), v.encode()) for k, v in carrier.items()]
        path = request.url.path
        if request.url.query:
            path += f"?{request.url.query}"
        for node in nodes:
            address = self._engine.http_address(node)
            if address is None:
                continue
            reply = await self._engine.caller.call(
                address, path, headers, body, RELAY_TIMEOUT_S, True, request.method
            )
            if not isinstance(reply, CallFailure):
                return Response(reply.body, reply.status, media_type="application/json")
            if reply.proof.may_have_run and request.method != "GET":
                raise OutcomeUnknown(f"process {node} did not answer")
        names = ", ".join(nodes)
        raise UnreachableError(f"can't reach {names}", "the hall may be disconnected")

    async def _services(self, request: Request) -> Response:
        self._account(request)
        return _json(service_views(self._engine.reducer))

    async def _boxes(self, request: Request) -> Response:
        self._require_operator(request)
        hall = request.query_params.get("hall", "")
        if hall and hall != self._engine.settings.hall:
            return await self._relay_to_hall(request, hall)
        boxes: list[BoxView] = box_views(self._engine.reducer)
        return _json(boxes)

    async def _drain(self, request: Request) -> Response:
        self._require_operator(request)
        body = await self._body(request, DrainBody)
        hall = request.query_params.get("hall", "")
        if hall and hall != self._engine.settings.hall:
            content = msgspec.json.encode(body)
            return await self._relay_to_hall(request, hall, content)
        name = f"drain-{uuid.uuid4().hex}"
        box = request.path_params["box"]
        event = BoxDrainRequested(time.monotonic(), name, box, body.drained)
        accepted = raise_unless_accepted(await self._engine.submit_change(name, event))
        return _json(AcceptedView(accepted.subject, accepted.offset))

    async def _evacuate(self, request: Request) -> Response:
        self._require_operator(request)
        body = await self._body(request, EvacuateBody)
        hall = request.path_params["hall"]
        if hall != self._engine.settings.hall:
            content = msgspec.json.encode(body)
            return await self._relay_to_hall(request, hall, content)
        name = f"evacuate-{uuid.uuid4().hex}"
        event = HallEvacuateRequested(time.monotonic(), name, body.evacuated)
        accepted = raise_unless_accepted(await self._engine.submit_change(name, event))
        return _json(AcceptedView(accepted.subject, accepted.offset))

    async def _status(self, request: Request) -> Response:
        self._account(request)
        view: StatusView = status_view(self._engine.reducer, self._engine.settings)
        return _json(view)


def _relay_count(request: Request) -> int:
    text = request.headers.get(RELAY_COUNT_HEADER, "0")
    return int(text) if text in ("0", "1") else MAX_RELAYS


def _hall_of_job(job: str) -> str:
    return job.partition(".")[0]


def columns() -> list[ColumnView]:
    """Return the description of each column of the table."""
    return [ColumnView(c.name, c.default, c.unit, c.meaning) for c in COLUMNS.values()]


def make_app(
    engine: Engine, access: Access
) -> t.Callable[[Scope, Receive, Send], t.Awaitable[None]]:
    """Return the ASGI application.

    Calls of services bypass Starlette, since they are the hot path.
    """
    admin = Starlette(routes=Api(engine, access).routes())
    call_path = CallPath(engine, access)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http" and _is_service_call(scope):
            await call_path(scope, receive, send)
            return
        await admin(scope, receive, send)

    return app


def _is_service_call(scope: Scope) -> bool:
    path: str = scope["path"]
    return bool(
        scope["method"] == "POST"
        and path.startswith("/v1/services/")
        and path.endswith("/call")
        and path.count("/") == 4
    )
