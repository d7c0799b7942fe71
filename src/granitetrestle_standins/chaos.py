"""Work and faults for the fakes, one method each, and the invariants that must
hold whatever their order. Hypothesis draws the order in the tests; ``make soak``
draws it from a printed seed for minutes on end."""

import collections
import typing as t

from granitetrestle import events as ev
from granitetrestle.errors import InvariantViolated
from granitetrestle.outcomes import Accepted
from granitetrestle.outcomes import NotRun
from granitetrestle.outcomes import Outcome
from granitetrestle.records import CellEdit
from granitetrestle.records import JobSpec
from granitetrestle.reducer import hall_stream

from .fakes import FakeNode
from .fakes import Faults
from .fakes import World

__all__ = ["Chaos"]

SETTLE_S = 60.0
LEAVING_S = 4.0


class Chaos:
    """Drives a world and checks it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.jobs: list[str] = []
        self.edits: dict[str, CellEdit] = {}
        self._serial = 0
        self._versions: dict[tuple[str, str], int] = collections.defaultdict(int)
        self._seen_runs: collections.Counter[str] = collections.Counter()
        self._drained: dict[str, float] = {}

    def _name(self, kind: str) -> str:
        self._serial += 1
        return f"{kind}{self._serial}"

    def _live(self, choice: int) -> str:
        alive = sorted(n for n, node in self.world.nodes.items() if node.alive)
        return alive[choice % len(alive)]

    def submit(self, choice: int, spec: JobSpec, account: str) -> str:
        """Submit a job at some process."""
        node = self.world.nodes[self._live(choice)]
        job = f"{node.setup.hall}.{self._name('j')}"
        self.jobs.append(job)
        request = f"submit-{job}"
        node.run(
            lambda: node.step(
                ev.JobSubmitRequested(node.mono, request, job, account, spec)
            )
        )
        return job

    def cancel(self, choice: int) -> None:
        """Cancel some job at some process of its hall."""
        if not self.jobs:
            return
        job = self.jobs[choice % len(self.jobs)]
        hall = job.partition(".")[0]
        request = f"cancel-{self._name('c')}"
        nodes = self.world.nodes.values()
        node = next((n for n in nodes if n.alive and n.setup.hall == hall), None)
        if node is not None:
            node.run(
                lambda: node.step(ev.JobCancelRequested(node.mono, request, job, ""))
            )

    def call(self, choice: int, service: str, key: str = "") -> str:
        """Let a caller call a service at some process."""
        node = self._live(choice)
        fake = self.world.nodes[node]
        if not key:
            return self.world.request(node, "acc", service, repeatable=choice % 2 == 0)
        # Several callers share a key: all of it must run at most once.
        return self.world.request(
            node, "acc", service, key=key, issued_at=fake.wall - 0.01
        )

    def edit(self, choice: int, cells: int) -> None:
        """Edit cells at some process, at the versions seen there."""
        node = self.world.nodes[self._live(choice)]
        name = f"edit-{self._name('e')}"
        columns = ("weight", "max_cores", "max_queued")[: 1 + cells % 3]
        edits = tuple(
            CellEdit(
                "acc",
                column,
                float(20 + self._serial),
                node.reducer.table.cell("acc", column).version,
            )
            for column in columns
        )
        node.run(lambda: node.step(ev.TableEditRequested(node.mono, name, edits)))

    def kill(self, choice: int) -> None:
        """Kill a process and start another in its place, as platforms do."""
        name = self._live(choice)
        hall = self.world.nodes[name].setup.hall
        self.world.kill(name)
        self.world.start_node(hall, name)

    def kill_for(self, choice: int, seconds: float) -> None:
        """Kill a process; its replacement comes later."""
        alive = [n for n in self.world.nodes.values() if n.alive]
        if len(alive) < 2:
            return
        name = self._live(choice)
        hall = self.world.nodes[name].setup.hall
        self.world.kill(name)
        self.world.later(seconds, lambda: self._replace(hall, name))

    def _replace(self, hall: str, name: str) -> None:
        if not self.world.nodes[name].alive:
            self.world.start_node(hall, name)

    def freeze(self, choice: int, seconds: float) -> None:
        """Stop a process as SIGSTOP does, then let it go on."""
        node = self.world.nodes[self._live(choice)]
        node.frozen_until = self.world.now + seconds

    def cut(self, choice: int, what: int) -> None:
        """Cut a process from the log, from its peers, or from a box."""
        node = self.world.nodes[self._live(choice)]
        if what % 3 == 0:
            node.cut_from_log = True
        elif what % 3 == 1:
            node.cut_from |= set(self.world.nodes)
        else:
            boxes = sorted(self.world.boxes)
            node.cut_from.add(boxes[what % len(boxes)])

    def heal(self) -> None:
        """End all cuts and faults."""
        for node in self.world.nodes.values():
            node.cut_from_log = False
            node.cut_from.clear()
        self.world.faults = Faults()

    def box_fails(self, choice: int, seconds: float) -> None:
        """Let a box lose everything, and come back empty later."""
        box = self.world.boxes[sorted(self.world.boxes)[choice % len(self.world.boxes)]]
        box.fail()

        def back() -> None:
            box.down = False

        self.world.later(seconds, back)

    def box_leaves(self, choice: int) -> None:
        """Mark a box as leaving in the platform's list."""
        name = sorted(self.world.boxes)[choice % len(self.world.boxes)]
        box = self.world.boxes[name]
        box.info = box.info._replace(leaving=True)
        self._drained[name] = self.world.now

    def box_returns(self) -> None:
        """Take all leaving marks back."""
        for name in self._drained:
            box = self.world.boxes[name]
            box.info = box.info._replace(leaving=False)
        self._drained.clear()

    def advance(self, seconds: float) -> None:
        """Let time pass, checking all the way."""
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.advance(min(0.25, end - self.world.now))
            self.check()

    def check(self) -> None:
        """Assert what must hold at any moment.

        :raises InvariantViolated: naming the promise.
        """
        self._check_owners()
        self._check_table()
        self._check_work()

    def _check_owners(self) -> None:
        """Promise 2: processes that read equally far see the same owners."""
        seen: dict[tuple[str, int], t.Any] = {}
        for node in self.world.nodes.values():
            stream = hall_stream(node.setup.hall)
            key = (stream, node.reducer.offsets.get(stream, 1))
            shards = dict(node.reducer.ownership.shards)
            if seen.setdefault(key, shards) != shards:
                raise InvariantViolated(f"two views of the owners at {key} (promise 2)")

    def _check_table(self) -> None:
        """Promise 9: no replica steps back, and equal offsets are equal tables."""
        tables: dict[int, dict[str, dict[str, t.Any]]] = {}
        for node in self.world.nodes.values():
            table = node.reducer.table
            for account, row in table.rows.items():
                for column, cell in row.items():
                    key = (f"{node.setup.incarnation}.{account}", column)
                    if cell.version < self._versions[key]:
                        raise InvariantViolated(f"{key} reverted (promise 9)")
                    self._versions[key] = cell.version
            known = tables.setdefault(table.offset, table.rows)
            if known != table.rows:
                raise InvariantViolated(f"two tables at {table.offset} (promise 9)")

    def _check_work(self) -> None:
        executed = self.world.ledger.executed
        for name, count in executed.items():
            if count > 1 and name.startswith("key"):
                raise InvariantViolated(f"{name} ran {count} times (promise 6)")

    def outcomes(self) -> t.Iterator[tuple[str, Outcome]]:
        """Iterate over what callers were told."""
        for request, node in self.world.called.items():
            if request in node.outcomes:
                yield request, node.outcomes[request]

    def check_not_run(self) -> None:
        """Promise 5, at the end: what was said not to have run never ran."""
        for request, outcome in self.outcomes():
            ran = self.world.ledger.executed[request]  # none for keys: shared
            if isinstance(outcome, NotRun) and ran:
                raise InvariantViolated(f"{request} ran, {outcome} (promise 5)")

    def accepted_jobs(self) -> set[str]:
        """Return the jobs whose submission was acknowledged."""
        nodes = [*self.world.nodes.values(), *self.world.retired]
        return {
            job
            for job in self.jobs
            for node in nodes
            if isinstance(node.outcomes.get(f"submit-{job}"), Accepted)
        }

    def settle(self) -> None:
        """End all faults and check that everything accepted comes to its end.

        :raises InvariantViolated: if something accepted was lost or stuck.
        """
        self.heal()
        self.box_returns()
        self.advance(SETTLE_S)
        self.check_not_run()
        self._check_accepted()
        self._check_agreement()

    def _check_accepted(self) -> None:
        suspects = self._suspects()
        self.advance(SETTLE_S / 4)
        stuck = suspects & self._suspects()
        if stuck:
            raise InvariantViolated(f"stuck: {sorted(stuck)[:3]}")

    def _suspects(self) -> set[str]:
        """Return what is accepted and neither ended, running nor waiting."""
        found: set[str] = set()
        for name in self.accepted_jobs():
            hall = name.partition(".")[0]
            for node in self.world.nodes.values():
                if node.alive and node.setup.hall == hall:
                    found |= self._suspects_at(node, name)
        return found

    def _suspects_at(self, node: FakeNode, name: str) -> set[str]:
        job = node.reducer.jobs.jobs.get(name)
        if job is None:
            return {f"{name} is lost at {node.name}"}
        reasons = node.reducer.explain(job)
        if reasons is None:
            return set()
        return {
            f"{task.task} attempt {task.attempt}: {reasons[task.task]}"
            for task in job.tasks.values()
            if not task.ended
            and task.task not in self.world.ledger.running
            and not reasons[task.task].startswith("waiting: ")
        }

    def _check_agreement(self) -> None:
        newest = max(n.reducer.table.offset for n in self.world.nodes.values())
        for node in self.world.nodes.values():
            if node.alive and node.reducer.table.offset != newest:
                raise InvariantViolated(f"{node.name} lacks table {newest}")
