"""Stand-in for the platform: append-only streams with offsets and retention, and
the lagging list of boxes. Faults are switched by a request of their own:
``down`` answers nothing useful, ``slow`` answers late, ``lost_answers`` lets an
append take effect and then loses the answer."""

import json
import time
import typing as t

import anyio
from absl import app
from absl import flags
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from .serving import serve

__all__ = ["Platform", "main"]

FLAGS: t.Final = flags.FLAGS


class _Stream:
    def __init__(self) -> None:
        self.first = 1
        self.records: list[tuple[int, float, str]] = []
        self.news = anyio.Event()

    @property
    def next(self) -> int:
        return self.first + len(self.records)

    def append(self, data: str, keep: int) -> int:
        offset = self.next
        self.records.append((offset, time.time(), data))
        excess = len(self.records) - keep
        if keep and excess > 0:
            del self.records[:excess]
            self.first += excess
        self.news.set()
        self.news = anyio.Event()
        return offset


class Platform:
    """The log, the list, and their faults.

    :param keep: records kept in each stream; 0 keeps all.
    :param list_lag_s: how old the list is that readers see, in seconds.
    """

    def __init__(self, keep: int, list_lag_s: float) -> None:
        self._keep = keep
        self._list_lag_s = list_lag_s
        self._streams: dict[str, _Stream] = {}
        self._boxes: dict[str, tuple[float, dict[str, t.Any]]] = {}
        self._mode = "ok"
        self._delay_s = 0.0
        self._cut: set[str] = set()
        self.appends = 0

    def app(self) -> Starlette:
        """Return the HTTP interface."""
        return Starlette(
            routes=[
                Route("/v1/streams/{name}/records", self._read, methods=["GET"]),
                Route("/v1/streams/{name}/records", self._append, methods=["POST"]),
                Route("/v1/boxes", self._list, methods=["GET"]),
                Route("/v1/boxes", self._register, methods=["POST"]),
                Route("/faults", self._faults, methods=["POST"]),
            ]
        )

    async def _fault(self) -> Response | None:
        if self._delay_s:
            await anyio.sleep(self._delay_s)
        if self._mode == "down":
            return Response("down", 503)
        return None

    async def _read(self, request: Request) -> Response:
        if fault := await self._fault():
            return fault
        stream = self._streams.setdefault(request.path_params["name"], _Stream())
        start = int(request.query_params["from"])
        limit = int(request.query_params.get("limit", "500"))
        wait_s = int(request.query_params.get("wait_ms", "0")) / 1000.0
        if start >= stream.next:
            with anyio.move_on_after(wait_s):
                await stream.news.wait()
        if self._mode == "down":
            return Response("down", 503)
        if start < stream.first:
            body = {"first": stream.first, "next": stream.next}
            return JSONResponse(body, 410)
        index = start - stream.first
        records = [
            {"offset": offset, "at": at, "data": data}
            for offset, at, data in stream.records[index : index + limit]
        ]
        return JSONResponse(
            {"first": stream.first, "next": stream.next, "records": records}
        )

    async def _append(self, request: Request) -> Response:
        data = (await request.body()).decode()
        if fault := await self._fault():
            return fault
        stream = self._streams.setdefault(request.path_params["name"], _Stream())
        offset = stream.append(data, self._keep)
        self.appends += 1
        if self._mode == "lost_answers":
            return Response("lost", 500)
        return JSONResponse({"offset": offset})

    async def _list(self, request: Request) -> Response:
        if fault := await self._fault():
            return fault
        hall = request.query_params.get("hall", "")
        seen_by = time.time() - self._list_lag_s
        boxes = [
            info
            for since, info in self._boxes.values()
            if info["hall"] == hall and since <= seen_by
        ]
        return JSONResponse(boxes)

    async def _register(self, request: Request) -> Response:
        info = await request.json()
        self._boxes[info["box"]] = (time.time(), info)
        return JSONResponse({})

    async def _faults(self, request: Request) -> Response:
        body = await request.json()
        self._mode = body.get("mode", "ok")
        self._delay_s = float(body.get("delay_s", 0.0))
        return JSONResponse({"mode": self._mode, "appends": self.appends})


def _main(argv: list[str]) -> None:
    platform = Platform(FLAGS.keep, FLAGS.list_lag_s)
    print(json.dumps({"event": "platform", "port": FLAGS.port}), flush=True)
    anyio.run(serve, platform.app(), FLAGS.ip, FLAGS.port)


def main() -> None:
    """Run the stand-in."""
    flags.DEFINE_string("ip", "127.0.0.1", "IP number to listen on")
    flags.DEFINE_integer("port", 7000, "port to listen on")
    flags.DEFINE_integer("keep", 0, "records kept in each stream; 0: all")
    flags.DEFINE_float("list_lag_s", 0.0, "age of the box list, in seconds")
    app.run(_main)


if __name__ == "__main__":
    main()
