"""Passes over the tasks that wait: which goes to a box now, and which, and which task
is moved because it is kept slow where it is."""

import heapq
import typing as t

from .boxes import BoxView
from .boxindex import Pool
from .boxsearch import BoxSearch
from .boxsearch import IndexedSearch
from .boxsearch import PlainSearch
from .boxsearch import StepSearch
from .boxsearch import preferred
from .boxsearch import suits
from .crashloops import Trials
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import LogEvent
from .decisions import StartTask
from .headroom import Headroom
from .headroom import NoHeadroom
from .headroom import ReservedBoxes
from .interfaces import Advice
from .interfaces import AdviceUnavailable
from .mechanisms import Mechanism
from .pacing import slowed_tasks
from .packing import FirstFitPacker
from .packing import InterferenceAwarePacker
from .packing import Packer
from .packing import best_box
from .packing import fewest_best_effort
from .packing import move_target
from .progress import Progress
from .shardstate import ShardState
from .shardstate import WaitingStep
from .waitingorder import ByArrival
from .waitingorder import ByUrgency
from .waitingorder import WaitingOrder
from .workflows import FULL_PACE
from .workflows import PENDING
from .workflows import STARTING
from .workflows import Step
from .workflows import Task
from .workflows import Workflow

__all__ = ["UNLIMITED_STARTS", "Dispatcher"]

# More tasks than ever wait.
UNLIMITED_STARTS: t.Final = 1_000_000_000

# Asking takes a time for each box named, and calls wait for each other: the roomiest
# boxes are named, and a step without an answer waits this long to ask again.
MAX_ADVICE_BOXES: t.Final = 24
ADVICE_RETRY_INTERVAL_S: t.Final = 1.5
# Share of an advice's validity in which starts are made; the rest is for their way.
ADVICE_VALIDITY_FACTOR: t.Final = 0.8
# Figures that decide where what fills may go come twice a second from each box.
BEST_EFFORT_INTERVAL_S: t.Final = 0.08
# A job that fills is never left with nothing running for longer than this: its account
# is promised that work goes on while there is room, and it may use quiet seconds.
STARVATION_THRESHOLD_S: t.Final = 1.5
# A step that has waited for so long, or has not started a task for so long, gets one start
# ahead of all others: what has room begins within three seconds, looks and orders included.
AGING_THRESHOLD_S: t.Final = 2.0
# Such starts take at most this part of a pass, and at least one; so many steps are tried,
# since each search looks at all boxes.
MAX_AGED_STARTS_SHARE: t.Final = 0.25
MAX_AGED_TRIES: t.Final = 4
# One task at a time is moved, so that the next choice sees where it went.
MOVE_INTERVAL_S: t.Final = 0.05
# When no better box was found for a slowed task, boxes are sought for tasks of its image
# that need as much again after this, when the figures of many have changed; and at most
# for so many in a pass. Each search looks at all boxes.
MOVE_RETRY_INTERVAL_S: t.Final = 0.3
MAX_MOVE_SEARCHES: t.Final = 8

PlacementKey: t.TypeAlias = tuple[t.Any, ...]


class Dispatcher:
    """Places what waits in a :class:`~.shardstate.ShardState`."""

    def __init__(
        self, state: ShardState, progress: Progress, packer: Packer | None, now: float
    ) -> None:
        self._state = state
        self._progress = progress
        self.packer = packer or _default_packer(state)
        headroom = state.on(Mechanism.HEADROOM)
        self._headroom: Headroom = ReservedBoxes() if headroom else NoHeadroom()
        indexed = state.on(Mechanism.INDEX)
        self._search: BoxSearch = IndexedSearch() if indexed else PlainSearch()
        self._order = _waiting_order(state)
        self._trials = Trials()
        self._move_checked_at = now
        # Image -> the least processor time for which no better box was found, and when.
        self._failed_searches: dict[str, tuple[int, float]] = {}
        self._best_effort_placed_at = 0.0
        # Whether the last pass ended before it had come to all that waits.
        self._cut_short = False
        # Kinds of task that found no box in the pass under way.
        self._unplaceable: set[PlacementKey] = set()

    @property
    def headroom(self) -> Headroom:
        """Which boxes lasting work leaves alone."""
        return self._headroom

    def record_submission(self, workflow: Workflow) -> None:
        """Take note of a job that came, or that a predecessor left."""
        self._order.record_submission(workflow)

    def place(
        self, now: float, wall_ms: int, max_starts: int = UNLIMITED_STARTS
    ) -> list[Decision]:
        """Start what has a box.

        :param wall_ms: time of day in ms since 1970, for timed jobs.
        :param most_starts: no more tasks than this are started now; a gang may exceed it.
        """
        waiting = self._state.waiting
        if not waiting:
            return []
        self._state.index.refresh(now)
        if self._headroom.needs_update(now):
            pools = self._state.index.pools.items()
            boxes = {service: list(pool.boxes.values()) for service, pool in pools}
            self._headroom.update(boxes, self._waiting_short_cpu(), now)
        best_effort_due = now - self._best_effort_placed_at >= BEST_EFFORT_INTERVAL_S
        if best_effort_due:
            self._best_effort_placed_at = now
        self._unplaceable.clear()
        self._order.start_pass(now)
        order = sorted(
            waiting.items(), key=lambda item: self._order.sort_key(item[1], now)
        )
        effects = self._place_aged(now, wall_ms, max_starts)
        self._cut_short = False
        for key, entry in order:
            left = max_starts - len(effects)
            if left <= 0:
                self._cut_short = True
                break
            if not best_effort_due and entry.spec.best_effort:
                continue
            # The last task of a step may have been listed as done while it waited.
            due = entry.workflow.due_at_ms(entry.occurrence) <= wall_ms
            if entry.tasks and due:
                pool = self._state.index.pool(self._state.service_of(entry.workflow))
                if _has_boxes(pool, entry.spec):
                    effects += self._place_step(entry, pool, now, left)
            if not entry.tasks:
                del waiting[key]
        return effects

    def _place_aged(self, now: float, wall_ms: int, max_starts: int) -> list[Decision]:
        """Start one task each of the steps that have waited longest, whatever comes before
        them: where orders are what is short, work in time would keep them waiting for ever."""
        aged = (
            entry
            for entry in self._state.waiting.values()
            if entry.tasks
            and now - entry.waits_since > AGING_THRESHOLD_S
            and entry.workflow.due_at_ms(entry.occurrence) <= wall_ms
        )
        effects: list[Decision] = []
        # Where a pass comes to all, room is what is short, and the order shares it out.
        tries = MAX_AGED_TRIES if self._cut_short else 1
        limit = max(1, int(MAX_AGED_STARTS_SHARE * max_starts))
        for entry in heapq.nsmallest(tries, aged, key=_aging_rank):
            if len(effects) >= limit:
                break
            # One that has room nowhere keeps no other from its turn.
            entry.tried_at = now
            pool = self._state.index.pool(self._state.service_of(entry.workflow))
            if _has_boxes(pool, entry.spec):
                effects += self._place_step(entry, pool, now, 1)
        return effects

    def _waiting_short_cpu(self) -> dict[str, int]:
        """Return service -> thousandths of a core that waiting short work reserves."""
        short: dict[str, int] = {}
        for entry in self._state.waiting.values():
            step = entry.spec
            if not step.long_running and not step.best_effort:
                service = self._state.service_of(entry.workflow)
                need = len(entry.tasks) * step.cpu
                short[service] = short.get(service, 0) + need
        return short

    def _place_step(
        self, entry: WaitingStep, pool: Pool, now: float, limit: int
    ) -> list[Decision]:
        step = entry.spec
        entry.reached_at = now
        if self._needs_advice(entry) and now > entry.advice_until:
            return self._ask_advice(entry, pool, now)
        if step.gang:
            return self._place_gang(entry, step, pool, now)
        placement_key = (
            step.image,
            step.cpu,
            step.memory_mb,
            step.required_labels,
            step.best_effort,
        )
        entry.since = now if entry.since is None else entry.since
        effects: list[Decision] = []
        tasks = list(entry.tasks.values())
        if entry.suspects:
            suspects = [task for task in tasks if task.suspicion]
            entry.suspects = bool(suspects)
            effects += self._place_suspects(entry, suspects[:limit], pool, now)
            tasks = [task for task in tasks if not task.suspicion]
        if not tasks:
            return effects
        search = self._begin_search(entry, pool, now)
        for task in tasks[: limit - len(effects)]:
            box = None
            if placement_key not in self._unplaceable:
                box = search.best()
            if box is None and self._is_starved(entry, step, now):
                box = fewest_best_effort(self._with_ticket(entry, search.able()))
                if box is not None:
                    search.taken(box)
            if (
                box is None
                and step.long_running
                and pool.quarantined
                and not search.able()
            ):
                box = self._choose_trial_box(entry, task, pool, now)
                if box is not None:
                    inputs = {
                        "task": task.name,
                        "left_s": round(box.quarantined_until - now, 2),
                    }
                    effects.append(LogEvent("box_tried", box.incarnation, inputs))
            if box is None:
                # What lasts must be looked at each time: how long there has been room
                # for it counts.
                if not step.per_box and not step.long_running:
                    self._unplaceable.add(placement_key)
                break
            effects.append(self._start_waiting(entry, task, box, now))
        self._state.index.refresh(now)
        return effects

    def _choose_trial_box(
        self, entry: WaitingStep, task: Task, pool: Pool, now: float
    ) -> BoxView | None:
        """Return a box that is put aside, to be tried with a task that lasts and has
        room nowhere else: else nothing would tell that the box is well again, and what
        lasts would wait for the end of the pause."""
        able = [
            box
            for box in self._with_ticket(entry, pool.quarantined.values())
            if box.takes_trial(now) and suits(entry.spec, task, box)
        ]
        ranking = self.packer.ranking(task, self._state.interference, now)
        return best_box(preferred(entry.spec, able), ranking)

    def _start_waiting(
        self, entry: WaitingStep, task: Task, box: BoxView, now: float
    ) -> StartTask:
        del entry.tasks[task.name]
        entry.since = entry.waits_since = now
        task.ticket = entry.tickets.get(box.incarnation, "")
        return self._start(task, box, now)

    def _place_suspects(
        self, entry: WaitingStep, suspects: list[Task], pool: Pool, now: float
    ) -> list[Decision]:
        """Start tasks under which boxes have crashed, each where a crash would tell most.
        Placed as others are, they take down boxes together, so that jobs that did nothing
        wrong are given up with them."""
        if not suspects:
            return []
        effects: list[Decision] = []
        trials = self._trials
        trials.start_pass(pool.boxes.values(), now)
        ranking = self.packer.ranking(suspects[0], self._state.interference, now)
        for task in suspects:
            search = self._begin_search(entry, pool, now)
            boxes = self._allowed_boxes(entry, search.able(), now)
            boxes = preferred(entry.spec, boxes)
            bearable = [box for box in boxes if ranking.rank(box) is not None]
            if not bearable:
                break
            box = min(bearable, key=trials.rank)
            trials.record_start(box)
            effects.append(self._start_waiting(entry, task, box, now))
            self._state.index.refresh(now)
        return effects

    def _begin_search(self, entry: WaitingStep, pool: Pool, now: float) -> StepSearch:
        task = next(iter(entry.tasks.values()))

        def narrow(boxes: list[BoxView]) -> list[BoxView]:
            return self._allowed_boxes(entry, boxes, now)

        ranking = self.packer.ranking(task, self._state.interference, now)
        return self._search.begin(entry, pool, ranking, narrow)

    def _allowed_boxes(
        self, entry: WaitingStep, boxes: t.Collection[BoxView], now: float
    ) -> list[BoxView]:
        """Leave out boxes that have room and may not be taken."""
        boxes = self._with_ticket(entry, boxes)
        if entry.spec.long_running:
            boxes = self._headroom.allowed_boxes(entry, boxes, now)
        return boxes

    def _needs_advice(self, entry: WaitingStep) -> bool:
        queue = self._state.queues.get(entry.workflow.submission.queue)
        return queue is not None and queue.advised

    def _with_ticket(
        self, entry: WaitingStep, boxes: t.Collection[BoxView]
    ) -> list[BoxView]:
        """Return those of ``boxes`` that may run a step, where that needs advice."""
        if not self._needs_advice(entry):
            return list(boxes)
        return [box for box in boxes if box.incarnation in entry.tickets]

    def _is_starved(self, entry: WaitingStep, step: Step, now: float) -> bool:
        """Say whether a job that fills has had nothing running for too long."""
        if (
            not step.best_effort
            or entry.since is None
            or now - entry.since < STARVATION_THRESHOLD_S
        ):
            return False
        return not any(task.placed for task in entry.workflow.tasks.values())

    def _ask_advice(self, entry: WaitingStep, pool: Pool, now: float) -> list[Decision]:
        if now - entry.asked_at < ADVICE_RETRY_INTERVAL_S:
            return []
        entry.asked_at = now
        candidates = list(pool.boxes.values())
        if entry.spec.long_running:
            candidates += pool.quarantined.values()
        # Which boxes are good for a step does not change. Where none of the roomiest was,
        # as among idle boxes, the same ones were asked about for ever.
        boxes = [box for box in candidates if box.incarnation not in entry.unfit]
        if not boxes:
            entry.unfit.clear()
            boxes = candidates
        by_free_cpu = sorted(boxes, key=lambda box: (-box.cpu_free, box.incarnation))
        incarnations = tuple(box.incarnation for box in by_free_cpu[:MAX_ADVICE_BOXES])
        job = entry.workflow.submission.job
        return [AskAdvice(job, entry.occurrence, entry.step, incarnations)]

    def apply_advice(
        self, asked: AskAdvice, advice: Advice | AdviceUnavailable, now: float
    ) -> list[Decision]:
        """Apply what came of asking which boxes may run a step."""
        name = f"{asked.job}.{asked.occurrence}.{asked.step}"
        if isinstance(advice, AdviceUnavailable):
            return [LogEvent("advice_failed", name, {"reason": advice.reason})]
        entry = self._state.waiting.get((asked.job, asked.occurrence, asked.step))
        if entry is not None:
            entry.tickets = advice.tickets
            entry.unfit.update(asked.incarnations)
            entry.unfit.difference_update(advice.tickets)
            # A start takes a while to arrive.
            valid_s = advice.valid_s * ADVICE_VALIDITY_FACTOR if advice.tickets else 0.0
            entry.advice_until = now + valid_s
        inputs = {"asked": len(asked.incarnations), "good": len(advice.tickets)}
        return [LogEvent("advised", name, inputs)]

    def _place_gang(
        self, entry: WaitingStep, step: Step, pool: Pool, now: float
    ) -> list[Decision]:
        """Place all members or none; they share one run number."""
        members = entry.workflow.step_tasks(entry.occurrence, entry.step)
        if any(task.state != PENDING for task in members):
            return []
        search = self._begin_search(entry, pool, now)
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
            task.ticket = entry.tickets.get(box.incarnation, "")
        starts: list[Decision] = [self._start(task, box, now) for task, box in chosen]
        # Without it the room of these boxes counted as free for what came next.
        self._state.index.refresh(now)
        return starts

    def _start(self, task: Task, box: BoxView, now: float) -> StartTask:
        task.run += 1
        task.state = STARTING
        task.times.enter("order", now)
        task.box = box.incarnation
        task.started_at = now
        task.sent = False
        task.running_since = 0.0
        task.confirmed_at = 0.0
        task.stop_sent_at = 0.0
        task.set_pace(FULL_PACE, now)
        box.place(task)
        task.workflow.begun = True
        self._order.record_start(task)
        self._state.changed(task)
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

    def move_slowed(self, now: float) -> list[Decision]:
        """Move a task that is kept slow to where it disturbs nobody."""
        if now - self._move_checked_at < MOVE_INTERVAL_S or not self._state.on(
            Mechanism.MOVES
        ):
            return []
        self._move_checked_at = now
        self._state.index.refresh(now)
        boxes = (
            box
            for pool in self._state.index.pools.values()
            for box in pool.boxes.values()
        )
        tries = 0
        for task in slowed_tasks(boxes, now):
            if not self._should_search(task, now):
                continue
            tries += 1
            box = self._better_box(task, now)
            if box is not None:
                inputs = {"from": task.box, "to": box.incarnation, "pace": task.pace}
                return [
                    LogEvent("moved_for_targets", task.name, inputs),
                    *self._progress.stop(task, now),
                ]
            self._failed_searches[task.spec.image] = (task.spec.cpu, now)
            if tries >= MAX_MOVE_SEARCHES:
                break
        return []

    def _should_search(self, task: Task, now: float) -> bool:
        """Say whether a better box may be found for a slowed task."""
        least, at = self._failed_searches.get(task.spec.image, (0, -1e9))
        return now - at >= MOVE_RETRY_INTERVAL_S or task.spec.cpu < least

    def _better_box(self, task: Task, now: float) -> BoxView | None:
        pool = self._state.index.pool(self._state.service_of(task.workflow))
        able = (box for box in pool.boxes.values() if suits(task.spec, task, box))
        return move_target(task, able, self._state.interference, now)


def _aging_rank(entry: WaitingStep) -> tuple[float, int]:
    return (max(entry.waits_since, entry.tried_at), entry.priority)


def _has_boxes(pool: Pool, step: Step) -> bool:
    return bool(pool.boxes or (step.long_running and pool.quarantined))


def _default_packer(state: ShardState) -> Packer:
    if not state.on(Mechanism.PACKING):
        return FirstFitPacker()
    return InterferenceAwarePacker(grouping=state.on(Mechanism.GROUPING))


def _waiting_order(state: ShardState) -> WaitingOrder:
    if not state.on(Mechanism.URGENCY):
        return ByArrival()
    return ByUrgency(
        too_late_last=state.on(Mechanism.TOO_LATE_LAST),
        by_value=state.on(Mechanism.VALUE),
        size_shares=state.on(Mechanism.SIZE_SHARES),
    )
