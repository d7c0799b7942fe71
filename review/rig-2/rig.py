"""Stand-ins for a small deployment: the platform's store, runners, the advice service and
clients, written from the users' pages, and the node processes that they are tested with.

All of it but the nodes runs in one asyncio process. The nodes are started with the command
of the deploy file. Every address is a loopback address."""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT = 20001
READY_PORT = 20002
PEER_PORTS = [20010, 20019]
STORE_PORT = 20001
ADVICE_PORT = 20002
RUNNER_PORT = 20100
METRICS_PORT = 9464
HOST = "queue.example"
PREFIX = "/queue/"
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_S = 1.5
STOP_S = 0.05
STORE_ANSWER_S = 0.004
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_skew_ms": 5000,
    "recovery_s": 12, "hold_max_ms": 6000, "stop_ms": 900, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_x": 3, "save_s": 0.5, "restore_ms": 250, "notice_ms": 4500,
    "move_s": 1.5, "upkeep_s": 2, "fencing_required": True, "lease_ms": 3000,
    "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._zero = time.monotonic()

    def now(self):
        return time.monotonic() - self._zero

    def __call__(self, who, what, **fields):
        rest = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {who:14} {what} {rest}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class HttpServer:
    """An HTTP/1.1 server whose process can be killed and started again.

    ``handle(method, path, query, headers, body, alive)`` returns status and body, or
    ``None`` for no answer; ``alive()`` tells whether the caller's connection is open."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self._handle = ip, port, handle
        self._server = None
        self._writers = set()
        self._silenced = set()

    def silence(self):
        """Let the connections that are open now say nothing any more, without a reset;
        new ones work."""
        self._silenced |= self._writers

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, reuse_address=True
        )

    def kill(self):
        """End as a killed process does: connections are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                path, _, raw = target.partition("?")
                query = dict(urllib.parse.parse_qsl(raw))

                def alive():
                    return not (reader.at_eof() or writer.transport.is_closing())

                if writer in self._silenced:
                    await reader.read()
                    return
                answer = await self._handle(method, path, query, headers, body, alive)
                if answer is None:
                    return
                if writer in self._silenced:
                    await reader.read()
                    return
                status, content = answer
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n"
                    b"content-type: application/json\r\n\r\n" % (status, len(content))
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            self._silenced.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def reply(status, **fields):
    return status, json.dumps(fields).encode()


class Topic:
    def __init__(self):
        self.log = []  # (key, value or None)
        self.newest = {}  # key -> (offset, value)
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.epoch, self.last, self.answers = -1, None, collections.OrderedDict()

    def extend(self, records):
        for key, value in records:
            if value:
                self.newest[key] = (len(self.log), value)
            else:
                self.newest.pop(key, None)
            self.log.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store in its log form, keyed topics with one partition in use."""

    def __init__(self, ip, record):
        self._ip = ip
        self._servers = []
        # Numbers of the nodes that are cut off from the store.
        self.cut = set()
        # Called with node, topic and epoch when an epoch is claimed.
        self.on_claim = lambda node, topic, epoch: None
        self._record = record
        self.topics = collections.defaultdict(Topic)
        self._second, self._writes, self._reads = 0, 0, 0
        # "silent", "busy", or "lost": a share of the writes is done and not answered.
        self.trouble = ""
        self._draw = random.Random(0)

    async def listen(self, node):
        """Open the path of one node to the store; returns its address. While the node is
        cut off, calls and answers are held up on it."""

        async def handle(method, path, query, headers, body, alive):
            if not await self._passes(node, alive):
                return None
            query["node"] = node
            answer = await self._handle(method, path, query, headers, body, alive)
            if answer is None or not await self._passes(node, alive):
                return None
            return answer

        server = HttpServer(self._ip, STORE_PORT + 10 + node, handle)
        self._servers.append(server)
        await server.start()
        return f"{self._ip}:{server.port}"

    async def _passes(self, node, alive):
        while node in self.cut:
            await asyncio.sleep(0.005)
            if not alive():
                return False
        return True

    def kill(self):
        for server in self._servers:
            server.kill()

    def put(self, topic, key, value):
        """A record of the operator or of a runner."""
        data = None if value is None else json.dumps(value).encode()
        self.topics[topic].extend([(key.encode(), data)])

    def config(self, config):
        self.put("keyed.op", "config", config)
        self._record("operator", "config", version=config["version"])

    def _over_rate(self, write):
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._writes, self._reads = second, 0, 0
        if write:
            self._writes += 1
            return self._writes > 800
        self._reads += 1
        return self._reads > 2000

    async def _handle(self, method, path, query, headers, body, alive):
        name = query.get("topic", "")
        if self.trouble == "silent":
            await asyncio.sleep(10)
            return None
        if self.trouble == "busy":
            return 503, b""
        if self.trouble == "lost" and path == "/api/log-append":
            if self._draw.random() < 0.35:
                await self._append(name, query, body)
                await asyncio.sleep(10)
                return None
        if self._over_rate(path == "/api/log-append"):
            return 429, b""
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/api/log-append":
            return await self._append(name, query, body)
        if path == "/api/log-read":
            return await self._read(self.topics[name], query)
        if path == "/api/log-newest":
            return self._newest(self.topics[name], query)
        return 404, b""

    async def _append(self, name, query, body):
        if name == "keyed.servers":
            return 403, b""
        records, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            if size > 262144:
                return 413, b""
            row = body[at + 4 : at + 4 + size]
            key = row[1 : 1 + row[0]]
            records.append((key, row[1 + row[0] :] or None))
            at += 4 + size
        topic = self.topics[name]
        async with topic.lock:
            await asyncio.sleep(0.001)
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["call_seq"])
                if epoch < topic.epoch:
                    return reply(409, reason="fenced")
                if epoch > topic.epoch:
                    topic.epoch, topic.last = epoch, None
                    topic.answers.clear()
                    self.on_claim(query.get("node"), name, epoch)
                if seq in topic.answers:
                    return 200, topic.answers[seq]
                if topic.last is not None and seq != topic.last + 1:
                    return reply(409, reason="seq", call_seq=topic.last + 1)
                topic.last = seq
            offset = len(topic.log)
            topic.extend(records)
            answer = reply(200, offset=offset, end=len(topic.log))
            if "producer" in query:
                topic.answers[seq] = answer[1]
                while len(topic.answers) > 5:
                    topic.answers.popitem(last=False)
            return answer

    async def _read(self, topic, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.log) <= start and time.monotonic() < deadline:
            changed = topic.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline - time.monotonic()):
                    await changed.wait()
        out, size = [struct.pack(">QQ", len(topic.log), 0)], 0
        for key, value in topic.log[start:]:
            row = bytes([len(key)]) + key + (value or b"")
            size += len(row) + 4
            if size > int(query.get("max_kb", 1024)) * 1024 and len(out) > 1:
                break
            out.append(struct.pack(">I", len(row)) + row)
        return 200, b"".join(out)

    def _newest(self, topic, query):
        after = query.get("depends_on")
        keys = sorted(topic.newest)
        if after is not None:
            keys = [key for key in keys if key > after.encode()]
        items, size = [], 0
        for key in keys:
            offset, value = topic.newest[key]
            size += len(value)
            if len(items) == PAGE_RECORDS or (items and size > PAGE_BYTES):
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(items) < len(keys)
        return reply(200, items=items, more=more, end=len(topic.log))


class Run:
    def __init__(self, task, number, spec, checkpoint, began):
        self.task, self.number, self.spec, self.began = task, number, spec, began
        self.saved = checkpoint
        self.left_s = 0.0
        self.works_since = None
        self.stop_at = None
        self.percent = 100


class Gangs:
    """What the runners of one pool tell each other about gangs."""

    def __init__(self):
        self.present = collections.defaultdict(dict)  # (step, run) -> index -> runner


class Runner:
    """A runner that guards its capacity. It reads from ``spec``, a JSON list with one
    entry a step, what a task does: ``work_s`` (absent: it lasts), ``cpu``, ``gang`` (its
    members), ``fails`` (how each run ends)."""

    def __init__(self, rig, number, zone, kind, rack, cpu, mem_mb):
        self.rig, self.number, self.zone = rig, number, zone
        self.kind, self.rack, self.cpu, self.mem_mb = kind, rack, cpu, mem_mb
        self.server = HttpServer(rig.runner_ip, RUNNER_PORT + number, self._handle)
        self.address = f"{rig.runner_ip}:{RUNNER_PORT + number}"
        self.up = False
        self.id = ""
        self.on_start = None
        # Called with each order; says whether its answer is "lost", or it is "late".
        self.lose = None

    @property
    def name(self):
        return f"runner-{self.number}"

    async def start(self):
        """Begin a life: a new id, nothing runs, no epoch number seen."""
        self.id = f"i-{self.rig.draw.getrandbits(32):08x}"
        self._born = time.monotonic() - self.rig.draw.uniform(100, 1000)
        self._token, self._until, self._leased = 0, 0, False
        self.running, self.finished = {}, []
        self._ended_runs = collections.defaultdict(int)
        self._next_end, self._ended = 1, asyncio.Event()
        await self.server.start()
        self.up = True
        self.rig.record(self.name, "up", id=self.id)
        self.write_entry()

    def write_entry(self, state="ready", cpu=None, **more):
        self.rig.store.put("keyed.servers", self.id, {
            **more,
            "service": "pool", "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
            "call_seq": 1, "machine": f"m-{self.number}",
            "capacity": {"cpu": self.cpu if cpu is None else cpu, "mem_mb": self.mem_mb,
                         "gpu": 0},
            "labels": [self.kind, self.rack],
        })

    def crash(self):
        """End without a word: the entry goes after three liveness reports of silence."""
        lost = sorted(f"{run.task}#{run.number}" for run in self.running.values())
        self.rig.record(self.name, "crash", id=self.id, lost=",".join(lost) or "-")
        for run in list(self.running.values()):
            self.rig.gone(self, run, "crash")
        self.running = {}
        self.up = False
        self.server.kill()
        old = self.id
        self.rig.loop.call_later(
            3 * HEARTBEAT_S, lambda: self.rig.store.put("keyed.servers", old, None)
        )

    def clock_ms(self):
        return int((time.monotonic() - self._born) * 1000)

    def _list(self):
        now = time.monotonic()
        rows = [
            [run.task, run.number, run.saved, run.percent, 0]
            for run in self.running.values()
        ]
        del now
        return {"clock_ms": self.clock_ms(), "running": rows,
                "finished": self.finished[:500]}

    def end(self, run, how):
        """List the end of a run."""
        if self.running.pop(run.task, None) is None:
            return
        self._ended_runs[run.task] = max(self._ended_runs[run.task], run.number)
        self.finished.append([self._next_end, run.task, run.number, how, run.saved])
        self._next_end += 1
        self._ended.set()
        self._ended = asyncio.Event()
        self.rig.record(self.name, "end", task=run.task, run=run.number, how=how)
        self.rig.ends.append((self.rig.record.now(), run.task, run.number, how))
        self.rig.gone(self, run, how)

    def tick(self):
        now = time.monotonic()
        if self.clock_ms() > self._until and self.running:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif run.works_since is not None and run.left_s is not None:
                self.rig.save(run, now)
                if now - run.works_since >= run.left_s:
                    self.rig.finish(self, run)

    async def _handle(self, method, path, query, headers, body, alive):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, b""
        if method == "GET":
            return 200, b""
        call = json.loads(body)
        token = call.get("fencing_token", 0)
        if token < self._token:
            return reply(409, clock_ms=self.clock_ms(), reason="fence")
        if self.lose is not None:
            how = self.lose(path, call)
            if how == "late":
                self.rig.loop.call_later(
                    self.rig.draw.uniform(2, 8), self._late, self.id, path, call
                )
                await asyncio.sleep(10)
                return None
            if how == "lost":
                self._token = token
                self._order(path, call)
                await asyncio.sleep(10)
                return None
        self._token = token
        if path == "/api/hold":
            return await self._hold(call)
        return self._order(path, call)

    def _late(self, life, path, call):
        """Carry out an order that was not answered, seconds later."""
        if self.up and self.id == life and call.get("fencing_token", 0) >= self._token:
            self._token = call.get("fencing_token", 0)
            self.rig.record(self.name, "late", order=path, task=call.get("task", "-"),
                            run=call.get("run", "-"))
            self._order(path, call)

    def _order(self, path, call):
        if path == "/api/hold":
            if "until_ms" in call:
                self._renew(call["until_ms"])
            seen = call.get("last_seen", 0)
            self.note(seen)
            return 200, json.dumps(self._list()).encode()
        if path == "/api/run-start":
            return self._start(call)
        if path == "/api/run-stop":
            return self._stop(call)
        if path == "/api/pace":
            run = self.running.get(call["task"])
            if run is not None and run.number == call["run"]:
                run.percent = call["percent"]
            return reply(200, clock_ms=self.clock_ms())
        return 404, b""

    def note(self, seen):
        """Ends up to this number are forgotten."""
        for row in self.finished:
            if row[0] <= seen:
                self.rig.noted.append((self.rig.record.now(), row[1], row[2], row[3]))
        self.finished = [row for row in self.finished if row[0] > seen]

    def _renew(self, until_ms):
        self._until = max(self._until, min(until_ms, self.clock_ms() + 6000))

    async def _hold(self, call):
        if "until_ms" in call:
            self._renew(call["until_ms"])
        self.note(call.get("last_seen", 0))
        deadline = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline:
            ended = self._ended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(deadline - time.monotonic()):
                    await ended.wait()
        return 200, json.dumps(self._list()).encode()

    def _start(self, call):
        task, number = call["task"], call["run"]
        self._renew(call["until_ms"])
        there = self.running.get(task)
        if there is not None and there.number == number:
            return reply(200, clock_ms=self.clock_ms())
        reason = ""
        if there is not None or number <= self._ended_runs[task]:
            reason = "old"
        elif call["until_ms"] <= self.clock_ms():
            reason = "late"
        elif not self._fits(task, call["spec"]):
            reason = "room"
        elif self.rig.advice is not None and not self.rig.advice.valid(self, call):
            reason = "ticket"
        if reason:
            self.rig.record(self.name, "rejects", task=task, run=number, why=reason)
            return reply(409, clock_ms=self.clock_ms(), reason=reason)
        run = Run(task, number, call["spec"], call.get("checkpoint", ""),
                  time.monotonic())
        self.running[task] = run
        self.rig.record(self.name, "start", task=task, run=number,
                        checkpoint=run.saved or "-")
        self.rig.starts.append((self.rig.record.now(), self, task, number, call))
        self.rig.begin(self, run)
        return reply(200, clock_ms=self.clock_ms())

    def _fits(self, task, spec):
        used = sum(step_of(run.task, run.spec)["cpu"] for run in self.running.values())
        return used + step_of(task, spec)["cpu"] <= self.cpu

    def _stop(self, call):
        run = self.running.get(call["task"])
        if run is not None and run.number <= call["run"] and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        if run is None or run.number <= call["run"]:
            self._ended_runs[call["task"]] = max(
                self._ended_runs[call["task"]], call["run"]
            )
        return reply(200, clock_ms=self.clock_ms())


def step_of(task, spec):
    return json.loads(spec)[int(task.split(".")[2])]


def saves_as(task, step):
    """Whose progress a checkpoint holds: a task's, or that of its whole gang."""
    return task.rpartition(".")[0] if step.get("gang") else task


def saved_s(checkpoint):
    return float(checkpoint.partition("@")[2] or 0)


class Advice:
    """The advice service: one call of a machine at a time, in turn; 429 when 32 wait."""

    def __init__(self, rig, decide_ms, each_ms, valid_ms, good=lambda step, runner: True):
        self.rig, self._good = rig, good
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.server = HttpServer(rig.platform_ip, ADVICE_PORT, self._handle)
        self._lock = asyncio.Lock()
        self._waiting = 0
        self._tickets = {}
        self.answered = self.gave_up = self.refused = 0

    async def _handle(self, method, path, query, headers, body, alive):
        if self._waiting >= 32:
            self.refused += 1
            return 429, b""
        call = json.loads(body)
        self._waiting += 1
        try:
            await self._lock.acquire()
        finally:
            self._waiting -= 1
        try:
            if not alive():
                self.gave_up += 1
                return None
            workers = call["workers"]
            await asyncio.sleep((self.decide_ms + self.each_ms * len(workers)) / 1000)
            if not alive():
                self.gave_up += 1
                return None
            self.answered += 1
            good = []
            for runner in self.rig.runners:
                if runner.id in workers and self._good(call["step"], runner):
                    ticket = f"t-{self.rig.draw.getrandbits(32):08x}"
                    self._tickets[ticket] = (call["step"], runner.id,
                                             time.monotonic() + self.valid_ms / 1000)
                    good.append([runner.id, ticket])
            self.rig.record("advice", "answers", step=call["step"],
                            asked=len(workers), good=len(good))
            return reply(200, good=good, valid_ms=self.valid_ms)
        finally:
            self._lock.release()

    def valid(self, runner, call):
        step, runner_id, until = self._tickets.get(call.get("ticket"), ("", "", 0))
        return (call["task"].startswith(step + ".") and runner.id == runner_id
                and time.monotonic() < until)


class Node:
    """A machine of the system and its process."""

    def __init__(self, rig, number, ip, zone):
        self.rig, self.number, self.ip, self.zone = rig, number, ip, zone
        self.name = f"front-{zone}-{number}"
        self.process = None

    @property
    def front(self):
        return (self.ip, FRONT_PORT)

    def start(self):
        settings = {
            "node_name": self.name, "role": "node", "machine_class": "front",
            "serves": ["front"], "ip": self.ip, "zone": self.zone, "region": "area",
            "zones": {zone: "area" for zone in ZONES},
            "listen": {"front": f"{self.ip}:{FRONT_PORT}",
                       "ready": f"{self.ip}:{READY_PORT}"},
            "internal_ports": PEER_PORTS, "seeds": [], "bootstrap": True,
            "in_tolerance": False,
            "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call",
            "advice": f"{self.rig.platform_ip}:{ADVICE_PORT}",
            "platform": {"address": self.store, "form": "log",
                         "writes_per_s": 800, "reads_per_s": 2000, "parts": 24,
                         "append_ms": 1.0, "part_mb_per_s": 20.0,
                         "read_mb_per_s": 80.0, "record_bytes": 262144,
                         "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                         "ttl_min_ms": 1000},
            "cloud": {"address": f"{self.rig.platform_ip}:20003", "rate_per_s": 60.0,
                      "duties": [], "duty_per_s": 60.0},
        }
        boot = self.rig.folder / f"{self.name}.json"
        boot.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GRANITETRESTLE_BOOT"] = str(boot)
        log = open(self.rig.folder / f"{self.name}.log", "ab")
        import subprocess
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.rig.record(self.name, "started", pid=self.process.pid)

    def signal(self, number):
        self.rig.record(self.name, "signal", number=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait(5)

    def log(self):
        path = self.rig.folder / f"{self.name}.log"
        rows = []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows


class Rig:
    """A whole deployment."""

    def __init__(self, case, seed=0, nodes=3):
        self.draw = random.Random(seed)
        self.case = pathlib.Path(case)
        self.record = Record(self.case / "record.txt")
        self._temporary = tempfile.TemporaryDirectory(prefix="rig-")
        self.folder = pathlib.Path(self._temporary.name)
        self._reserve()
        self.store = Store(self.platform_ip, self.record)
        self.advice = None
        self.runners, self.starts, self.ends, self.noted = [], [], [], []
        self.jobs = {}
        self.gangs = Gangs()
        self.nodes = [
            Node(self, i, f"127.{self._second}.{self._block}.{1 + i}", ZONES[i % 3])
            for i in range(nodes)
        ]
        self.submissions = []

    def _reserve(self):
        """Find a block of loopback addresses that nothing uses."""
        for attempt in range(200):
            self._second = 90
            self._block = 1 + (os.getpid() + attempt) % 250
            self.platform_ip = f"127.{self._second}.{self._block}.250"
            self.runner_ip = f"127.{self._second}.{self._block}.251"
            lock = socket.socket()
            try:
                lock.bind((f"127.{self._second}.{self._block}.254", 19999))
            except OSError:
                lock.close()
                continue
            self._lock = lock
            return
        print("no block of addresses is free")
        sys.exit(2)

    def add_runner(self, zone, kind="a", rack="r1", cpu=8000, mem_mb=32000):
        self.runners.append(
            Runner(self, len(self.runners), zone, kind, rack, cpu, mem_mb)
        )
        return self.runners[-1]

    async def start(self, route=None, advice=None):
        self.loop = asyncio.get_running_loop()
        for node in self.nodes:
            node.store = await self.store.listen(node.number)
        queue = {"name": "q", "host": HOST, "path_prefix": PREFIX, "service": "pool",
                 "priority": 0, "max_attempts": 3, "extension": 1.5,
                 "target_latency_ms": 1000, **(route or {})}
        if advice is not None:
            self.advice = advice
            await advice.server.start()
            queue["advice"] = {"decide_ms": advice.decide_ms, "each_ms": advice.each_ms,
                               "valid_ms": advice.valid_ms}
        self.store.config({
            "version": 1, "routes": [queue],
            "services": [{"name": "pool", "enforces_capacity": True}],
            "limits": {"max_body_bytes": 262144},
        })
        for runner in self.runners:
            await runner.start()
        for node in self.nodes:
            node.start()
        self._ticker = asyncio.create_task(self._tick())
        deadline = time.monotonic() + 25
        ready = set()
        while len(ready) < len(self.nodes):
            if time.monotonic() > deadline:
                print("the nodes are not ready")
                await self.stop()
                sys.exit(2)
            for node in self.nodes:
                status, _ = await self.http("GET", (node.ip, READY_PORT), "/api/readyz")
                if status == 200:
                    ready.add(node.name)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.record("rig", "ready")

    async def _tick(self):
        while True:
            for runner in self.runners:
                if runner.up:
                    runner.tick()
            await asyncio.sleep(0.01)

    # What tasks do.

    def begin(self, runner, run):
        step = step_of(run.task, run.spec)
        run.left_s = step.get("work_s")
        if step.get("saves"):
            run.left_s = max(0.0, run.left_s - saved_s(run.saved))
        if not step.get("gang"):
            run.works_since = time.monotonic()
        else:
            key = (run.task.rpartition(".")[0], run.number)
            members = self.gangs.present[key]
            members[run.task] = (runner, run)
            if len(members) == step["gang"]:
                for _, other in members.values():
                    other.works_since = time.monotonic()
            else:
                self.loop.call_later(BOUNDS["gang_ms"] / 1000, self._alone, runner, run)
        if runner.on_start is not None:
            runner.on_start(run)

    def save(self, run, now):
        """Renew the checkpoint of a run with each ``save_s`` of work."""
        step = step_of(run.task, run.spec)
        if step.get("saves"):
            worked = step["work_s"] - run.left_s + (now - run.works_since)
            saved = int(worked / BOUNDS["save_s"]) * BOUNDS["save_s"]
            if saved > saved_s(run.saved):
                run.saved = f"{saves_as(run.task, step)}@{saved}"

    def _alone(self, runner, run):
        if runner.running.get(run.task) is run and run.works_since is None:
            runner.end(run, "alone")

    def finish(self, runner, run):
        """The work of a run is done."""
        step = step_of(run.task, run.spec)
        how = self.outcome(run, step)
        if step.get("gang") and how == "done":
            key = (run.task.rpartition(".")[0], run.number)
            members = self.gangs.present.pop(key, {})
            for other_runner, other in members.values():
                other_runner.end(other, "done")
        else:
            runner.end(run, how)

    def outcome(self, run, step):
        return "failed" if step.get("fails") else "done"

    def gone(self, runner, run, how):
        """A member of a gang has ended: so do the others."""
        step = step_of(run.task, run.spec)
        if not step.get("gang") or how == "done":
            return
        key = (run.task.rpartition(".")[0], run.number)
        members = self.gangs.present.pop(key, {})
        members.pop(run.task, None)
        for other_runner, other in members.values():
            if other.works_since is not None:
                other_runner.end(other, "broken")
            else:
                self.gangs.present[key][other.task] = (other_runner, other)

    # Clients.

    async def http(self, method, address, path, body=None, headers=(), timeout=4.0):
        """Make one call; returns status and body, status 0 for no complete answer."""
        content = b"" if body is None else json.dumps(body).encode()
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close",
                f"Content-Length: {len(content)}", "Content-Type: application/json"]
        head += [f"{name}: {value}" for name, value in headers]
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + content)
                    data = await reader.read()
                finally:
                    writer.close()
            top, _, rest = data.partition(b"\r\n\r\n")
            return int(top.split(b" ", 2)[1]), rest
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, b""

    def new_id(self):
        return f"{self.draw.getrandbits(64):016x}"

    async def submit(self, job, steps, spec, **more):
        """Hand in a submission as a client does, until it is answered with 2xx."""
        body = {"spec": json.dumps(spec), "steps": steps, **more}
        for attempt in range(30):
            node = self.draw.choice(self.nodes)
            status, _ = await self.http("POST", node.front, PREFIX + job, body,
                                        [("Deadline-Ms", "3000")])
            self.record("client", "POST", job=job, to=node.name, status=status)
            if status // 100 == 2:
                self.submissions.append((self.record.now(), job))
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, node=None, quiet=False):
        node = node or self.draw.choice(self.nodes)
        status, body = await self.http("GET", node.front, PREFIX + job, None,
                                       [("Deadline-Ms", "3000")])
        state = json.loads(body)["state"] if status == 200 else ""
        if not quiet or status != 200:
            self.record("client", "GET", job=job, of=node.name, status=status,
                        state=state or "-")
        return status, state

    async def cancel(self, job):
        for attempt in range(20):
            node = self.draw.choice(self.nodes)
            status, _ = await self.http("DELETE", node.front, PREFIX + job, None,
                                        [("Deadline-Ms", "3000")])
            self.record("client", "DELETE", job=job, to=node.name, status=status)
            if status // 100 == 2 or status == 410:
                return status
            await asyncio.sleep(0.5)
        return 0

    def runs_of(self, job):
        """Return the runs of a job that run now, as (runner, run)."""
        return [
            (runner, run) for runner in self.runners if runner.up
            for run in runner.running.values() if run.task.startswith(job + ".")
        ]

    def leader(self):
        """Return the node that took over last, by its log."""
        found = [
            (row.get("epoch", 0), node.number) for node in self.nodes
            for row in node.log() if row.get("event") == "took_over"
        ]
        return self.nodes[max(found)[1]] if found else None

    def decisions(self, *events):
        """Return log lines of the nodes."""
        return [
            row for node in self.nodes for row in node.log()
            if row.get("event") in events
        ]

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait(5)
        for runner in self.runners:
            runner.server.kill()
        self.store.kill()
        self._lock.close()


def main(play, case, **options):
    """Play a case; exits with 1 if the rule was broken, 0 if it held, 2 otherwise.

    ``play(rig)`` returns a list of what breaks the rule."""

    async def run():
        rig = Rig(case, **options)
        try:
            async with asyncio.timeout(115):
                broken = await play(rig)
        except AssertionError as error:
            rig.record("rig", "could not run", why=error)
            print("could not run:", error)
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                import shutil
                shutil.copytree(rig.folder, os.environ["KEEP_LOGS"],
                                dirs_exist_ok=True)
            await rig.stop()
        for line in broken:
            rig.record("check", "BROKEN", why=line)
            print("BROKEN:", line)
        rig.record("check", "result", broken=len(broken))
        print("broken" if broken else "held")
        return 1 if broken else 0

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        import traceback
        traceback.print_exc()
        print("could not run:", error)
        code = 2
    sys.exit(code)
