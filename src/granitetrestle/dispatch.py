"""Placement passes: assign waiting tasks to boxes.

A pass visits the waiting steps in the order of :mod:`.waitingorder`. Ahead of it, the
long-running tasks that are due are placed, and the steps that have waited longest get a
few starts, so that no step starves."""

import heapq
import typing as t

from .advicecandidates import Candidates
from .advicecandidates import advice_candidates
from .advicerequests import AdviceRequests
from .boxes import BoxView
from .boxindex import Pool
from .boxsearch import BoxSearch
from .boxsearch import IndexedSearch
from .boxsearch import PlacementKey
from .boxsearch import PlainSearch
from .boxsearch import StepSearch
from .boxsearch import is_eligible
from .boxsearch import placement_key
from .boxsearch import prefer_data_rack
from .crashloops import SuspectPlacement
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import LogEvent
from .decisions import StartTask
from .duetasks import due_steps
from .headroom import Headroom
from .headroom import NoHeadroom
from .headroom import ReservedBoxes
from .headroom import waiting_short_cpu
from .interfaces import Advice
from .interfaces import AdviceUnavailable
from .mechanisms import Mechanism
from .packing import FirstFitPacker
from .packing import InterferenceAwarePacker
from .packing import Packer
from .packing import best_box
from .packing import fewest_best_effort
from .roomtakers import RoomTakers
from .roomtakers import StartRule
from .shardstate import ShardState
from .shardstate import WaitingStep
from .startlimits import StartLimits
from .waitingorder import ByArrival
from .waitingorder import ByUrgency
from .waitingorder import WaitingOrder
from .workflows import FULL_PACE
from .workflows import PENDING
from .workflows import STARTING
from .workflows import Step
from .workflows import Task
from .workflows import Workflow

__all__ = ["Dispatcher"]

# Best-effort tasks are placed less often than others: the figures that decide where
# they may run come only twice a second from each box.
BEST_EFFORT_INTERVAL_S: t.Final = 0.08
# Maximum time for which a best-effort job has no task running: its account is promised
# that work goes on while there is room, and it may use seconds of low load.
STARVATION_THRESHOLD_S: t.Final = 1.5
# A step that has started no task for this long gets one start ahead of all others, so
# that tasks that have room start within three seconds, polls and commands included.
AGING_THRESHOLD_S: t.Final = 2.0
# Such starts take up to this share of a pass, and one in any case. The number of steps
# tried is limited because each search examines all boxes.
MAX_AGED_STARTS_SHARE: t.Final = 0.25
MAX_AGED_TRIES: t.Final = 4


class Dispatcher:
    """Places the waiting tasks of a :class:`~.shardstate.ShardState`."""

    def __init__(self, state: ShardState, packer: Packer | None) -> None:
        self._state = state
        self.packer = packer or _default_packer(state)
        headroom = state.is_enabled(Mechanism.HEADROOM)
        self._headroom: Headroom = ReservedBoxes() if headroom else NoHeadroom()
        indexed = state.is_enabled(Mechanism.INDEX)
        self._search: BoxSearch = IndexedSearch() if indexed else PlainSearch()
        self._order = _waiting_order(state)
        self._room_takers = RoomTakers(state, self._headroom)
        self._advice = AdviceRequests(lambda: state.queues, self._advice_candidates)
        # By which rule the steps are visited now.
        self._rule: StartRule = "order"
        self._suspect_placement = SuspectPlacement(state.losses)
        self._best_effort_placed_at = 0.0
        # Limits of the current pass.
        self._limits = StartLimits()
        # Whether the last pass used up its starts before it had reached every step.
        self._cut_short = False
        # Requirements for which no box was found in the current pass.
        self._unplaceable: set[PlacementKey] = set()

    @property
    def headroom(self) -> Headroom:
        """The boxes that are reserved from long-running tasks."""
        return self._headroom

    @property
    def room_takers(self) -> RoomTakers:
        """The tasks that took room that long-running tasks wait for."""
        return self._room_takers

    @property
    def advice(self) -> AdviceRequests:
        """The steps that wait for advice."""
        return self._advice

    def record_submission(self, workflow: Workflow) -> None:
        """Record a job that was submitted, or was read from a predecessor's records."""
        self._order.record_submission(workflow)

    def place(self, now: float, wall_ms: int, limits: StartLimits) -> list[Decision]:
        """Start the waiting tasks for which a box is found.

        :param wall_ms: time of day in ms since 1970, for timed jobs.
        :param limits: limits of starts in this pass.
        """
        waiting = self._state.waiting
        self._advice.start_pass()
        if not waiting:
            return []
        self._state.index.refresh(now)
        if self._headroom.needs_update(now):
            pools = self._state.index.pools.items()
            boxes = {service: list(pool.boxes.values()) for service, pool in pools}
            self._headroom.update(boxes, waiting_short_cpu(self._state), now)
        best_effort_due = now - self._best_effort_placed_at >= BEST_EFFORT_INTERVAL_S
        if best_effort_due:
            self._best_effort_placed_at = now
        self._unplaceable.clear()
        self._limits = limits
        self._order.start_pass(now)
        self._room_takers.start_pass()
        order = sorted(
            waiting.items(), key=lambda item: self._order.sort_key(item[1], now)
        )
        self._rule = "due"
        effects = self._place_due(now, wall_ms, limits.total)
        self._rule = "head_start"
        effects += self._place_aged(now, wall_ms, limits.total - len(effects))
        self._rule = "order"
        self._cut_short = False
        for key, entry in order:
            left = limits.total - len(effects)
            if left <= 0:
                self._cut_short = True
                break
            if not best_effort_due and entry.spec.best_effort:
                continue
            # A box may have listed the last task of a step as done while it waited.
            due = entry.workflow.due_at_ms(entry.occurrence) <= wall_ms
            if entry.tasks and due:
                pool = self._state.index.pool(self._state.service_of(entry.workflow))
                if _has_boxes(pool, entry.spec):
                    effects += self._place_step(entry, pool, now, left)
            if not entry.tasks:
                del waiting[key]
        self._cut_short = self._cut_short or limits.path_exhausted
        self._room_takers.end_pass()
        return effects + self._advice.ask(now)

    def _place_due(self, now: float, wall_ms: int, max_starts: int) -> list[Decision]:
        """Start the long-running tasks that are due, ahead of others."""
        effects: list[Decision] = []
        for entry, tasks in due_steps(self._state.waiting.values(), now):
            left = max_starts - len(effects)
            if left <= 0:
                break
            pool = self._state.index.pool(self._state.service_of(entry.workflow))
            due = entry.workflow.due_at_ms(entry.occurrence) <= wall_ms
            if due and _has_boxes(pool, entry.spec):
                effects += self._place_step(entry, pool, now, left, tasks)
        return effects

    def _place_aged(self, now: float, wall_ms: int, max_starts: int) -> list[Decision]:
        """Start one task each of the steps that have waited longest, ahead of others.
        Without this, work that can still be in time keeps them waiting for ever where
        the number of commands, rather than room, limits the starts."""
        aged = (
            entry
            for entry in self._state.waiting.values()
            if entry.tasks
            and now - entry.waits_since > AGING_THRESHOLD_S
            and entry.workflow.due_at_ms(entry.occurrence) <= wall_ms
        )
        effects: list[Decision] = []
        # If the last pass reached every step, room is the limit, and the order decides.
        tries = MAX_AGED_TRIES if self._cut_short else 1
        limit = max(1, int(MAX_AGED_STARTS_SHARE * max_starts))
        for entry in heapq.nsmallest(tries, aged, key=_aging_rank):
            if len(effects) >= limit:
                break
            # Otherwise a step that fits nowhere would be tried first in every pass.
            entry.head_start_tried_at = now
            pool = self._state.index.pool(self._state.service_of(entry.workflow))
            if _has_boxes(pool, entry.spec):
                effects += self._place_step(entry, pool, now, 1)
        return effects

    def _place_step(
        self,
        entry: WaitingStep,
        pool: Pool,
        now: float,
        limit: int,
        due: list[Task] | None = None,
    ) -> list[Decision]:
        """Start tasks of a step for which a box is found; what is left of a step that
        needs advice waits for more of it.

        :param due: long-running tasks that are due, if only they are to be started.
        """
        entry.last_visited_at = now
        if not self._needs_advice(entry):
            return self._place_tasks(entry, pool, now, limit, due)
        entry.advice.expire(now)
        effects: list[Decision] = []
        if entry.advice.has_tickets:
            effects = self._place_tasks(entry, pool, now, limit, due)
        if entry.tasks:
            self._advice.add(entry)
        return effects

    def _place_tasks(
        self,
        entry: WaitingStep,
        pool: Pool,
        now: float,
        limit: int,
        due: list[Task] | None,
    ) -> list[Decision]:
        step = entry.spec
        if step.gang:
            return self._place_gang(entry, step, pool, due is not None, now)
        service = self._state.service_of(entry.workflow)
        key = placement_key(entry, service, self._needs_advice(entry))
        entry.found_waiting_at = (
            now if entry.found_waiting_at is None else entry.found_waiting_at
        )
        effects: list[Decision] = []
        tasks = list(entry.tasks.values()) if due is None else due
        if entry.suspects:
            entry.suspects = any(task.suspicion for task in entry.tasks.values())
            suspects = [task for task in tasks if task.suspicion]
            effects += self._place_suspects(
                entry, suspects[:limit], pool, due is not None, now
            )
            tasks = [task for task in tasks if not task.suspicion]
        if not tasks:
            return effects
        search = self._begin_search(entry, pool, due is not None, now)
        for task in tasks[: limit - len(effects)]:
            box = None
            if key not in self._unplaceable:
                box = search.best()
            if box is None and self._is_starved(entry, step, now):
                box = fewest_best_effort(self._with_ticket(entry, search.eligible()))
                if box is not None:
                    search.record_placement(box)
            if (
                box is None
                and step.long_running
                and pool.quarantined
                and not search.eligible()
            ):
                box = self._choose_trial_box(entry, task, pool, now)
                if box is not None:
                    inputs = {
                        "task": task.name,
                        "left_s": round(box.quarantined_until - now, 2),
                    }
                    effects.append(LogEvent("box_tried", box.incarnation, inputs))
            if box is None:
                # Long-running steps are searched each time, since the headroom records
                # how long there has been room for them.
                if not step.per_box and not step.long_running:
                    self._unplaceable.add(key)
                break
            effects.append(self._start_waiting(entry, task, box, now))
        self._state.index.refresh(now)
        return effects

    def _choose_trial_box(
        self, entry: WaitingStep, task: Task, pool: Pool, now: float
    ) -> BoxView | None:
        """Return a quarantined box for a long-running task that has room nowhere else.
        Without such a trial nothing shows that the box has recovered, and the task
        waits until the quarantine ends."""
        able = [
            box
            for box in self._with_ticket(entry, pool.quarantined.values())
            if box.accepts_trial(now) and is_eligible(entry.spec, task, box)
        ]
        ranking = self.packer.ranking(task, self._state.interference, now)
        return best_box(prefer_data_rack(entry.spec, able), ranking)

    def _start_waiting(
        self, entry: WaitingStep, task: Task, box: BoxView, now: float
    ) -> StartTask:
        del entry.tasks[task.name]
        entry.found_waiting_at = entry.waits_since = now
        task.ticket = entry.advice.ticket(box.incarnation)
        return self._start(task, box, now)

    def _place_suspects(
        self,
        entry: WaitingStep,
        suspects: list[Task],
        pool: Pool,
        due: bool,
        now: float,
    ) -> list[Decision]:
        """Start tasks under which boxes have crashed, each on the box where another
        crash is the strongest evidence. If placed like other tasks, they take down
        boxes together, and jobs that caused no crash are given up with them."""
        if not suspects:
            return []
        effects: list[Decision] = []
        placement = self._suspect_placement
        placement.start_pass(pool.boxes.values(), len(self._state.boxes), now)
        ranking = self.packer.ranking(suspects[0], self._state.interference, now)
        for task in filter(placement.is_due, suspects):
            search = self._begin_search(entry, pool, due, now)
            boxes = self._allowed_boxes(entry, search.eligible(), due, now)
            boxes = prefer_data_rack(entry.spec, boxes)
            bearable = [box for box in boxes if ranking.rank(box) is not None]
            if not bearable:
                break
            box = placement.choose(task, bearable)
            if box is None:
                continue
            placement.record_start(task, box)
            effects.append(self._start_waiting(entry, task, box, now))
            self._state.index.refresh(now)
        return effects

    def _begin_search(
        self, entry: WaitingStep, pool: Pool, due: bool, now: float
    ) -> StepSearch:
        task = next(iter(entry.tasks.values()))

        def narrow(boxes: list[BoxView]) -> list[BoxView]:
            return self._allowed_boxes(entry, boxes, due, now)

        ranking = self.packer.ranking(task, self._state.interference, now)
        return self._search.begin(entry, pool, ranking, narrow, self._can_send)

    def _can_send(self, box: BoxView) -> bool:
        return self._limits.allows(box.entry.hall)

    def _allowed_boxes(
        self,
        entry: WaitingStep,
        boxes: t.Collection[BoxView],
        due: bool,
        now: float,
    ) -> list[BoxView]:
        """Return those of ``boxes``, which all have room, that the step may use."""
        boxes = self._with_ticket(entry, boxes)
        if entry.spec.long_running:
            boxes = self._headroom.allowed_boxes(entry, boxes, due, now)
        return boxes

    def _needs_advice(self, entry: WaitingStep) -> bool:
        queue = self._state.queues.get(entry.workflow.submission.queue)
        return queue is not None and queue.advised

    def _with_ticket(
        self, entry: WaitingStep, boxes: t.Collection[BoxView]
    ) -> list[BoxView]:
        """Return the ``boxes`` that advice allows, or all if the step needs none."""
        if not self._needs_advice(entry):
            return list(boxes)
        return [box for box in boxes if entry.advice.has_ticket(box.incarnation)]

    def _is_starved(self, entry: WaitingStep, step: Step, now: float) -> bool:
        """Return whether a best-effort job has had no task running for too long."""
        if (
            not step.best_effort
            or entry.found_waiting_at is None
            or now - entry.found_waiting_at < STARVATION_THRESHOLD_S
        ):
            return False
        return not any(task.placed for task in entry.workflow.tasks.values())

    def _advice_candidates(self, entry: WaitingStep, now: float) -> Candidates:
        """Return the boxes that the advisor may be asked about for a step."""
        pool = self._state.index.pool(self._state.service_of(entry.workflow))
        search = self._begin_search(entry, pool, False, now)
        task = next(iter(entry.tasks.values()))
        ranking = self.packer.ranking(task, self._state.interference, now)
        return advice_candidates(
            task, search.eligible(), pool, ranking, self._headroom, now
        )

    def apply_advice(
        self, asked: AskAdvice, advice: Advice | AdviceUnavailable, now: float
    ) -> list[Decision]:
        """Apply the answer to a question which boxes may run a step."""
        entry = self._state.waiting.get((asked.job, asked.occurrence, asked.step))
        return self._advice.apply(entry, asked, advice, now)

    def _place_gang(
        self, entry: WaitingStep, step: Step, pool: Pool, due: bool, now: float
    ) -> list[Decision]:
        """Place all members of a gang or none; they share one run number."""
        members = entry.workflow.step_tasks(entry.occurrence, entry.step)
        if any(task.state != PENDING for task in members):
            return []
        placement = self._suspect_placement
        suspected = members[0].suspicion > 0
        if suspected:
            placement.start_pass(pool.boxes.values(), len(self._state.boxes), now)
            if not placement.is_due(members[0]):
                return []
        search = self._begin_search(entry, pool, due, now)
        chosen: list[tuple[Task, BoxView]] = []
        for task in members:
            box = search.best()
            if box is None:
                break
            box.place(task)
            chosen.append((task, box))
        for task, box in chosen:
            box.free(task)
        if len(chosen) < len(members):
            return []
        run = max(task.run for task in members)
        checkpoint = max(task.checkpoint for task in members)
        entry.tasks.clear()
        for task, box in chosen:
            task.run, task.checkpoint = run, checkpoint
            task.ticket = entry.advice.ticket(box.incarnation)
        starts: list[Decision] = [self._start(task, box, now) for task, box in chosen]
        if suspected:
            for box in {box.incarnation: box for _, box in chosen}.values():
                placement.record_start(members[0], box)
        # Without this the room of these boxes counts as free for the next step.
        self._state.index.refresh(now)
        return starts

    def _start(self, task: Task, box: BoxView, now: float) -> StartTask:
        task.run += 1
        task.state = STARTING
        task.times.enter("order", now)
        task.box = box.incarnation
        task.started_at = now
        task.sent = task.inherited = task.proven = False
        task.running_since = 0.0
        task.confirmed_at = 0.0
        task.stop_sent_at = 0.0
        task.set_pace(FULL_PACE, now)
        box.place(task)
        self._room_takers.record_start(task, box, self._rule)
        self._limits.record_start(box.entry.hall)
        task.workflow.begun = True
        self._order.record_start(task)
        self._state.mark_task_changed(task)
        spec = task.workflow.submission.spec
        return StartTask(
            box.incarnation,
            task.name,
            task.run,
            spec,
            task.checkpoint,
            task.ticket,
            task.spec.best_effort,
        )


def _aging_rank(entry: WaitingStep) -> tuple[float, int]:
    return (max(entry.waits_since, entry.head_start_tried_at), entry.priority)


def _has_boxes(pool: Pool, step: Step) -> bool:
    return bool(pool.boxes or (step.long_running and pool.quarantined))


def _default_packer(state: ShardState) -> Packer:
    if not state.is_enabled(Mechanism.PACKING):
        return FirstFitPacker()
    return InterferenceAwarePacker(grouping=state.is_enabled(Mechanism.GROUPING))


def _waiting_order(state: ShardState) -> WaitingOrder:
    if not state.is_enabled(Mechanism.URGENCY):
        return ByArrival()
    return ByUrgency(
        too_late_last=state.is_enabled(Mechanism.TOO_LATE_LAST),
        by_value=state.is_enabled(Mechanism.VALUE),
        size_shares=state.is_enabled(Mechanism.SIZE_SHARES),
    )
