"""Stand-in for a box: runs tasks under leases, reports usage with a lag, can
checkpoint and stop them, and answers requests for its running services with a
bounded number of slots. Colocated batch work slows services down."""

import asyncio
import collections
import json
import time
import typing as t

import anyio
import httpcore
from absl import app
from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from .serving import serve

__all__ = ["Worker", "main"]

FLAGS: t.Final = flags.FLAGS
SERVICE_S = 0.002
INTERFERENCE = 0.5
STEP_S = 0.02
CONNECTIONS = 64


class _Task:
    def __init__(self, command: dict[str, t.Any], now: float) -> None:
        self.task: str = command["task"]
        self.attempt: int = command["attempt"]
        self.epoch: int = command["epoch"]
        self.spec: dict[str, t.Any] = command["spec"]
        self.expires: float = command["expires"]
        self.state = "running"
        self.started = now
        self.checkpoint = command.get("checkpoint", "")
        self.done_s = float(self.checkpoint or 0.0)
        self.in_service = 0
        self.speed = 1.0
        self.advanced = now
        self.usage: collections.deque[tuple[float, float]] = collections.deque(
            [(now, 0.0)]
        )

    def advance(self, now: float, lag_s: float) -> None:
        """Work on until ``now``, and note the usage for the lagging report."""
        self.done_s += self.speed * (now - self.advanced)
        self.advanced = now
        self.usage.append((now, self.speed * self.spec["cores"]))
        while len(self.usage) > 1 and self.usage[1][0] <= now - lag_s:
            self.usage.popleft()

    @property
    def cores_used(self) -> float:
        """Usage as it was one lag ago."""
        return self.usage[0][1] if self.state == "running" else 0.0


class Worker:
    """The box: its tasks, its slots, and what it saw go wrong."""

    def __init__(self, info: dict[str, t.Any], usage_lag_s: float) -> None:
        self._info = info
        self._usage_lag_s = usage_lag_s
        self._tasks: dict[tuple[str, int], _Task] = {}
        self._served = 0
        self._runs: dict[str, int] = {}
        self.faults: list[str] = []
        self._broken = False

    def endpoint_app(self) -> Starlette:
        """Return the interface for requests."""
        return Starlette(
            routes=[Route("/v1/serve/{service}", self._serve, methods=["POST"])]
        )

    def app(self) -> Starlette:
        """Return the interface for the scheduler, and for looking inside."""
        return Starlette(
            routes=[
                Route("/v1/exchange", self._exchange, methods=["POST"]),
                Route("/inspect", self._inspect, methods=["GET"]),
                Route("/faults", self._faults, methods=["POST"]),
            ]
        )

    def _running(self) -> list[_Task]:
        return [task for task in self._tasks.values() if task.state == "running"]

    async def _exchange(self, request: Request) -> Response:
        body = await request.json()
        self.advance()
        results = [self._obey(command) for command in body["commands"]]
        tasks = [
            {
                "task": task.task,
                "attempt": task.attempt,
                "epoch": task.epoch,
                "state": task.state,
                "checkpoint": task.checkpoint,
                "cores_used": task.cores_used,
            }
            for task in self._tasks.values()
        ]
        return JSONResponse({"results": results, "tasks": tasks})

    def _obey(self, command: dict[str, t.Any]) -> dict[str, t.Any]:
        error = getattr(self, f"_do_{command['op']}")(command) or ""
        return {
            "task": command["task"],
            "attempt": command["attempt"],
            "op": command["op"],
            "error": error,
        }

    def _find(self, command: dict[str, t.Any]) -> _Task | None:
        return self._tasks.get((command["task"], command["attempt"]))

    def _do_start(self, command: dict[str, t.Any]) -> str:
        now = time.time()
        if now > command["not_after"]:
            return "too late"
        if self._find(command) is not None:
            return "known"
        task = _Task(command, now)
        if any(other.task == task.task for other in self._running()):
            self.faults.append(f"{task.task} started twice")
            return "runs already"
        used = sum(other.spec["cores"] for other in self._running())
        if used + task.spec["cores"] > self._info["cores"] + 1e-6:
            self.faults.append(f"{task.task} overcommits the box")
            return "no room"
        if self._broken:
            task.state = "failed"
        self._tasks[(task.task, task.attempt)] = task
        self._runs[task.task] = self._runs.get(task.task, 0) + 1
        return ""

    def _do_renew(self, command: dict[str, t.Any]) -> str:
        task = self._find(command)
        if task is None:
            return "unknown"
        task.expires = max(task.expires, command["expires"])
        return ""

    def _do_stop(self, command: dict[str, t.Any]) -> str:
        task = self._find(command)
        if task is not None and task.state == "running":
            task.state = "stopped"
        return ""

    def _do_checkpoint(self, command: dict[str, t.Any]) -> str:
        task = self._find(command)
        if task is None or task.state != "running":
            return "not running"
        task.checkpoint = f"{task.done_s:.3f}"
        task.state = "evicted"
        return ""

    def _do_throttle(self, command: dict[str, t.Any]) -> str:
        task = self._find(command)
        if task is None or task.state != "running":
            return "not running"
        task.speed = float(command["speed"])
        return ""

    def _do_forget(self, command: dict[str, t.Any]) -> str:
        task = self._find(command)
        if task is not None and task.state != "running":
            del self._tasks[(task.task, task.attempt)]
        return ""

    def advance(self) -> None:
        """Let tasks work on, finish, or lapse, up to now."""
        now = time.time()
        for task in self._running():
            task.advance(now, self._usage_lag_s)
            if now > task.expires:
                task.state = "lapsed"
            elif task.spec["kind"] == "batch" and self._is_done(task):
                task.state = "finished"

    @staticmethod
    def _is_done(task: _Task) -> bool:
        return task.done_s >= float(task.spec.get("run_s", 0.0))

    async def _serve(self, request: Request) -> Response:
        body = await request.body()
        request_id = request.headers.get("x-request-id", "")
        service = request.path_params["service"]
        self.advance()
        running = [
            task for task in self._running() if task.spec.get("service") == service
        ]
        free = [task for task in running if task.in_service < self._info["slots"]]
        if not free:
            return Response("busy", 503, {"x-refused": "yes"})
        task = min(free, key=lambda x: x.in_service)
        task.in_service += 1
        try:
            await asyncio.sleep(self._service_s(request))
        finally:
            task.in_service -= 1
        self._served += 1
        headers = {"x-request-id": request_id, "x-box": self._info["box"]}
        return Response(body, 200, headers)

    def _service_s(self, request: Request) -> float:
        base = float(request.headers.get("x-work-s", SERVICE_S))
        batch = 0.0
        for task in self._running():
            if task.spec["kind"] == "batch":
                batch += task.speed * float(task.spec["cores"])
        slowdown: float = 1.0 + INTERFERENCE * batch / float(self._info["cores"])
        return base * slowdown

    async def _inspect(self, request: Request) -> Response:
        self.advance()
        return JSONResponse(
            {
                "running": [task.task for task in self._running()],
                "runs": self._runs,
                "served": self._served,
                "in_service": sum(x.in_service for x in self._running()),
                "faults": self.faults,
            }
        )

    async def _faults(self, request: Request) -> Response:
        body = await request.json()
        self._broken = bool(body.get("broken", False))
        return JSONResponse({})


async def _run(info: dict[str, t.Any], platform: str) -> None:
    worker = Worker(info, FLAGS.usage_lag_s)
    ip, _, port = info["address"].rpartition(":")
    _, _, endpoint_port = info["endpoint_address"].rpartition(":")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, worker.app(), ip, int(port))
        tasks.start_soon(
            serve, worker.endpoint_app(), ip, int(endpoint_port), CONNECTIONS
        )
        await _register(info, platform)
        while True:
            worker.advance()
            await anyio.sleep(STEP_S)


async def _register(info: dict[str, t.Any], platform: str) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            try:
                await pool.request(
                    "POST",
                    f"http://{platform}/v1/boxes",
                    content=json.dumps(info).encode(),
                )
                return
            except httpcore.NetworkError:
                await anyio.sleep(0.1)


def _main(argv: list[str]) -> None:
    info = {
        "box": FLAGS.box,
        "hall": FLAGS.hall,
        "rack": FLAGS.rack,
        "address": f"{FLAGS.ip}:{FLAGS.port}",
        "endpoint_address": f"{FLAGS.ip}:{FLAGS.endpoint_port}",
        "state": "live",
        "cores": FLAGS.cores,
        "memory_gb": FLAGS.memory_gb,
        "accelerators": 0,
        "slots": FLAGS.slots,
    }
    anyio.run(_run, info, FLAGS.platform)


def main() -> None:
    """Run the stand-in."""
    flags.DEFINE_string("box", "box-1", "name of the box")
    flags.DEFINE_string("hall", "zurich", "its data hall")
    flags.DEFINE_string("rack", "r1", "its rack")
    flags.DEFINE_string("ip", "127.0.0.1", "IP number to listen on")
    flags.DEFINE_integer("port", 7500, "port to listen on")
    flags.DEFINE_integer("endpoint_port", 7600, "port for requests")
    flags.DEFINE_float("usage_lag_s", 2.0, "age of reported usage, in seconds")
    flags.DEFINE_string("platform", "127.0.0.1:7000", "address of the platform")
    flags.DEFINE_float("cores", 24.0, "processors")
    flags.DEFINE_float("memory_gb", 125.0, "memory")
    flags.DEFINE_integer("slots", 8, "requests at a time for each service task")
    app.run(_main)


if __name__ == "__main__":
    main()
