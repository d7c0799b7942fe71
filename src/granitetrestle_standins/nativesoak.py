"""Random work and faults over real processes of the platform's program: processes are
killed, stopped, frozen and started again, boxes fall silent or crash and start again, most
of them under the id that they had, the store is slow, busy or
silent or forgets, halls are evacuated and taken back, and clients submit, ask and cancel
all the while; with links, these are cut, slow, reset and late as well, and the decider is
stopped for longer. Now and then a maintenance phase takes their place, see
:mod:`.soakmaintenance`. Promises are judged by what clients were told and what boxes saw."""

import itertools
import json
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing as t

from absl import app
from absl import flags

from .links import RigFault
from .nativecluster import HALLS
from .nativecluster import NativeCluster
from .runfacts import ClientEvent
from .soakcrashes import SoakCrashes
from .soaklinks import HOLD_TIMES_S
from .soaklinks import LinkFaults
from .soakmaintenance import SoakMaintenance
from .soakobserver import SoakObserver
from .soakresults import DRAWN
from .soakresults import PLAIN
from .soakresults import Played
from .soakresults import PromiseBroken
from .soakresults import Run
from .soakresults import Surroundings
from .storereadings import READINGS

__all__ = [
    "DRAWN",
    "PLAIN",
    "Played",
    "PromiseBroken",
    "Soak",
    "Surroundings",
    "main",
    "soak",
]

FLAGS: t.Final = flags.FLAGS
REFUSED: t.Final = 503
# Calls that are answered late end on a client's side after this.
CLIENT_S: t.Final = 2.0
# After an order about a hall nothing starts there any more, whatever else goes on: half of
# the shortest bound a deployment gave, and a read of the store that is repeated.
IN_FORCE_S: t.Final = 3.0
# All work of a run ends within this once nothing is disturbed any more.
SETTLE_S: t.Final = 40.0
FREEZE_S: t.Final = (0.3, 1.2, 2.5)
# With links the decider is stopped for a time between these, short ones more often.
LONG_FREEZE_S: t.Final = (0.2, 15.0)
# How long a client waits for bytes; over a link that is silent none ever come.
READ_S: t.Final = 6.0
READ_WITH_LINKS_S: t.Final = 2.5


# Of the calls to a box, these shares may be carried out late and without an answer.
LATE_SHARES: t.Final = (0.0, 0.01, 0.05)
# Outlasts any run; lateness is ended when everything is to recover.
ALWAYS_S: t.Final = 3600
PLAIN_SURROUNDINGS: t.Final = Surroundings()


class Soak:
    """One seeded run.

    :param operations: how many things happen, some five a second.
    :param links: whether links are disturbed too; a seed draws other things then.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        nodes: int,
        boxes: int,
        operations: int,
        links: bool = False,
        surroundings: Surroundings = PLAIN_SURROUNDINGS,
    ) -> None:
        self._folder = folder
        self._draw = random.Random(seed)
        # What happens in a seed must not depend on what it happens to.
        self._draw_boxes = random.Random(f"boxes {seed}")
        self._crashes = SoakCrashes(seed)
        self._surroundings = surroundings
        self._operations = operations
        arguments = (
            *("--profiles", surroundings.boxes, "--reading", surroundings.reading),
            *("--seed", str(seed)),
        )
        faults = () if links else None
        self._cluster = NativeCluster(
            folder, nodes, boxes, arguments, faults, spares=boxes // 3
        )
        self._observer = SoakObserver(self._cluster)
        parts = (self._cluster, self._observer, self._send_job)
        self._maintenance = SoakMaintenance(seed, operations, *parts)
        self._links: LinkFaults | None = None
        if links:
            names = [f"b{box}" for box in range(boxes)]
            places = (self._cluster.links, self._cluster.nodes(), names, HALLS)
            self._links = LinkFaults(self._draw, *places)
        self._frozen: dict[str, float] = {}
        self._accepted: set[str] = set()
        self._refused: set[str] = set()
        self._cancelled: set[str] = set()
        # Hall -> spans in which nothing may start there.
        self._closed: dict[str, list[tuple[float, float]]] = {h: [] for h in HALLS}
        self._jobs = 0
        self.counts: dict[str, int] = {}
        self.unfenced_starts = 0

    @property
    def crashed(self) -> dict[str, int]:
        """How many boxes crashed and started again, by under which id."""
        return self._crashes.counts

    @property
    def maintained(self) -> dict[str, int]:
        """How often what happened in maintenance phases."""
        return self._maintenance.counts

    def run(self) -> None:
        """Play, let everything recover, and judge.

        :raises PromiseBroken: naming what was broken.
        :raises RigFault: if the run shows nothing, for what carries the links has failed.
        """
        try:
            self._play()
        except PromiseBroken as error:
            self._observer.stop()
            # Without what carries its links the program can't keep any promise.
            self._cluster.check_rig()
            error.add_note(self._observer.trace(self._folder, error.subject))
            raise
        except AssertionError:
            self._cluster.check_rig()
            raise
        finally:
            self._observer.stop()
            self._thaw(everything=True)
            self._cluster.stop()

    def _play(self) -> None:
        self._cluster.ready()
        self._observer.start()
        late_shares = self._draw_late_shares()
        self._let_orders_be_late(late_shares)
        for operation in range(self._operations):
            if self._maintenance.is_due(operation):
                self._maintain(operation)
                self._let_orders_be_late(late_shares)
            self._happen()
            self._crashes.crash_boxes(self._cluster)
            time.sleep(self._draw.uniform(0.05, 0.35))
            self._thaw(everything=False)
            if self._links is not None:
                self._links.end_expired()
            self._judge(self._runs())
        if self._crashes.power_off(self._cluster):
            self._frozen.clear()
            self._observer.record_disturbance()
        self._settle()
        self._observer.stop()
        self._judge_facts()
        self._cluster.check_rig()

    def _draw_late_shares(self) -> list[float]:
        if self._surroundings.boxes != DRAWN:
            return []
        return [
            self._draw_boxes.choice(LATE_SHARES) for _ in range(self._cluster.boxes)
        ]

    def _let_orders_be_late(self, shares: t.Sequence[float]) -> None:
        for box, share in enumerate(shares):
            self._cluster.box(box, f"/test/late?share={share}&s={ALWAYS_S}")

    def _judge_facts(self) -> None:
        """Judge the whole run by what boxes and clients saw."""
        verdict = self._observer.verdict(self._folder)
        self.unfenced_starts = verdict.unfenced_starts
        if verdict.violations:
            first = verdict.violations[0]
            raise PromiseBroken(
                f"{len(verdict.violations)} faults, the first: {first.kind.value}: "
                f"{first.text}",
                first.subject,
            )

    def _happen(self) -> None:
        kinds: tuple[tuple[t.Callable[[], None], int], ...] = (
            (self._submit, 10),
            (self._cancel, 2),
            (self._kill, 1),
            (self._stop, 1),
            (self._freeze, 1),
            (self._box_silent, 1),
            (self._store_fault, 1),
            (self._evacuate, 2),
            (self._forget, 1),
        )
        if self._links is not None:
            kinds += ((self._link_fault, 4), (self._long_freeze, 1))
        functions, weights = zip(*kinds, strict=True)
        (function,) = self._draw.choices(functions, weights)
        name = function.__name__.lstrip("_")
        self.counts[name] = self.counts.get(name, 0) + 1
        function()

    def _any_node(self) -> str:
        return self._draw.choice(self._cluster.nodes())

    def _ask(self, method: str, job: str, node: str, body: t.Any = None) -> int:
        """Return a status, or 0 where a client knows nothing."""
        address = self._cluster.fronts[node]
        left_ms = int(CLIENT_S * 1000)
        try:
            return self._cluster.call(
                method,
                address,
                f"/jobs/{job}",
                body,
                left_ms=left_ms,
                read_s=READ_S if self._links is None else READ_WITH_LINKS_S,
            ).status
        except self._cluster.LOST:
            return 0

    def _submit(self) -> None:
        self._jobs += 1
        job = f"{self._jobs:016x}"
        first = {"count": self._draw.randint(1, 6), "cpu": 1000, "mem_mb": 100}
        steps = [first, {**first, "depends_on": [0]}][: self._draw.randint(1, 2)]
        run_ms = self._draw.choice((100, 400, 1500))
        body = {"spec": f"{run_ms}:{first['cpu']}:{first['mem_mb']}", "steps": steps}
        if self._send_job(job, self._any_node(), body):
            self._accepted.add(job)

    def _send_job(self, job: str, node: str, body: t.Mapping[str, t.Any]) -> bool:
        """Submit a job, perhaps again; returns whether it was accepted."""
        status = self._ask("POST", job, node, body)
        if status == 200:
            self._refused.discard(job)
            self._observer.record_event(job, ClientEvent.ACCEPTED)
        elif status == REFUSED:
            self._refused.add(job)
            self._observer.record_event(job, ClientEvent.REFUSED)
        return status == 200

    def _cancel(self) -> None:
        if self._accepted:
            job = self._draw.choice(sorted(self._accepted))
            self._cancelled.add(job)
            self._observer.record_event(job, ClientEvent.CANCEL_SENT)
            self._ask("DELETE", job, self._any_node())

    def _kill(self) -> None:
        name = self._any_node()
        self._thaw_node(name)
        self._cluster.kill(name)
        self._observer.record_disturbance()
        self._cluster.restart(name)

    def _stop(self) -> None:
        name = self._any_node()
        self._thaw_node(name)
        self._cluster.kill(name, signal.SIGTERM)
        self._cluster.restart(name)
        self._observer.record_disturbance()

    def _freeze(self) -> None:
        leader = self._cluster.leader()
        if leader is not None and leader not in self._frozen:
            self._cluster.kill(leader, signal.SIGSTOP)
            self._frozen[leader] = time.monotonic() + self._draw.choice(FREEZE_S)

    def _long_freeze(self) -> None:
        shortest_s, longest_s = LONG_FREEZE_S
        seconds = shortest_s * (longest_s / shortest_s) ** self._draw.random()
        leader = self._cluster.leader()
        if leader is not None and leader not in self._frozen:
            self._cluster.kill(leader, signal.SIGSTOP)
            self._frozen[leader] = time.monotonic() + seconds

    def _link_fault(self) -> None:
        assert self._links is not None
        self._links.inject(self._cluster.leader())

    def _thaw(self, everything: bool) -> None:
        for name, until in list(self._frozen.items()):
            if everything or time.monotonic() > until:
                self._thaw_node(name)

    def _thaw_node(self, name: str) -> None:
        if self._frozen.pop(name, None) is not None:
            self._cluster.kill(name, signal.SIGCONT)
            self._observer.record_disturbance()

    def _box_silent(self) -> None:
        box = self._draw.randrange(self._cluster.boxes)
        self._cluster.box(box, f"/test/silent?s={self._draw.choice((0.5, 2.0, 6.0))}")

    def _store_fault(self) -> None:
        how = self._draw.choice(("busy", "silent", "slow"))
        seconds = self._draw.choice((0.5, 1.5, 3.0))
        self._cluster.store(f"/test/store?how={how}&s={seconds}")
        self._observer.record_disturbance(time.monotonic() + seconds)

    def _evacuate(self) -> None:
        hall = self._draw.choice(HALLS)
        spans = self._closed[hall]
        if spans and spans[-1][1] == float("inf"):
            at = self._cluster.order(f"evacuate/{hall}")
            spans[-1] = (spans[-1][0], at)
        else:
            at = self._cluster.order(f"evacuate/{hall}", "%7B%7D")
            spans.append((at, float("inf")))

    def _forget(self) -> None:
        self._cluster.store("/test/forget")

    def _runs(self) -> list[Run]:
        rows = []
        for box in self._cluster.all_boxes:
            hall = HALLS[(1 + box) % 2]
            for row in json.loads(self._cluster.box(box, "/test/runs").content):
                rows.append(Run(hall, *row))
        return rows

    def _judge(self, runs: list[Run]) -> None:
        failed = self._cluster.failed_nodes()
        if failed:
            raise PromiseBroken(f"ended by themselves: {', '.join(failed)}")
        by_task: dict[str, list[Run]] = {}
        for run in runs:
            by_task.setdefault(run.task, []).append(run)
            job = run.task.split(".")[0]
            if job in self._refused:
                raise PromiseBroken(f"{run.task} ran, its job was refused", run.task)
            for since, until in self._closed[run.hall]:
                if since + IN_FORCE_S < run.began < until and not run.held_up:
                    late_s = run.began - since
                    raise PromiseBroken(
                        f"{run} began {late_s:.1f} s after {run.hall} was evacuated",
                        run.task,
                    )
        for task, of_task in by_task.items():
            self._judge_task(task, sorted(of_task, key=lambda run: run.began))

    @staticmethod
    def _judge_task(task: str, runs: list[Run]) -> None:
        if sum(run.how == "done" and run.end_counts for run in runs) > 1:
            raise PromiseBroken(f"{task} was done twice: {runs}", task)
        for first, second in itertools.pairwise(runs):
            if first.ended is None or second.began < first.ended:
                raise PromiseBroken(f"two runs at a time: {first}, {second}", task)

    def _calm(self) -> None:
        """Take every hall back, let all be well, and wait until a leader decides."""
        self._thaw(everything=True)
        if self._links is not None:
            self._links.end_expired(everything=True)
        for box in range(self._cluster.boxes):
            self._cluster.box(box, "/test/late?share=0&s=0")
        for hall, spans in self._closed.items():
            if spans and spans[-1][1] == float("inf"):
                at = self._cluster.order(f"evacuate/{hall}")
                spans[-1] = (spans[-1][0], at)
        self._observer.wait_for_decision()

    def _maintain(self, operation: int) -> None:
        self._calm()
        for box in range(self._cluster.boxes):
            self._cluster.box(box, "/test/silent?s=0")
        if self._links is not None:
            time.sleep(max(HOLD_TIMES_S))
        try:
            self._maintenance.play(operation)
        except AssertionError as error:
            raise PromiseBroken(f"in a maintenance phase: {error}") from error
        self._judge(self._runs())

    def _settle(self) -> None:
        """Let all be well, and wait for all work to end."""
        self._calm()
        for job in sorted(self._accepted | self._maintenance.jobs):
            self._ended(job)
        self._judge(self._runs())

    def _ended(self, job: str) -> None:
        cancelled = self._cancelled | self._maintenance.cancelled
        allowed = {"completed", "cancelled"} if job in cancelled else {"completed"}
        try:
            self._cluster.wait(
                lambda: self._cluster.state(job) in allowed, job, SETTLE_S
            )
        except AssertionError as error:
            state = self._cluster.state(job)
            if state is None:
                self._observer.record_event(job, ClientEvent.UNANSWERED)
            raise PromiseBroken(f"{job} was accepted and is {state}", job) from error


def soak(
    seed: int,
    nodes: int,
    boxes: int,
    operations: int,
    links: bool = False,
    surroundings: Surroundings = PLAIN_SURROUNDINGS,
) -> Played:
    """Play one seed.

    :param links: whether links are disturbed too.
    :raises PromiseBroken: naming the seed, the logs and what was broken, with the
        timeline of the task that shows it.
    :raises RigFault: if the run shows nothing; named alike.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"granitetrestle-soak-{seed}-"))
    try:
        played = Soak(folder, seed, nodes, boxes, operations, links, surroundings)
        played.run()
    except RigFault as error:
        raise RigFault(f"seed {seed}, logs in {folder}: {error}") from error
    except PromiseBroken as error:
        text = "\n".join([f"seed {seed}, logs in {folder}: {error}", *_notes(error)])
        raise PromiseBroken(text, error.subject) from error
    return Played(
        played.counts, played.unfenced_starts, played.crashed, played.maintained
    )


def _notes(error: BaseException) -> list[str]:
    return getattr(error, "__notes__", [])


def _main(_: t.Sequence[str]) -> None:
    first = FLAGS.seed if FLAGS.seed is not None else random.randrange(10**6)
    surroundings = Surroundings(FLAGS.profiles, FLAGS.reading)
    failed = 0
    for seed in range(first, first + FLAGS.runs):
        began = time.monotonic()
        try:
            size = (FLAGS.nodes, FLAGS.boxes, FLAGS.operations)
            played = soak(seed, *size, FLAGS.links, surroundings)
            said = (
                f"ok {played.counts}, boxes crashed: {played.crashed}, "
                f"maintenance: {played.maintained}, "
                f"unfenced starts: {played.unfenced_starts}"
            )
        except PromiseBroken as error:
            failed += 1
            said = f"BROKEN {error}"
        except RigFault as error:
            failed += 1
            said = f"FAULT OF THE RIG {error}"
        print(f"seed {seed}: {time.monotonic() - began:.1f} s, {said}", flush=True)
    print(f"{FLAGS.runs - failed} kept, {failed} broken or without a verdict")
    sys.exit(1 if failed else 0)


def main() -> None:
    """Play some seeds, each against processes of its own."""
    flags.DEFINE_integer("seed", None, "the first seed; drawn if left out")
    flags.DEFINE_integer("runs", 5, "how many seeds")
    flags.DEFINE_integer("nodes", 4, "processes of the program")
    flags.DEFINE_integer("boxes", 4, "boxes, in two halls")
    flags.DEFINE_integer("operations", 100, "how many things happen in a run")
    flags.DEFINE_boolean("links", False, "disturb links between all places too")
    flags.DEFINE_enum("profiles", DRAWN, [PLAIN, DRAWN], "how boxes behave")
    flags.DEFINE_enum(
        "reading", DRAWN, [*READINGS, DRAWN], "how the store reads its page"
    )
    app.run(_main)


if __name__ == "__main__":
    main()
