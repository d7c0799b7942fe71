"""The part of ``make demo`` that still runs on the older path: the table, services and
requests, and jobs of one step."""

import json
import pathlib
import typing as t

from .cluster import Cluster
from .cluster import wait_for
from .demosteps import Step
from .demosteps import Summary

__all__ = ["run"]

REPLICAS = 2


class Demo(Summary):
    """Runs the steps on a started cluster."""

    def __init__(self, cluster: Cluster) -> None:
        super().__init__()
        self._cluster = cluster
        self._token = ""
        self._traces: dict[str, str] = {}

    def run(self) -> list[Step]:
        """Run every step in order."""
        self._step("start: 1 platform, 6 boxes, 9 daemons", self._start)
        self._step("table: a cell in force in nine daemons", self._cell)
        self._step("service: replicas placed in zurich", self._service)
        self._step("request: entry -> runner -> back whole", self._request)
        self._step("request: entry -> peer hall -> runner", self._far_request)
        self._step("job: submitted, placed, run, finished", self._job)
        self._step("explain: why is it there", self._explain)
        return self.steps

    def _start(self) -> str:
        self._cluster.start()
        wait_for(self._all_heard, "the halls have heard of one another")
        return f"{len(self._cluster.daemons)} daemons ready"

    def _all_heard(self) -> bool:
        status = self._cluster.client("bern-1").call("GET", "/v1/status")
        nodes = [node for hall in status["halls"] for node in hall["nodes"]]
        return all(node["live"] for node in nodes)

    def _cell(self) -> str:
        self._token = self._cluster.add_account("zurich-1", "acme", weight=2.0)
        words = ("table", "set", "acme", "max_cores", "96", "--json")
        code, out = self._cluster.cli("bern-1", _operator(), *words)
        if code:
            raise RuntimeError(out)
        answer = json.loads(out)
        return f"offset {answer['offset']} in force at {len(answer['in_force'])} of 9"

    def _service(self) -> str:
        size = ("--cores=4", "--memory_gb=8", f"--tasks={REPLICAS}")
        words = ("service", "create", "unlock", *size, "--json")
        code, out = self._cluster.cli("zurich-1", self._token, *words)
        if code:
            raise RuntimeError(out)
        wait_for(lambda: self._slots("zurich-1") > 0, "slots lent to zurich-1")
        wait_for(self._known_far, "bern knows where unlock is served")
        return (
            f"{json.loads(out)['subject']}, {self._slots('zurich-1')} slots lent here"
        )

    def _slots(self, node: str) -> int:
        services = self._cluster.client(node).call("GET", "/v1/services")
        return sum(x["slots_here"] for x in services if x["service"] == "unlock")

    def _known_far(self) -> bool:
        services = self._cluster.client("bern-2").call("GET", "/v1/services")
        return any("zurich" in x["halls"] for x in services)

    def _call(self, node: str, trace_id: str) -> str:
        body = b'{"scooter": 4711}'
        headers = {
            "Authorization": f"Bearer {self._token}",
            "traceparent": f"00-{trace_id}-{'1' * 16}-01",
        }
        path = "/v1/services/unlock/call"
        response = self._cluster.request(node, "POST", path, body, headers)
        if response.status != 200 or response.content != body:
            raise RuntimeError(f"{response.status}: {response.content!r}")
        box = dict(response.headers).get(b"x-box", b"").decode()
        return f"200, {len(body)} bytes back whole {box}".rstrip()

    def _request(self) -> str:
        self._traces["request"] = "a" * 32
        return self._call("zurich-1", "a" * 32)

    def _far_request(self) -> str:
        self._traces["far request"] = "b" * 32
        return self._call("bern-2", "b" * 32)

    def _job(self) -> str:
        trace_id = "c" * 32
        self._traces["job"] = trace_id
        spec = {"kind": "batch", "cores": 2, "memory_gb": 4, "tasks": 3, "run_s": 1}
        headers = {
            "Authorization": f"Bearer {self._token}",
            "traceparent": f"00-{trace_id}-{'1' * 16}-01",
        }
        body = json.dumps(spec).encode()
        response = self._cluster.request("basel-3", "POST", "/v1/jobs", body, headers)
        job = json.loads(response.content)["subject"]
        client = self._cluster.client("basel-1", self._token)
        wait_for(
            lambda: client.call("GET", f"/v1/jobs/{job}")["state"] == "finished",
            f"{job} finished",
        )
        runs = self._runs(job)
        return f"{job}: 3 tasks finished, each run {runs}"

    def _runs(self, job: str) -> str:
        counts: dict[str, int] = {}
        for box in self._cluster.boxes:
            for task, count in self._cluster.get(box, "/inspect")[1]["runs"].items():
                if task.startswith(job):
                    counts[task] = counts.get(task, 0) + count
        if set(counts.values()) != {1}:
            raise RuntimeError(f"tasks did not run once each: {counts}")
        return "once"

    def _explain(self) -> str:
        spec = {"kind": "batch", "cores": 1, "memory_gb": 1, "run_s": 30}
        client = self._cluster.client("basel-2", self._token)
        job = client.call("POST", "/v1/jobs", spec)["subject"]
        wait_for(lambda: "running" in str(self._why(job)), "the job runs")
        words = next(iter(self._why(job).values()))
        client.call("DELETE", f"/v1/jobs/{job}")
        return str(words)

    def _why(self, job: str) -> dict[str, str]:
        client = self._cluster.client("zurich-2", self._token)
        answer: dict[str, str] = client.call("GET", f"/v1/jobs/{job}/explain")
        return answer

    def trees(self) -> list[str]:
        """Return the span trees of the demo's requests, as indented lines."""
        wait_for(self._complete, "spans of every hop are written")
        lines = []
        for name, trace_id in self._traces.items():
            spans = self._spans(trace_id)
            hops = ", ".join(sorted({span["name"] for span in spans}))
            lines.append(f"{name}: {hops}")
            roots = [s for s in spans if s["parent_id"] == f"0x{'1' * 16}"]
            for root in roots:
                lines += _tree(root, spans, 1)
        return lines

    def _spans(self, trace_id: str) -> list[dict[str, t.Any]]:
        wanted = f"0x{trace_id}"
        return [s for s in self._cluster.spans() if s["context"]["trace_id"] == wanted]

    def _complete(self) -> bool:
        far = {span["name"] for span in self._spans("b" * 32)}
        job = {span["name"] for span in self._spans("c" * 32)}
        needed = {"entry request", "peer call", "runner call"}
        return needed <= far and {"POST /v1/jobs", "log append"} <= job


def _tree(
    span: dict[str, t.Any], spans: list[dict[str, t.Any]], depth: int
) -> list[str]:
    node = span["resource"]["attributes"]["service.name"]
    lines = [f"{'  ' * depth}{span['name']} ({node})"]
    for child in spans:
        if child["parent_id"] == span["context"]["span_id"]:
            lines += _tree(child, spans, depth + 1)
    return lines


def _operator() -> str:
    return "operator.operator-secret-of-the-demo"


def run(folder: pathlib.Path) -> tuple[list[Step], list[str]]:
    """Run all steps; returns them and the span trees of their requests.

    :raises RuntimeError: if a step does not come about.
    :raises TimeoutError: if it takes too long.
    """
    with Cluster(folder) as cluster:
        demo = Demo(cluster)
        return demo.run(), demo.trees()
