"""Real processes of the platform's program against the platform in small, each on an
address of 127.0.0.0/8 of its own; only processes started here are ended, by id."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import httpcore

HOST = "jobs.example"
LONGEST_S = 25.0


def free_port(ip="127.0.0.1", run=1):
    """A first port of ``run`` free ones in a row."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = probe.getsockname()[1]
        if first + run > 65000:
            continue
        try:
            for port in range(first, first + run):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return first


class NativeCluster:
    def __init__(self, folder, nodes, boxes):
        self.folder = folder
        self.boxes = boxes
        self.port = free_port(run=boxes + 1)
        self.processes = {}
        self.fronts = {}
        self.readies = {}
        self.http = httpcore.ConnectionPool(max_connections=50)
        self._spawn(
            "platform",
            [
                *("-m", "granitetrestle_standins.nativeplatform"),
                *("--port", str(self.port), "--boxes", str(boxes)),
            ],
            {},
        )
        self.wait(lambda: self.store("newest?topic=keyed.op&part=0")[0] == 200)
        # One number in the third byte keeps runs beside each other apart.
        self.net = 1 + os.getpid() % 250
        for number in range(1, nodes + 1):
            self.start_node(f"n{number}", f"127.20.{self.net}.{number}")

    def _spawn(self, name, arguments, env):
        out = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, **env},
            stdout=out,
            stderr=out,
        )

    def start_node(self, name, ip):
        port = free_port(ip, 5)
        self.fronts[name] = f"{ip}:{port}"
        self.readies[name] = f"{ip}:{port + 1}"
        settings = {
            "node_name": name,
            "zone": "hall",
            "ip": ip,
            "listen": {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"},
            "internal_ports": [port + 2, port + 4],
            "platform": {"address": f"127.0.0.1:{self.port}", "unknown": [1]},
            "bounds": {"hold_max_ms": 4000, "grace_s": 4},
            "limits": {"cpu_share": 1.0, "cores": 1},
            "something_new": {"a": 1},
        }
        boot = self.folder / f"{name}.json"
        boot.write_text(json.dumps(settings))
        self._spawn(
            name, ["-m", "granitetrestle.platform"], {"GRANITETRESTLE_BOOT": str(boot)}
        )

    def restart(self, name):
        self.processes[name].wait(10)
        boot = str(self.folder / f"{name}.json")
        self._spawn(
            name, ["-m", "granitetrestle.platform"], {"GRANITETRESTLE_BOOT": boot}
        )

    def nodes(self):
        return sorted(self.fronts)

    def call(self, method, address, path, body=None, host=HOST, left_ms=3000):
        content = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        timeout = {"connect": 1.0, "read": 6.0, "write": 1.0, "pool": 1.0}
        response = self.http.request(
            method,
            f"http://{address}{path}",
            headers={"Host": host, "Deadline-Ms": str(left_ms)},
            content=content if method == "POST" else None,
            extensions={"timeout": timeout},
        )
        retry = dict(response.headers).get(b"retry-after", b"")
        return response.status, response.content, retry

    def store(self, call):
        method = "POST" if call.startswith("/test") else "GET"
        path = call if call.startswith("/test") else f"/api/log-{call}"
        return self.call(method, f"127.0.0.1:{self.port}", path)

    def history(self):
        return [row for box in range(self.boxes) for row in self.rows(box)]

    def rows(self, box):
        address = f"127.0.0.1:{self.port + 1 + box}"
        status, content, _ = self.call("POST", address, "/test/history")
        assert status == 200, (status, content)
        return json.loads(content)

    def started(self):
        """The hall and the task of each run that any box began."""
        return [
            (f"hall-{1 + (1 + box) % 2}", row[0])
            for box in range(self.boxes)
            for row in self.rows(box)
        ]

    def figure(self, name):
        """A figure of the decider's metrics page."""
        host = self.fronts[self.leader()].rpartition(":")[0]
        _, content, _ = self.call("GET", f"{host}:9464", "/metrics")
        for line in content.decode().splitlines():
            if line.startswith(f'granitetrestle_state{{what="{name}"}}'):
                return float(line.split()[-1])
        return None

    def log(self, name):
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def leader(self):
        """The node that took over last, by the logs."""
        found = [
            (line["epoch"], name)
            for name in self.nodes()
            for line in self.log(name)
            if line["event"] == "took_over"
        ]
        return max(found)[1] if found else None

    def kill(self, name, number=signal.SIGKILL):
        os.kill(self.processes[name].pid, number)
        if number == signal.SIGKILL:
            self.processes[name].wait(10)

    def wait(self, condition, what="", longest_s=LONGEST_S):
        end = time.monotonic() + longest_s
        last = None
        while time.monotonic() < end:
            try:
                last = condition()
                if last:
                    return last
            except (httpcore.NetworkError, httpcore.TimeoutException, OSError) as e:
                last = e
            except httpcore.ProtocolError as error:
                last = error
            time.sleep(0.05)
        raise AssertionError(f"did not come about: {what}; last {last!r}")

    def submit(self, job, steps, node=None, spec="200"):
        """Hand in a job as a client does: again after no or an unclear answer."""
        body = {"spec": spec, "steps": steps}

        def accepted():
            for name in [node] if node else self.nodes():
                status, _, _ = self.call(
                    "POST", self.fronts[name], f"/jobs/{job}", body
                )
                if status == 200:
                    return True
            return False

        return self.wait(accepted, f"{job} accepted")

    def state(self, job, node=None):
        for name in [node] if node else self.nodes():
            try:
                status, content, _ = self.call("GET", self.fronts[name], f"/jobs/{job}")
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            if status == 200:
                return json.loads(content)["state"]
            if status == 410:
                return "gone"
        return None

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        self.http.close()
