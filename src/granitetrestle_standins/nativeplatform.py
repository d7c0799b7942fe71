"""A stand-in for the users' platform over HTTP: a store and boxes in one process, each
at its own address, for tests of the real daemon only. Its formats are written from the
platform's specification, independently of the adapter."""

import argparse
import asyncio
import base64
import functools
import json
import random
import struct
import time
import typing as t
import urllib.parse

from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import Fenced
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.interfaces import Writer
from granitetrestle_standins.adviceserver import AdviceServer
from granitetrestle_standins.boxprofiles import PLAIN_BOX
from granitetrestle_standins.boxprofiles import BoxProfile
from granitetrestle_standins.boxprofiles import EndsTold
from granitetrestle_standins.boxprofiles import Resources
from granitetrestle_standins.boxprofiles import draw_profile
from granitetrestle_standins.boxserver import NOT_LISTED
from granitetrestle_standins.boxserver import BoxServer
from granitetrestle_standins.boxserver import Reply
from granitetrestle_standins.boxserver import json_reply
from granitetrestle_standins.nativestore import OutOfSequence
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.serving import serve
from granitetrestle_standins.storereadings import READINGS
from granitetrestle_standins.storereadings import UNANSWERED_APPEND_DELAYS_S
from granitetrestle_standins.storereadings import StoreReading
from granitetrestle_standins.storereadings import Unanswered
from granitetrestle_standins.storereadings import draw_reading

__all__ = ["PlatformApp", "StoreServer", "main"]

Scope: t.TypeAlias = t.MutableMapping[str, t.Any]
Send: t.TypeAlias = t.Callable[[t.MutableMapping[str, t.Any]], t.Awaitable[None]]
Receive: t.TypeAlias = t.Callable[[], t.Awaitable[t.MutableMapping[str, t.Any]]]

HOST = "jobs.example"
PREFIX = "/jobs/"
TICK_INTERVAL_S = 0.02
# Delay of each answer of a slow store.
SLOW_ANSWER_DELAY_S = 0.3
# Share of unanswered appends that are applied later, if the interpretation allows it.
# The others are applied at once (a lost answer) or never (a silent store).
DELAYED_APPEND_SHARE = 0.5
# Longest lease of a drawn box, equal to the processes' setting.
HOLD_MAX_S = 4.0
BOX_CAPACITY = Resources(8000, 8000)
DRAWN = "drawn"
# Test hooks of box N are called at the store's address, as ``/test/box/N/HOOK``: the
# box itself may be down.
BOX_HOOKS = "/test/box/"
ROUTE = {
    "name": "work",
    "host": HOST,
    "path_prefix": PREFIX,
    "service": "pool",
    "priority": 0,
    "max_attempts": 3,
    "extension": 1.5,
    "target_latency_ms": 500,
}
CONFIG = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "pool", "enforces_capacity": True}],
    "limits": {"max_body_bytes": 4096},
}


class StoreServer:
    """The store, with test hooks: ``POST /test/lose?n=N`` loses the next N answers to
    appends; ``POST /test/order?key=K&value=V`` writes an operator's record, or deletes
    the key if there is no value; ``POST /test/write?topic=T&key=K&value=V`` writes any
    record, V in base64; ``POST /test/store?how=HOW&s=S`` makes the store ``busy``,
    ``silent`` or ``slow`` for S seconds; ``POST /test/forget`` drops the history of
    operators' records.

    :param draw: decides which unanswered appends are applied later.
    :ivar lose: number of next answers to appends that are lost.
    """

    def __init__(self, model: StoreModel, draw: random.Random) -> None:
        self.model = model
        self._draw = draw
        self.lose = 0
        self._fault = ""
        self._fault_until = 0.0

    async def run(self) -> None:
        """Apply delayed appends when due."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.model.tick(time.monotonic())

    async def handle(
        self, path: str, query: t.Mapping[str, str], body: bytes
    ) -> Reply | None:
        """Return the answer to a call, or ``None`` if the answer is lost."""
        if path == "/test/lose":
            self.lose = int(query["n"])
            return json_reply(200, {})
        if path == "/test/order":
            value = query.get("value", "").encode() or None
            self.model.append("keyed.op", [Record(query["key"], value)], None)
            return json_reply(200, {"at": time.monotonic()})
        if path == "/test/write":
            value = base64.b64decode(query["value"])
            self.model.append(query["topic"], [Record(query["key"], value)], None)
            return json_reply(200, {})
        if path == "/test/store":
            self._fault = query["how"]
            self._fault_until = time.monotonic() + float(query["s"])
            return json_reply(200, {})
        if path == "/test/forget":
            self.model.drop_history("keyed.op")
            return json_reply(200, {})
        if time.monotonic() < self._fault_until:
            if self._fault == "silent":
                self._handle_unanswered(path, query, body)
                return None
            if self._fault == "busy":
                return json_reply(503, {})
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        topic = query["topic"]
        if path == "/api/log-append":
            return self._append(topic, query, body)
        if path == "/api/log-newest":
            return self._newest(topic, query.get("depends_on", ""))
        return await self._read(topic, query)

    def _append(
        self, topic: str, query: t.Mapping[str, str], body: bytes
    ) -> Reply | None:
        if self.lose and body:
            self.lose -= 1
            if self._should_delay():
                self._append_later(query, body)
            else:
                self.model.append(topic, _decode(body), _writer(query))
            return None
        outcome = self.model.append(topic, _decode(body), _writer(query))
        if isinstance(outcome, Appended):
            return json_reply(200, {"offset": 0, "end": outcome.end})
        if isinstance(outcome, Fenced):
            return json_reply(409, {"reason": "fenced"})
        assert isinstance(outcome, OutOfSequence)
        return json_reply(409, {"reason": "seq", "call_seq": outcome.wanted})

    def _handle_unanswered(
        self, path: str, query: t.Mapping[str, str], body: bytes
    ) -> None:
        if path == "/api/log-append" and self._should_delay():
            self._append_later(query, body)

    def _should_delay(self) -> bool:
        delayed = self.model.reading.unanswered is Unanswered.LATER
        return delayed and self._draw.random() < DELAYED_APPEND_SHARE

    def _append_later(self, query: t.Mapping[str, str], body: bytes) -> None:
        at = time.monotonic() + self._draw.uniform(*UNANSWERED_APPEND_DELAYS_S)
        self.model.append_later(at, query["topic"], _decode(body), _writer(query))

    def _newest(self, topic: str, after: str) -> Reply:
        page = self.model.page(topic, after)
        items = [
            {"key": r.key, "value": base64.b64encode(r.value or b"").decode()}
            for r in page.records
        ]
        return json_reply(200, {"items": items, "more": page.more, "end": page.end})

    async def _read(self, topic: str, query: t.Mapping[str, str]) -> Reply:
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            outcome = self.model.read(topic, int(query["from"]))
            if not isinstance(outcome, Records):
                return json_reply(410, {"first": self.model.first_kept[topic]})
            if outcome.records or time.monotonic() >= deadline:
                head = struct.pack(">QQ", outcome.end, 0)
                return Reply(200, head + b"".join(map(_encode, outcome.records)))
            await asyncio.sleep(TICK_INTERVAL_S)


def _writer(query: t.Mapping[str, str]) -> Writer | None:
    if "producer" not in query:
        return None
    return Writer(int(query["epoch"]), int(query["call_seq"]))


def _encode(record: Record) -> bytes:
    key, value = record.key.encode(), record.value or b""
    return struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value


def _decode(body: bytes) -> list[Record]:
    records = []
    while body:
        (length,) = struct.unpack(">I", body[:4])
        record, body = body[4 : 4 + length], body[4 + length :]
        key = record[1 : 1 + record[0]].decode()
        records.append(Record(key, record[1 + record[0] :] or None))
    return records


class PlatformApp:
    """Dispatches requests by port: the first is the store's, the others the boxes'.

    :param reading: the store's interpretation of its specification.
    :param profiles: profile of each box.
    :param spares: number of last boxes that are not listed at first.
    :param advice: the advice service, at the store's port, if queues need it.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        reading: StoreReading,
        profiles: t.Sequence[BoxProfile],
        draw: random.Random,
        spares: int = 0,
        advice: AdviceServer | None = None,
    ) -> None:
        self._ip = ip
        self._advice = advice
        self.store = StoreServer(StoreModel(reading, draw), draw)
        self.boxes: dict[int, BoxServer] = {}
        model = self.store.model
        route = ROUTE if advice is None else {**ROUTE, "advice": advice.route}
        config = json.dumps({**CONFIG, "routes": [route]}).encode()
        model.append("keyed.op", [Record("config", config)], None)
        for number, profile in enumerate(profiles):
            hall = f"hall-{1 + (1 + number) % 2}"
            box_port = port + 1 + number
            update_entry = functools.partial(self._update_entry, box_port, hall)
            box = BoxServer(f"b{number}", hall, profile, draw, update_entry)
            self.boxes[box_port] = box
            if number >= len(profiles) - spares:
                box.entry_state = NOT_LISTED
            else:
                self._update_entry(box_port, hall, box, "")

    def _update_entry(
        self, port: int, hall: str, box: BoxServer, previous_id: str
    ) -> None:
        """Write the list entry of a box, and delete that of its previous id, if any."""
        entry = {
            "born": box.model.started_ms,
            "service": "pool",
            "address": f"{self._ip}:{port}",
            "zone": hall,
            "state": box.entry_state,
            "capacity": {
                "cpu": BOX_CAPACITY.cpu,
                "mem_mb": BOX_CAPACITY.mem_mb,
                "gpu": 0,
            },
            "labels": ["a", "r1"],
        }
        listed = box.entry_state != NOT_LISTED
        value = json.dumps(entry).encode() if listed else None
        records = [Record(box.box_id, value)]
        if previous_id:
            records.append(Record(previous_id, None))
        self.store.model.append("keyed.servers", records, None)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        reply = await self._answer(scope, body)
        if reply is None:
            await asyncio.sleep(30.0)
            return
        length = str(len(reply.body)).encode()
        start = {"type": "http.response.start", "status": reply.status}
        await send({**start, "headers": [(b"content-length", length)]})
        await send({"type": "http.response.body", "body": reply.body})

    async def _answer(self, scope: Scope, body: bytes) -> Reply | None:
        path = scope["path"]
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        box = self.boxes.get(scope["server"][1])
        if box is None:
            if path.startswith(BOX_HOOKS):
                number, _, hook = path.removeprefix(BOX_HOOKS).partition("/")
                return list(self.boxes.values())[int(number)].hook(
                    f"/test/{hook}", query
                )
            if self._advice is not None and path == "/test/advice":
                return self._advice.hook(query)
            if self._advice is not None and path == "/api/advise":
                return await self._advice.answer(scope["client"][0], body)
            return await self.store.handle(path, query, body)
        expected_id = dict(scope["headers"]).get(b"expect-instance", b"").decode()
        return await box.answer(path, expected_id, body)


async def _run(app: PlatformApp, ip: str, port: int) -> None:
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(serve(app, ip, port))
        for number, box in app.boxes.items():
            tasks.create_task(serve(app, ip, number, gate=box.gate))
        for box in app.boxes.values():
            tasks.create_task(box.run())
        tasks.create_task(app.store.run())


def _profiles(
    name: str, ends_told: EndsTold, boxes: int, draw: random.Random
) -> list[BoxProfile]:
    if name == DRAWN:
        return [draw_profile(draw, HOLD_MAX_S, BOX_CAPACITY) for _ in range(boxes)]
    return [PLAIN_BOX._replace(ends_told=ends_told)] * boxes


def main() -> None:
    """Run the stand-in platform until the process is terminated."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--boxes", type=int, default=3)
    parser.add_argument("--spares", type=int, default=0, help="further, unlisted boxes")
    parser.add_argument("--reading", choices=[*READINGS, DRAWN], default="plain")
    parser.add_argument("--profiles", choices=["plain", DRAWN], default="plain")
    parser.add_argument(
        "--ends-told",
        type=EndsTold,
        default=PLAIN_BOX.ends_told,
        help="how plain boxes apply an acknowledged number",
    )
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--advice", help="DECIDE,EACH,VALID in ms, if queues need it")
    arguments = parser.parse_args()
    draw = random.Random(arguments.seed)
    reading = (
        draw_reading(draw)
        if arguments.reading == DRAWN
        else READINGS[arguments.reading]
    )
    ends_told = arguments.ends_told
    profiles = _profiles(arguments.profiles, ends_told, arguments.boxes, draw)
    # The number of spare boxes must not change what else is drawn.
    draw_spares = random.Random(f"spares {arguments.seed}")
    profiles += _profiles(arguments.profiles, ends_told, arguments.spares, draw_spares)
    print(f"reading: {reading.name}; boxes: {arguments.profiles}", flush=True)
    address = (arguments.ip, arguments.port)
    advice = None
    if arguments.advice:
        advice = AdviceServer(*map(float, arguments.advice.split(",")))
    app = PlatformApp(*address, reading, profiles, draw, arguments.spares, advice)
    asyncio.run(_run(app, arguments.ip, arguments.port))


if __name__ == "__main__":
    main()
