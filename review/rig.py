"""Test rig of the review: a small stand-in of the users' platform (store and runners),
a supervisor for the real processes, and a client. Standard library only.

The stand-in follows PROTOCOL.md and DEPLOY.md. It runs in the process of the test; the
project's programs are started as separate processes with the command of
``deploy/system.toml``. All traffic goes to addresses of 127.0.0.0/8.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import typing as t
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "jobs.example"
RECORD_BYTES = 262144
CALL_BYTES = 2097152
# Figures of the small deployment velotrace-ops.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
    "recovery_s": 12, "hold_max_ms": 10000, "stop_ms": 900, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_x": 1.5, "save_s": 0.5, "restore_ms": 250,
    "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2, "fencing_required": True,
    "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}  # fmt: skip
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
RESTART_DELAY_S = 0.5

Headers: t.TypeAlias = dict[str, str]
Reply: t.TypeAlias = tuple[int, bytes]


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Journal:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started

    def write(self, who: str, what: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {who:<10} {what}\n")
        self._file.flush()


# --- HTTP -----------------------------------------------------------------------------


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """An HTTP/1.1 server that can go away with all its connections."""

    def __init__(self, ip: str, port: int) -> None:
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=2**24
        )

    def go_away(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                reply = await self.answer(method, target, headers, body)
                if reply is None:
                    return
                status, content = reply
                writer.write(
                    b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Reply | None:
        """Return status and body, or ``None`` to close without an answer."""
        raise NotImplementedError


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: t.Mapping[str, str] | None = None,
    timeout_s: float = 3.0,
) -> Reply | None:
    """Make one call on a connection of its own; ``None`` without a whole answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=2**24)
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, _, content = await _read_message(reader)
            return int(first.split()[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def _json(status: int, value: t.Any) -> Reply:
    return status, json.dumps(value).encode()


# --- the platform's store -------------------------------------------------------------


class _Producer:
    def __init__(self) -> None:
        self.epoch = -1
        self.last: int | None = None
        self.answers: dict[int, Reply] = {}


class Store(Server):
    """The platform's store: a log with topics, of one partition each here."""

    def __init__(self, ip: str, port: int, journal: Journal) -> None:
        super().__init__(ip, port)
        self._journal = journal
        self.topics: dict[str, list[tuple[str, bytes | None]]] = {}
        self._producers: dict[tuple[str, str], _Producer] = {}
        self._grown = asyncio.Event()
        self.too_long = 0

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write a record as the operator or a runner does."""
        self._append(topic, [(key, value)])

    def _append(
        self, topic: str, records: list[tuple[str, bytes | None]]
    ) -> tuple[int, int]:
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log += records
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return offset, len(log)

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Reply | None:
        """See :meth:`Server.answer`."""
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get("topic", "")
        if path == "/api/log-append":
            return self._append_call(topic, query, body)
        if path == "/api/log-newest":
            return self._newest(topic, query.get("depends_on", ""))
        if path == "/api/log-read":
            return await self._read(topic, query)
        return _json(404, {})

    def _append_call(
        self, topic: str, query: t.Mapping[str, str], body: bytes
    ) -> Reply:
        if topic == "keyed.servers":
            return _json(403, {})
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            raw = body[position + 4 : position + 4 + length]
            position += 4 + length
            if length > RECORD_BYTES or len(raw) < length:
                # "a length and `record_bytes` at most ...; all or nothing"
                self.too_long += 1
                self._journal.write(
                    "store",
                    f"refuses an append to {topic}: a record of {length} bytes, "
                    f"record_bytes is {RECORD_BYTES}",
                )
                return _json(400, {"reason": "record_bytes"})
            end = 1 + raw[0]
            records.append((raw[1:end].decode(), raw[end:] or None))
        if len(body) > CALL_BYTES:
            return _json(400, {"reason": "call_bytes"})
        name = query.get("producer")
        if name is None:
            offset, end = self._append(topic, records)
            return _json(200, {"offset": offset, "end": end})
        producer = self._producers.setdefault((topic, name), _Producer())
        epoch, sequence = int(query["epoch"]), int(query["call_seq"])
        if epoch < producer.epoch:
            return _json(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch, producer.last = epoch, None
            producer.answers.clear()
        if sequence in producer.answers:
            return producer.answers[sequence]
        if producer.last is not None and sequence != producer.last + 1:
            return _json(409, {"reason": "seq", "call_seq": producer.last + 1})
        offset, end = self._append(topic, records)
        reply = _json(200, {"offset": offset, "end": end})
        if records:
            producer.last = sequence
            producer.answers[sequence] = reply
            while len(producer.answers) > 5:
                del producer.answers[min(producer.answers)]
        return reply

    def _newest(self, topic: str, after: str) -> Reply:
        log = self.topics.setdefault(topic, [])
        newest = {key: (value, number) for number, (key, value) in enumerate(log)}
        items: list[dict[str, t.Any]] = []
        size, more = 0, False
        for key in sorted(newest):
            value, number = newest[key]
            if key <= after or value is None:
                continue
            if items and (len(items) == PAGE_RECORDS or size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": number})
        return _json(200, {"items": items, "more": more, "end": len(log)})

    async def _read(self, topic: str, query: t.Mapping[str, str]) -> Reply:
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            log = self.topics.setdefault(topic, [])
            left = until - time.monotonic()
            if len(log) > start or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._grown.wait()
            except TimeoutError:
                pass
        parts = [struct.pack(">QQ", len(log), 0)]
        size = 0
        for key, value in log[start:]:
            raw = bytes([len(key.encode())]) + key.encode() + (value or b"")
            size += len(raw)
            if len(parts) > 1 and size > 1024 * int(query.get("max_kb", "1024")):
                break
            parts.append(struct.pack(">I", len(raw)) + raw)
        return 200, b"".join(parts)


# --- runners --------------------------------------------------------------------------


class Behaviour(t.NamedTuple):
    """What a stand-in runner does with a task, from the submission's ``spec``.

    :param ms: work of a run until it is done; 0 for one that lasts.
    :param cpu: thousandths of a core.
    :param fails: the first so many runs of the task end ``failed``.
    :param saves: by how many characters each save makes the checkpoint text longer; 0
        for no checkpoints.
    :param tail_ms: tail of the answers of an idle task that serves.
    :param load: share of its time that a task that serves is busy, left alone.
    :param fills: whether the task takes only what others leave.
    :param presses: by how much a task that fills slows what serves, if it uses the whole
        runner; 1 doubles the time of an answer.
    """

    ms: float = 500.0
    cpu: int = 1000
    fails: int = 0
    saves: int = 0
    tail_ms: float = 0.0
    load: float = 0.48
    fills: bool = False
    presses: float = 0.0


def behaviour(spec: str) -> Behaviour:
    """Decode a spec that the tests wrote."""
    return Behaviour(**json.loads(spec))


class Run:
    """One run of a task on a runner."""

    def __init__(
        self, task: str, run: int, spec: str, began: float, saved: str
    ) -> None:
        self.task, self.run, self.spec = task, run, spec
        self.does = behaviour(spec)
        self.began = self.worked_at = began
        self.work_ms = 0.0
        self.saved = saved
        self.saves = 0
        self.percent = 100
        self.stop_at: float | None = None


class RunFact(t.NamedTuple):
    """A run that has begun: for the checks and the record."""

    runner: str
    life: str
    task: str
    run: int
    began: float


class Runner(Server):
    """One machine with its current life as a runner."""

    def __init__(
        self, number: int, ip: str, port: int, zone: str, store: Store, world: "World"
    ) -> None:
        super().__init__(ip, port)
        self.number = number
        self.name = f"runner-{number}"
        self._zone = zone
        self._store = store
        self._world = world
        self.capacity = {"cpu": 32000, "mem_mb": 128000, "gpu": 0}
        self.state = "ready"
        self.life = ""
        self._beats = itertools.count(1)
        self.alive = False
        self.running: dict[str, Run] = {}

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born) * 1000) + 100_000

    async def begin(self) -> None:
        """Begin a new life: a new id, nothing runs, no epoch number seen."""
        self.life = f"i-{self._world.draw.getrandbits(40):010x}"
        self._born = time.monotonic()
        self._token = 0
        self._until_ms = 0
        self._highest: dict[str, int] = {}
        self.running = {}
        self._finished: list[list[t.Any]] = []
        self._number = 0
        self._changed = asyncio.Event()
        self.alive = True
        await self.open()
        self._world.journal.write(self.name, f"begins as {self.life}")
        self.beat()

    def crash(self) -> None:
        """End at once, without a word; the entry stays until it has been silent."""
        self._world.journal.write(
            self.name, f"CRASHES as {self.life}, running {sorted(self.running)}"
        )
        self.alive = False
        self.running = {}
        self.go_away()
        life = self.life

        def forget() -> None:
            self._store.put("keyed.servers", life, None)

        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, forget)

    def beat(self) -> None:
        """Write the entry in the store."""
        entry = {
            "service": "pool", "address": self.address, "zone": self._zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": self.capacity, "labels": ["a", f"r1-{1 + self.number // 8}"],
            "machine": f"m-{self.number}", "call_seq": next(self._beats),
        }  # fmt: skip
        self._store.put("keyed.servers", self.life, json.dumps(entry).encode())

    async def live(self) -> None:
        """Advance all runs until cancelled."""
        beat_at = time.monotonic() + HEARTBEAT_S * self._world.draw.random()
        while True:
            await asyncio.sleep(0.02)
            if not self.alive:
                continue
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                self.beat()
            for run in list(self.running.values()):
                self._advance(run, now)
            if self.running and self._clock_ms() > self._until_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _advance(self, run: Run, now: float) -> None:
        run.work_ms += (now - run.worked_at) * 10.0 * run.percent
        run.worked_at = now
        does = run.does
        saves = int(run.work_ms / (BOUNDS["save_s"] * 1000.0))
        if does.saves and saves > run.saves:
            run.saves = saves
            run.saved = f"{saves:08x}".ljust(saves * does.saves, "c")
        if run.stop_at is not None and now >= run.stop_at:
            self._end(run, "stopped")
        elif does.ms and run.work_ms >= does.ms:
            failed = run.run <= does.fails
            self._end(run, "failed" if failed else "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._number += 1
        saved = "" if how == "done" else run.saved
        self._finished.append([self._number, run.task, run.run, how, saved])
        self._world.ended(self, run, how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Reply | None:
        """See :meth:`Server.answer`."""
        life = self.life
        if headers.get("expect-instance", life) != life:
            return _json(421, {})
        if target == "/healthz":
            return _json(200, {})
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        if target == "/api/hold":
            return await self._hold(call)
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if target == "/api/run-start":
            return self._start(call, task, number, run)
        if target == "/api/run-stop":
            self._highest[task] = max(number, self._highest.get(task, 0))
            if run is not None and run.run <= number and run.stop_at is None:
                run.stop_at = time.monotonic() + 0.05
        elif target == "/api/pace" and run is not None and run.run == number:
            run.percent = call["percent"]
        return _json(200, {"clock_ms": self._clock_ms()})

    def _refuse(self, reason: str) -> Reply:
        return _json(409, {"clock_ms": self._clock_ms(), "reason": reason})

    def _renew(self, until_ms: int | None) -> None:
        if until_ms is not None:
            latest = self._clock_ms() + BOUNDS["hold_max_ms"]
            self._until_ms = max(self._until_ms, min(until_ms, latest))

    def _start(
        self, call: dict[str, t.Any], task: str, number: int, run: Run | None
    ) -> Reply:
        self._renew(call["until_ms"])
        if run is not None and run.run == number:
            return _json(200, {"clock_ms": self._clock_ms()})
        if run is not None or number <= self._highest.get(task, 0):
            return self._refuse("old")
        if call["until_ms"] <= self._clock_ms():
            return self._refuse("late")
        does = behaviour(call["spec"])
        used = sum(r.does.cpu for r in self.running.values() if not r.does.fills)
        if not does.fills and used + does.cpu > self.capacity["cpu"]:
            return self._refuse("room")
        began = Run(
            task, number, call["spec"], time.monotonic(), call.get("checkpoint", "")
        )
        self.running[task] = began
        self._world.began(self, began)
        return _json(200, {"clock_ms": self._clock_ms()})

    async def _hold(self, call: dict[str, t.Any]) -> Reply:
        self._renew(call.get("until_ms"))
        seen = call.get("last_seen", 0)
        self._finished = [row for row in self._finished if row[0] > seen]
        if not self._finished and call.get("wait_ms"):
            try:
                async with asyncio.timeout(min(2000, call["wait_ms"]) / 1000.0):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = [
            [run.task, run.run, run.saved, run.percent, self._figure(run)]
            for run in self.running.values()
        ]
        return _json(
            200,
            {
                "clock_ms": self._clock_ms(),
                "running": rows,
                "finished": self._finished[:500],
            },
        )

    def _figure(self, run: Run) -> int:
        """Return the tail of a task that serves, else the processor time in use."""
        if not run.does.tail_ms:
            return run.does.cpu * run.percent // 100
        slowdown = sum(
            other.does.presses * other.does.cpu * other.percent / 100.0
            for other in self.running.values()
            if other.does.fills
        )
        slowdown /= self.capacity["cpu"]
        busy = min(0.97, run.does.load * (1.0 + slowdown))
        return int(run.does.tail_ms / (1.0 - busy))


# --- the project's processes ----------------------------------------------------------


class Node:
    """One machine of the system: its process is started again when it ends."""

    def __init__(
        self, name: str, ip: str, port: int, zone: str, world: "World"
    ) -> None:
        self.name, self.ip, self.zone, self._world = name, ip, zone, world
        self.front, self.ready = f"{ip}:{port}", f"{ip}:{port + 1}"
        self._port = port
        self.process: asyncio.subprocess.Process | None = None
        self.in_ = False
        self._missed = 0
        # (time, exit code) of each end that no signal caused.
        self.own_ends: list[tuple[float, int]] = []
        self.seeds: list[str] = []

    async def run(self) -> None:
        """Start the process, and start it again whenever it ends."""
        world = self._world
        command = world.command
        while True:
            boot = self._write_settings()
            with (world.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command,
                    cwd=ROOT,
                    env=world.environment(boot),
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            world.journal.write(self.name, f"process started ({self.process.pid})")
            code = await self.process.wait()
            if code < 0:
                what = f"process ended by {signal.Signals(-code).name}"
            elif code:
                self.own_ends.append((world.journal.now(), code))
                what = f"process ENDED BY ITSELF, code {code}: {self.last_error()}"
            else:
                what = "process stopped"
            world.journal.write(self.name, what)
            await asyncio.sleep(RESTART_DELAY_S)

    def _write_settings(self) -> pathlib.Path:
        boot = self._world.folder / f"{self.name}.json"
        boot.write_text(json.dumps(self._settings()))
        return boot

    def last_error(self) -> str:
        """Return the error that ended the process last, from what it has written."""
        text = (self._world.folder / f"{self.name}.log").read_text(errors="replace")
        lines = [line.strip(" |") for line in text.splitlines()]
        errors = [line for line in lines if "rror: " in line and line[0] != "{"]
        return errors[-1] if errors else ""

    def _settings(self) -> dict[str, t.Any]:
        world = self._world
        return {
            "node_name": self.name, "role": "node", "machine_class": "front",
            "serves": ["front"], "ip": self.ip, "zone": self.zone, "region": "r",
            "zones": {zone: "r" for zone in world.zones},
            "listen": {"front": self.front, "ready": self.ready},
            "internal_ports": [self._port + 2, self._port + 10],
            "seeds": self.seeds,
            "bootstrap": True, "in_tolerance": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call", "advice": "",
            "platform": {"address": world.store.address, "form": "log",
                         "writes_per_s": 800, "reads_per_s": 2000, "parts": 24,
                         "append_ms": 1.0, "part_mb_per_s": 20.0,
                         "read_mb_per_s": 80.0, "record_bytes": RECORD_BYTES,
                         "call_bytes": CALL_BYTES, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000},
        }  # fmt: skip

    async def watch(self) -> None:
        """Ask for readiness each second, as the platform's balancer does."""
        while True:
            reply = await call(self.ready, "GET", "/api/readyz", timeout_s=0.9)
            ok = reply is not None and reply[0] == 200
            self._missed = 0 if ok else self._missed + 1
            self.in_ = ok or (self.in_ and self._missed < 2)
            await asyncio.sleep(1.0 if self.in_ else 0.3)

    def signal(self, number: int) -> None:
        """Send a signal to the process that this rig started."""
        assert self.process is not None
        self._world.journal.write(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def change_settings(self) -> None:
        """Change the settings file, and tell the process, as the platform does."""
        self.seeds = [f"{self.ip}:{self._port + 1}"]
        self._write_settings()
        self.signal(signal.SIGHUP)

    def log(self) -> list[dict[str, t.Any]]:
        """Return the lines that the process has logged."""
        lines = (self._world.folder / f"{self.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class World:
    """A small deployment: store, runners, machines of the system, and a client."""

    def __init__(self, record: pathlib.Path, nodes: int, runners: int) -> None:
        self.journal = Journal(record)
        self.draw = random.Random()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split()
        if not (ROOT / "target" / "deps" / "granitetrestle").is_dir():
            raise CannotRun("target/deps is missing: build first")
        self.zones = ("zone-1", "zone-2", "zone-3")
        net, port = _free_net(nodes)
        self.store = Store(f"{net}.250", port, self.journal)
        self.runners = [
            Runner(i, f"{net}.251", port + 1 + i, self.zones[i % 3], self.store, self)
            for i in range(runners)
        ]
        self.nodes = [
            Node(f"front-{i + 1}", f"{net}.{1 + i}", port, self.zones[i % 3], self)
            for i in range(nodes)
        ]
        self.facts: list[RunFact] = []
        self.ends: list[tuple[float, str, int, str]] = []
        self.on_began: t.Callable[[Runner, Run], None] = lambda runner, run: None
        self._tasks: list[asyncio.Task[None]] = []

    def environment(self, boot: pathlib.Path) -> dict[str, str]:
        """Return the variables of a process: what DEPLOY.md says, and Python's path."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}  # fmt: skip
        deps = str(ROOT / "target" / "deps")
        return {**kept, "PYTHONPATH": deps, "GRANITETRESTLE_BOOT": str(boot)}

    def config(self, version: int, routes: list[dict[str, t.Any]]) -> None:
        """Write a config as the operator does."""
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "pool", "health_path": "/healthz", "max_connections": 64,
                 "protocol": "h1", "tls": False, "enforces_capacity": True}
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }  # fmt: skip
        names = [route["name"] for route in routes]
        self.journal.write("operator", f"writes config {version}, routes {names}")
        self.store.put("keyed.op", "config", json.dumps(value).encode())

    def began(self, runner: Runner, run: Run) -> None:
        """Record that a run has begun."""
        now = self.journal.now()
        self.facts.append(RunFact(runner.name, runner.life, run.task, run.run, now))
        self.journal.write(runner.name, f"starts {run.task} run {run.run}")
        self.on_began(runner, run)

    def ended(self, runner: Runner, run: Run, how: str) -> None:
        """Record that a run has ended."""
        self.ends.append((self.journal.now(), run.task, run.run, how))
        self.journal.write(runner.name, f"ends {run.task} run {run.run}: {how}")

    def spawn(self, coroutine: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine beside the test."""
        self._tasks.append(asyncio.create_task(coroutine))

    async def start(self, routes: list[dict[str, t.Any]]) -> None:
        """Start everything, and return once all nodes are ready and one decides."""
        await self.store.open()
        self.config(1, routes)
        for runner in self.runners:
            await runner.begin()
            self.spawn(runner.live())
        for node in self.nodes:
            self.spawn(node.run())
            self.spawn(node.watch())
        for _ in range(150):
            await asyncio.sleep(0.2)
            if all(node.in_ for node in self.nodes):
                reply = await self.client("GET", routes[0]["path_prefix"] + "0" * 16)
                if reply is not None and reply[0] == 410:
                    return
        raise CannotRun("the nodes did not become ready")

    async def client(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        node: Node | None = None,
        timeout_s: float = 3.0,
    ) -> Reply | None:
        """Make a client's call through a node that takes new connections."""
        if node is None:
            ready = [node for node in self.nodes if node.in_] or self.nodes
            node = self.draw.choice(ready)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Deadline-Ms": str(int(timeout_s * 1000)),
        }
        content = b"" if body is None else json.dumps(body).encode()
        shown = f" ({len(content)} bytes)" if content else ""
        self.journal.write("client", f"{method} {path}{shown} -> {node.name}")
        reply = await call(node.front, method, path, content, headers, timeout_s)
        text = "no answer" if reply is None else f"{reply[0]} {reply[1].decode()}"
        self.journal.write("client", f"{method} {path} <- {text}")
        return reply

    async def submit(self, path: str, body: t.Any, tries: int = 8) -> bool:
        """Submit a job, again after no answer or a refusal; return whether accepted."""
        for _ in range(tries):
            reply = await self.client("POST", path, body)
            if reply is not None and reply[0] == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, path: str, timeout_s: float = 3.0) -> str | None:
        """Return a submission's state; ``gone`` for 410, ``None`` without an answer."""
        reply = await self.client("GET", path, timeout_s=timeout_s)
        if reply is None:
            return None
        if reply[0] == 410:
            return "gone"
        return str(json.loads(reply[1])["state"]) if reply[0] == 200 else None

    def leader(self) -> Node | None:
        """Return the node that took over last, by the nodes' logs."""
        found = [
            (line["epoch"], number)
            for number, node in enumerate(self.nodes)
            for line in node.log()
            if line["event"] == "took_over"
        ]
        return self.nodes[max(found)[1]] if found else None

    def take_overs(self) -> int:
        """Return how often a node has become the leader, by the nodes' logs."""
        return sum(
            line["event"] == "took_over" for node in self.nodes for line in node.log()
        )

    async def stop(self) -> None:
        """End all processes that were started here, and remove their folder."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for server in (self.store, *self.runners):
            server.go_away()
        if os.environ.get("KEEP"):
            print(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_net(nodes: int) -> tuple[str, int]:
    """Return a /24 network of 127.0.0.0/8 and a first port that nobody uses."""
    for _ in range(200):
        net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        port = random.randrange(21000, 32000, 40)
        hosts = [f"{net}.{1 + i}" for i in range(nodes)] + [f"{net}.250", f"{net}.251"]
        try:
            for host in hosts:
                for offset in (0, 1, 2, 3):
                    with socket.socket() as probe:
                        probe.bind((host, port + offset))
                with socket.socket() as probe:
                    probe.bind((host, 9464))
            return net, port
        except OSError:
            continue
    raise CannotRun("no free addresses")


def route(
    name: str, prefix: str, max_attempts: int = 3, **fields: t.Any
) -> dict[str, t.Any]:
    """Return a route of a config."""
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent",
        "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
        "service": "pool", "max_attempts": max_attempts, "extension": 2.0, **fields,
    }  # fmt: skip


def trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: pathlib.Path,
    case: t.Callable[["World"], t.Awaitable[str]],
    nodes: int,
    runners: int,
    limit_s: float = 110.0,
) -> t.NoReturn:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: returns what broke the rule, or an empty text.
    """

    async def main() -> int:
        # Whoever ends the test must not leave its processes behind.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            world = World(folder / "record.txt", nodes, runners)
        except CannotRun as error:
            print(f"could not run: {error}")
            return 2
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(world)
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            world.journal.write("test", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await world.stop()
        verdict = f"BROKEN: {broken}" if broken else "held"
        world.journal.write("test", verdict)
        print(verdict)
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
