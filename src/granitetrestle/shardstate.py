"""State of the scheduler of one shard: jobs, boxes, configuration, and the changes that
are not written yet. The parts of the scheduler share it."""

import math
import types
import typing as t

import msgspec

from .appendpace import DEFAULT_LINK_BYTES_PER_S
from .boxes import BoxView
from .boxindex import BoxIndex
from .boxindex import EligibleBoxes
from .crashevidence import LossHistory
from .earlycancels import EarlyCancels
from .errors import DECODE_ERRORS
from .errors import UnreadableRecord
from .failurerate import FailureRate
from .incarnations import box_id_of
from .interfaces import MAX_KEY_BYTES
from .interfaces import Config
from .interfaces import Queue
from .interfaces import Record
from .interference import Interference
from .jobrecords import DEFAULT_MAX_RECORD_BYTES
from .jobrecords import INTERFERENCE_KEY
from .jobrecords import JobRecords
from .jobrestore import JobsApart
from .jobrestore import Restored
from .jobrestore import restore_jobs
from .keptconfig import KeptConfig
from .lossrecords import LOSSES_KEY
from .mechanisms import Mechanism
from .pacing import StepLoads
from .shardtime import ShardTime
from .slices import SlicedWork
from .stepadvice import StepAdvice
from .withdrawnleases import WithdrawnLeases
from .witnesses import PANEL_KEY
from .witnesses import Witnesses
from .workflows import PENDING
from .workflows import Submission
from .workflows import Task
from .workflows import Workflow
from .workflows import job_of
from .workflows import parse_task_name

__all__ = ["SchedulerParameters", "ShardState", "WaitingStep"]


# A job that takes longer than this multiple of its objective is worth nothing to its
# client account, by the rules that accounts are served under.
MAX_USEFUL_OBJECTIVE_FACTOR: t.Final = 3.0
# Of jobs whose queue is not configured.
DEFAULT_OBJECTIVE_FACTOR: t.Final = 1.5
DEFAULT_TARGET_MS: t.Final = 1000.0
DEFAULT_PRIORITY: t.Final = 1


class SchedulerParameters(t.NamedTuple):
    """Durations in seconds.

    :param lease_s: duration of the leases that this leader grants.
    :param max_lease_s: longest lease that another leader may have granted, as one of an
        older version; never less than ``lease_s``.
    :param orphan_s: how long a leader that is not confirmed goes on renewing leases; its
        successor relies on this limit.
    :param clock_slack: how much slower than ours a box's clock may run, as a share.
    :param keep_s: how long the state of an ended job can be queried.
    :param connections: maximum number of open connections of a process.
    :param call_bytes: maximum size of a call to the store.
    :param record_bytes: maximum size of a record in the store.
    :param link_bytes_per_s: bandwidth of the link of this process.
    :param off: disabled mechanisms.
    :param hall: data hall of this process.
    :param areas: data hall -> its area.
    """

    lease_s: float = 10.0
    max_lease_s: float = 0.0
    orphan_s: float = 8.0
    clock_slack: float = 0.03
    keep_s: float = 120.0
    connections: int = 3900
    call_bytes: int = 2_097_152
    record_bytes: int = DEFAULT_MAX_RECORD_BYTES
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    off: frozenset[Mechanism] = frozenset()
    hall: str = ""
    areas: t.Mapping[str, str] = types.MappingProxyType({})

    @property
    def lease_bound_s(self) -> float:
        """How long a lease that this leader renews now may last by its clock."""
        return self._bound_s(self.lease_s)

    @property
    def max_lease_bound_s(self) -> float:
        """How long a lease that any leader renews now may last by this one's clock."""
        return self._bound_s(max(self.lease_s, self.max_lease_s))

    def _bound_s(self, lease_s: float) -> float:
        return lease_s * (1.0 + self.clock_slack) + 0.3


class WaitingStep:
    """Tasks of one step that wait for a box.

    :ivar advice: for a queue under advice, which boxes may run the step.
    :ivar room_since: since when there has been room for one of its long-running tasks,
        except for short gaps.
    :ivar room_seen_at: when there last was such room.
    :ivar latest_start: when it has to start for its job to meet the objective.
    :ivar latest_useful_start: when it has to start for its job to be of any use.
    :ivar last_visited_at: when a placement pass last visited it.
    :ivar found_waiting_at: when a pass first visited it, or last started a task of it.
    :ivar waits_since: when it was enqueued, or a task of it was last started.
    :ivar idle_since: since when none of its tasks has been without a run for longer.
    :ivar head_start_tried_at: when a pass last tried to place it ahead of all others.
    :ivar suspects: whether one of its tasks may be suspected; see :mod:`.crashloops`.
    :ivar eligible: boxes where its tasks had room; see :mod:`.boxsearch`.
    """

    __slots__ = (
        "advice",
        "eligible",
        "found_waiting_at",
        "head_start_tried_at",
        "idle_since",
        "last_visited_at",
        "latest_start",
        "latest_useful_start",
        "occurrence",
        "priority",
        "room_seen_at",
        "room_since",
        "spec",
        "step",
        "suspects",
        "tasks",
        "waits_since",
        "workflow",
    )

    def __init__(
        self,
        workflow: Workflow,
        occurrence: int,
        step: int,
        priority: int,
        latest_start: float,
    ) -> None:
        self.workflow = workflow
        self.occurrence = occurrence
        self.step = step
        self.priority = priority
        self.latest_start = self.latest_useful_start = latest_start
        self.tasks: dict[str, Task] = {}
        self.advice = StepAdvice()
        self.found_waiting_at: float | None = None
        self.room_since = 0.0
        self.room_seen_at = -1e9
        self.last_visited_at = -1e9
        self.waits_since = 0.0
        self.idle_since = math.inf
        self.head_start_tried_at = -1e9
        self.spec = workflow.submission.steps[step]
        self.suspects = False
        self.eligible: EligibleBoxes | None = None

    @property
    def name(self) -> str:
        """The name that logs show."""
        return f"{self.workflow.submission.job}.{self.occurrence}.{self.step}"


class ShardState:
    """Jobs, boxes and configuration of one shard."""

    def __init__(self, parameters: SchedulerParameters) -> None:
        self.parameters = parameters
        self.workflows: dict[str, Workflow] = {}
        self.boxes: dict[str, BoxView] = {}
        self.index = BoxIndex()
        # Incarnation of a box that is not known yet -> tasks that a predecessor placed
        # there.
        self.inherited: dict[str, list[Task]] = {}
        # Id of a box -> its incarnations among those.
        self.inherited_incarnations: dict[str, list[str]] = {}
        self.withdrawn_leases = WithdrawnLeases()
        self.witnesses = Witnesses()
        self.config: Config | None = None
        self.jobs_apart = JobsApart()
        # Data halls whose boxes get no new tasks; see :mod:`.evacuation`.
        self.evacuated_halls: set[str] = set()
        self.queues: dict[str, Queue] = {}
        self.waiting: dict[tuple[str, int, int], WaitingStep] = {}
        self.interference = Interference(
            learns=self.is_enabled(Mechanism.LEARNT_SENSITIVITIES),
            learns_tails=self.is_enabled(Mechanism.LEARNT_UNLOADED_TAILS),
        )
        self.failure_rate = FailureRate()
        self.loads = StepLoads(trend=self.is_enabled(Mechanism.LOAD_TREND))
        self._time = ShardTime()
        self.early_cancels = EarlyCancels(self._time)
        self.losses = LossHistory(self._time)
        self._time_record: Record | None = None
        self.kept_config = KeptConfig()
        self._records = JobRecords(self._time, parameters.record_bytes)
        self._interference_rows: dict[str, bytes] = {}

    @property
    def checkpoints_too_long(self) -> int:
        """See :attr:`.LongCheckpoints.too_long`."""
        return self._records.checkpoints.too_long

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.parameters.off

    def add(self, submission: Submission, now: float) -> Workflow:
        """Add an accepted job and mark it to be written."""
        accepted_ms = self._time.at(now)
        accepted = msgspec.structs.replace(submission, accepted_ms=accepted_ms)
        workflow = Workflow(accepted, now)
        self.workflows[submission.job] = workflow
        self._records.add_job(workflow)
        return workflow

    def mark_task_changed(self, task: Task) -> None:
        """Mark the progress of a task to be written."""
        self._records.mark_task_changed(task)

    def mark_job_ended(self, workflow: Workflow) -> None:
        """Mark the final state of a job to be written."""
        self._records.mark_ended(workflow)
        if workflow.retired:
            # It was held back, so nothing else of it is needed.
            self._records.mark_retired(workflow)

    def retire(self, workflow: Workflow) -> None:
        """Discard everything but the state of an ended job, of which nothing runs."""
        self._records.mark_retired(workflow)
        self.loads.remove(workflow.submission.job)
        workflow.retire()

    def drop(self, job: str) -> None:
        """Remove an ended job and its record."""
        del self.workflows[job]
        self.loads.remove(job)
        self._records.mark_dropped(job)

    def record_interference(self) -> None:
        """Mark the learned interference of images to be written, for a successor. That
        of an image whose name is too long for a key is not: it will be learned anew."""
        longest = self.parameters.record_bytes - MAX_KEY_BYTES - 1
        for image, row in self.interference.take_changed_rows(longest).items():
            if len((INTERFERENCE_KEY + image).encode()) <= MAX_KEY_BYTES:
                self._interference_rows[image] = row

    def record_time(self, now: float) -> None:
        """Mark the shard time to be written, from which a successor goes on."""
        self._time_record = self._time.record(now)

    @property
    def has_writes(self) -> bool:
        """Whether something must be written."""
        leases = self.withdrawn_leases
        return bool(
            self._records.waiting
            or self._interference_rows
            or self.early_cancels.waiting
            or self.losses.waiting
            or leases.waiting
            or self.witnesses.waiting
            or self.kept_config.waiting
            or self._time_record
        )

    def take_writes(self) -> list[Record]:
        """Return what changed since the last call, as records. Those about leases come
        first: what the leader states with the first append rests on them."""
        records = self.withdrawn_leases.pop_records()
        records += self.witnesses.pop_records()
        # Ahead of the tasks, whose evidence these losses are not part of any more.
        records += self.losses.pop_records()
        records += self._records.pop_records()
        records += self.early_cancels.pop_records()
        records += self.kept_config.pop_records()
        for image, value in self._interference_rows.items():
            records.append(Record(INTERFERENCE_KEY + image, value))
        self._interference_rows.clear()
        if self._time_record is not None:
            records.append(self._time_record)
            self._time_record = None
        return records

    def restore(self, records: t.Iterable[Record], now: float) -> SlicedWork[Restored]:
        """Restore a predecessor's records, a part at each step."""
        records = tuple(records)
        restored = yield from restore_jobs(records, self._time, now, self.jobs_apart)
        yield from self._records.checkpoints.restore(
            records, restored.workflows, restored.unreadable
        )
        self.early_cancels.restore(records, now)
        self.kept_config.restore(records)
        self.workflows.update(restored.workflows)
        try:
            self.losses.restore(records, self.find_task, now)
        except DECODE_ERRORS as error:
            restored.unreadable.append(UnreadableRecord(LOSSES_KEY, str(error)))
        for group in restored.groups:
            self._records.add_stored_group(group)
        for workflow in restored.set_aside:
            self._records.mark_retired(workflow)
        for workflow in restored.in_old_format:
            for task in workflow.tasks.values():
                if task.run:
                    self.mark_task_changed(task)
            self.mark_job_ended(workflow)
        self.withdrawn_leases.restore(restored.leases_left, now)
        try:
            self.witnesses.restore(restored.panel)
        except DECODE_ERRORS as error:
            restored.unreadable.append(UnreadableRecord(PANEL_KEY, str(error)))
        for image, value in restored.interference.items():
            try:
                self.interference.restore(image, value)
            except DECODE_ERRORS as error:
                key = INTERFERENCE_KEY + image
                restored.unreadable.append(UnreadableRecord(key, str(error)))
        yield from self._prepare_restored()
        return restored

    def _prepare_restored(self) -> SlicedWork[None]:
        for workflow in self.workflows.values():
            if not workflow.terminal:
                self._set_due(workflow)
            for task in workflow.tasks.values():
                if task.placed:
                    self.inherited.setdefault(task.box, []).append(task)
            yield
        for incarnation in self.inherited:
            self.inherited_incarnations.setdefault(box_id_of(incarnation), []).append(
                incarnation
            )

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name, or ``None`` if it does not exist."""
        parsed = parse_task_name(name)
        if parsed is None or parsed[0] not in self.workflows:
            return None
        return self.workflows[parsed[0]].tasks.get(parsed[1])

    def find_waiting(self, task: Task) -> WaitingStep | None:
        """Return the step of a task, if tasks of it wait for a box."""
        job = task.workflow.submission.job
        return self.waiting.get((job, task.occurrence, task.step))

    def is_held_back(self, task: str) -> bool:
        """Return whether the job of a task is held back."""
        workflow = self.workflows.get(job_of(task))
        return workflow is not None and workflow.held_back

    def service_of(self, workflow: Workflow) -> str:
        """Return the pool that runs a job's tasks, by the newest configuration."""
        queue = self.queues.get(workflow.submission.queue)
        return queue.service if queue else workflow.submission.service

    def free(self, task: Task) -> None:
        """Remove a task from its box and release its resources."""
        box = self.boxes.get(task.box)
        if box is not None:
            box.free(task)
        task.box = ""

    def enqueue_ready_steps(self, workflow: Workflow, now: float) -> None:
        """Enqueue the pending tasks of all steps whose dependencies are done. Until a
        first task has started, they have waited since the job was accepted."""
        if not workflow.begun:
            now = workflow.accepted_at
        for (occurrence, number), undone in workflow.unfinished.items():
            if undone and workflow.step_ready(occurrence, number):
                for task in workflow.step_tasks(occurrence, number):
                    if task.state == PENDING:
                        self.enqueue(task, now)

    def enqueue_successors(self, workflow: Workflow, done: Task, now: float) -> None:
        """Enqueue the tasks of the steps that the end of ``done`` makes ready."""
        if workflow.unfinished[(done.occurrence, done.step)]:
            return
        for number, step in enumerate(workflow.submission.steps):
            if done.step in step.depends_on:
                for task in workflow.step_tasks(done.occurrence, number):
                    if task.state == PENDING:
                        self.enqueue(task, now)

    def enqueue(self, task: Task, now: float) -> None:
        """Enqueue a task to wait for a box, if its job has not ended and its step is
        ready."""
        workflow = task.workflow
        if workflow.terminal or not workflow.step_ready(task.occurrence, task.step):
            return
        key = (workflow.submission.job, task.occurrence, task.step)
        entry = self.waiting.get(key)
        if entry is None:
            entry = self.waiting[key] = self._waiting_step(task)
            entry.waits_since = now
        if task.name not in entry.tasks:
            since = task.times.waits_since
            if since is None:
                task.times.enter("room", now)
            else:
                # It waited under a predecessor already.
                entry.waits_since = min(entry.waits_since, since)
            task.idle_since = task.idle_since or now
            entry.idle_since = min(entry.idle_since, task.idle_since)
        entry.tasks[task.name] = task
        entry.suspects = entry.suspects or task.suspicion > 0

    def _waiting_step(self, task: Task) -> WaitingStep:
        workflow = task.workflow
        entry = WaitingStep(
            workflow, task.occurrence, task.step, DEFAULT_PRIORITY, workflow.due_at
        )
        self._set_due(workflow)
        self._set_order(entry)
        return entry

    def apply_queues(self, queues: t.Iterable[Queue]) -> None:
        """Replace the configured queues. Their objectives and priorities also hold for
        jobs that are known already: a successor restores all jobs before it reads its
        first configuration. A queue that is removed stays as it was while it has jobs."""
        used = {
            workflow.submission.queue
            for workflow in self.workflows.values()
            if not workflow.terminal
        }
        kept = {name: queue for name, queue in self.queues.items() if name in used}
        self.queues = {**kept, **{queue.name: queue for queue in queues}}
        for workflow in self.workflows.values():
            if not workflow.terminal:
                self._set_due(workflow)
        for entry in self.waiting.values():
            self._set_order(entry)

    def _set_due(self, workflow: Workflow) -> None:
        """Set when a job is due, by the objective of its queue."""
        queue = self.queues.get(workflow.submission.queue)
        factor, target_ms = DEFAULT_OBJECTIVE_FACTOR, DEFAULT_TARGET_MS
        if queue is not None:
            factor, target_ms = queue.objective_factor, queue.target_ms
        whole_ms = max(workflow.critical_paths_ms(_estimate), default=0.0)
        objective_s = (whole_ms * factor + target_ms) / 1000.0
        workflow.due_at = workflow.accepted_at + objective_s

    def _set_order(self, entry: WaitingStep) -> None:
        """Set the priority of a waiting step, and when it has to start."""
        workflow = entry.workflow
        queue = self.queues.get(workflow.submission.queue)
        entry.priority = DEFAULT_PRIORITY if queue is None else queue.priority
        left_ms = workflow.critical_path_ms(entry.step, _estimate)
        entry.latest_start = workflow.due_at - left_ms / 1000.0
        objective_s = workflow.due_at - workflow.accepted_at
        entry.latest_useful_start = (
            entry.latest_start + (MAX_USEFUL_OBJECTIVE_FACTOR - 1.0) * objective_s
        )

    def remove_waiting(self, workflow: Workflow) -> None:
        """Remove all tasks of a job from the queue."""
        job = workflow.submission.job
        for key in [key for key in self.waiting if key[0] == job]:
            del self.waiting[key]


def _estimate(step: t.Any) -> float:
    return float(step.estimate_ms)
