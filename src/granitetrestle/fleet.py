"""Tracks the boxes of a shard: applies box lists and polls, renews leases, and
determines when a run on a box that does not answer must have ended."""

import math
import typing as t

from .boxes import UNLISTED_GRACE_S
from .boxes import BoxView
from .boxleases import BoxLeases
from .boxlogevents import contradiction_events
from .boxlogevents import silence_inputs
from .boxlogevents import task_counts
from .crashloops import is_to_be_recorded
from .decisions import AcknowledgeEnds
from .decisions import Decision
from .decisions import LogEvent
from .decisions import PaceTask
from .decisions import StartPolling
from .decisions import StepDown
from .decisions import StopPolling
from .decisions import StopTask
from .incarnations import box_id_of
from .interfaces import BoxEntry
from .interfaces import BoxNoAnswer
from .interfaces import BoxReplaced
from .interfaces import CommandRejected
from .interfaces import PollOutcome
from .interfaces import PollResult
from .losttasks import LostTasks
from .mechanisms import Mechanism
from .pacing import observe
from .pacing import pace_changes
from .progress import Progress
from .shardstate import ShardState
from .slices import SlicedWork
from .slices import run_to_completion
from .workflows import RUNNING
from .workflows import STARTING
from .workflows import STATE_NAMES
from .workflows import STOPPING
from .workflows import Task

__all__ = ["Fleet", "PollPlan"]

# How long a poll waits for a run to end; shorter where paces may have to change.
POLL_WAIT_MS: t.Final = 1500
PACED_POLL_WAIT_MS: t.Final = 500
# When a stop is repeated. By then a box lists the end of a run whose stop it accepted;
# a run that it lists neither as running nor as ended was never there.
STOP_RETRY_S: t.Final = 0.6
UNHEALTHY_S: t.Final = 1.0
# How long a box is closed that runs a task of a job that is held back. Another leader
# serves the job before that.
HELD_BACK_CLOSED_S: t.Final = 60.0


class PollPlan(t.NamedTuple):
    """Content of the next poll of a box.

    :param acknowledged_end: number up to which the box may drop its ends.
    :param lease_ends_ms: new end of the lease on the box's clock; ``None``: not renewed.
    :param wait_ms: how long the box may wait for a run to end before it answers.
    """

    address: str
    acknowledged_end: int
    lease_ends_ms: int | None
    wait_ms: int


class Fleet:
    """Keeps the state of boxes, leases and placed tasks consistent with polls."""

    def __init__(self, state: ShardState, progress: Progress, now: float) -> None:
        self._state = state
        self._progress = progress
        self._leases = BoxLeases(state, now)
        self._lost = LostTasks(state, progress, now)
        # Incarnations that have ended for certain but are still listed.
        self._ended: set[str] = set()

    @property
    def leases(self) -> BoxLeases:
        """Leases that this leader and earlier ones granted."""
        return self._leases

    def update_boxes(
        self,
        entries: t.Mapping[str, BoxEntry],
        now: float,
        unreadable: t.Collection[str] = (),
    ) -> list[Decision]:
        """Apply the newest complete list of boxes."""
        return run_to_completion(self.update_boxes_in_slices(entries, now, unreadable))

    def update_boxes_in_slices(
        self,
        entries: t.Mapping[str, BoxEntry],
        now: float,
        unreadable: t.Collection[str] = (),
    ) -> SlicedWork[list[Decision]]:
        """Apply the newest complete list of boxes, one box at each step.

        :param unreadable: ids of boxes whose entries are there, but can't be read.
        """
        effects: list[Decision] = []
        by_address = {
            entry.address: incarnation for incarnation, entry in entries.items()
        }
        by_id = {
            entry.box_id: incarnation
            for incarnation, entry in entries.items()
            if entry.box_id
        }
        positions = {
            incarnation: number for number, incarnation in enumerate(self._state.boxes)
        }
        for incarnation, box in list(self._state.boxes.items()):
            box.listed = incarnation in entries
            if box.listed or box.entry.box_id in unreadable:
                box.unlisted_since = None
            elif box.unlisted_since is None:
                box.unlisted_since = now
            if box.listed:
                continue
            successor = by_id.get(box.entry.box_id) or by_address.get(box.entry.address)
            # A stale entry of an ended incarnation does not replace a later one: the
            # tasks of the later one would be considered lost, and run a second time.
            if successor is None or successor in self._ended:
                continue
            if positions.get(successor, len(positions)) > positions[incarnation]:
                effects += self.mark_ended(incarnation, f"replaced by {successor}", now)
        self._ended &= entries.keys()
        for incarnation, entry in entries.items():
            # Otherwise an ended incarnation whose entry remains would be added, polled
            # and removed again with each list.
            if incarnation not in self._ended:
                effects += self._update(incarnation, entry, now)
            yield
        return effects + self._drain_unlisted(now)

    def _update(self, incarnation: str, entry: BoxEntry, now: float) -> list[Decision]:
        box = self._state.boxes.get(incarnation)
        if box is None:
            ends = self._leases.inherited.end(incarnation)
            box = BoxView(entry, ends, self._state.index.mark_changed)
            box.evacuated = entry.hall in self._state.evacuated_halls
            self._state.boxes[incarnation] = box
            self._place_inherited(box)
            return [StartPolling(incarnation, entry.address)]
        box.evacuated = entry.hall in self._state.evacuated_halls
        if entry.draining and not box.entry.draining:
            box.update_entry(entry)
            inputs = {
                "leaving_in_s": entry.leaving_in_s,
                **task_counts(box.tasks.values()),
            }
            return [
                LogEvent("box_draining", incarnation, inputs),
                *self._drain(box, now),
            ]
        box.update_entry(entry)
        return []

    def _drain_unlisted(self, now: float) -> list[Decision]:
        """Stop long-running tasks on boxes that leave without saying so: their entry is
        gone, and they go on for a while. Otherwise the tasks run until the box is gone,
        and wait for its lease then."""
        effects: list[Decision] = []
        for box in self._state.boxes.values():
            since = box.unlisted_since
            if since is None or now - since <= UNLISTED_GRACE_S or not box.tasks:
                continue
            if box.adopted and box.silent_since is None:
                for task in list(box.tasks.values()):
                    if task.state == RUNNING and _may_leave(task):
                        effects += self._progress.stop(task, now)
        return effects

    def _place_inherited(self, box: BoxView) -> None:
        """Place the tasks that a predecessor had placed there. One that recorded box
        ids alone may have meant an earlier incarnation; the first poll shows."""
        for name in {box.incarnation, box.entry.box_id}:
            for task in self._state.inherited.pop(name, ()):
                if task.placed and task.box == name:
                    task.box = box.incarnation
                    box.place(task)
                    if name != box.incarnation:
                        self._state.mark_task_changed(task)

    def _reclaim_earlier(self, box: BoxView, now: float) -> list[Decision]:
        """Requeue tasks that a predecessor had placed on other incarnations of a box which
        now answers: those ended before it started, and as witnesses accept nothing."""
        effects: list[Decision] = []
        for incarnation in self._state.inherited_incarnations.get(box.entry.box_id, ()):
            if incarnation != box.incarnation and incarnation in self._state.inherited:
                effects += self._reclaim_unlisted(incarnation, now)
        for witness in self._state.witnesses.inherited.members:
            if box_id_of(witness) == box.entry.box_id:
                effects += self._leases.record_ended(witness, now)
        return effects

    def _drain(self, box: BoxView, now: float) -> list[Decision]:
        """Stop the tasks on a draining box that cannot end there in time."""
        effects: list[Decision] = []
        for task in list(box.tasks.values()):
            if task.state != RUNNING:
                continue
            if task.spec.long_running or self._must_move(box, task, now):
                effects += self._progress.stop(task, now)
        return effects

    def _must_move(self, box: BoxView, task: Task, now: float) -> bool:
        leaving = box.entry.leaving_in_s
        if leaving is None or not task.spec.checkpointing:
            return False
        left_s = task.spec.estimate_ms / 1000.0 - (now - task.started_at)
        return left_s > leaving

    def mark_ended(self, incarnation: str, reason: str, now: float) -> list[Decision]:
        """Record that an incarnation has ended for certain, and requeue its tasks."""
        self._ended.add(incarnation)
        effects = self._leases.record_ended(incarnation, now)
        return effects + self._remove_box(incarnation, reason, now)

    def _remove_box(self, incarnation: str, reason: str, now: float) -> list[Decision]:
        """Remove a box on which nothing runs any more, and requeue its tasks."""
        box = self._state.boxes.pop(incarnation, None)
        if box is None:
            return []
        self._state.index.remove(box)
        self._leases.forget(incarnation)
        inputs = {
            "why": reason,
            "tasks_lost": len(box.tasks),
            **silence_inputs(box, now),
        }
        event = LogEvent("box_over", incarnation, inputs)
        return [StopPolling(incarnation), event, *self._lost.requeue(box, now)]

    def plan_poll(
        self, incarnation: str, now: float, proof_age_s: float | None
    ) -> PollPlan | None:
        """Return the content of the next poll, or ``None`` if the box was removed.

        :param proof_age_s: as :meth:`.LeaderLease.renewal_age_s`.
        """
        box = self._state.boxes.get(incarnation)
        if box is None:
            return None
        undurable = box.applied_end > box.durable_end
        wait = (
            PACED_POLL_WAIT_MS if box.serving and box.best_effort_cpu else POLL_WAIT_MS
        )
        if undurable or not box.adopted:
            wait = 0
        until = self._leases.renew_by_poll(box, now, proof_age_s)
        box.acknowledged_end = box.durable_end
        return PollPlan(box.entry.address, box.durable_end, until, wait)

    def handle_poll_outcome(
        self, incarnation: str, sent: float, now: float, outcome: PollOutcome
    ) -> list[Decision]:
        """Apply the outcome of a poll that was sent at ``sent``."""
        box = self._state.boxes.get(incarnation)
        if box is None:
            return []
        left = not isinstance(outcome, BoxNoAnswer) or outcome.sent
        self._leases.end_poll(box, left)
        if isinstance(outcome, BoxReplaced):
            return self.mark_ended(incarnation, "another incarnation answered", now)
        if isinstance(outcome, PollResult):
            return self._apply_poll(box, outcome, sent, now)
        if isinstance(outcome, CommandRejected):
            return self._handle_rejected_poll(box, outcome, now)
        if box.silent_since is None:
            # After a timeout it may have been lost at any time since its last answer.
            box.lost_at = box.clock_at if outcome.timed_out else now
        return self._mark_silent(box, outcome.reason, now)

    def _handle_rejected_poll(
        self, box: BoxView, outcome: CommandRejected, now: float
    ) -> list[Decision]:
        if outcome.reason == "fence":
            return [StepDown(box.incarnation)]
        return self._mark_silent(box, outcome.reason, now)

    def _mark_silent(self, box: BoxView, reason: str, now: float) -> list[Decision]:
        if box.silent_since is not None:
            return []
        box.silent_since = now
        self._lost.record_silence(box, now)
        inputs = {
            "reason": reason,
            **task_counts(box.tasks.values()),
            **silence_inputs(box, now),
        }
        return [LogEvent("box_silent", box.incarnation, inputs)]

    def _apply_poll(
        self, box: BoxView, poll: PollResult, sent: float, now: float
    ) -> list[Decision]:
        effects: list[Decision] = [
            *self._state.withdrawn_leases.resume(box.incarnation)
        ]
        box.answered_unlisted = not box.listed
        if box.silent_since is not None:
            silent_s = round(now - box.silent_since, 2)
            effects.append(
                LogEvent("box_answers", box.incarnation, {"silent_s": silent_s})
            )
            box.silent_since = None
            box.lost_at = 0.0
            self._lost.record_answer(box)
        effects += contradiction_events(box, poll)
        box.clock_ms, box.clock_at = poll.clock_ms, now
        for row in poll.ended:
            if row.number > box.applied_end:
                effects += self._progress.handle_run_end(box.incarnation, row, now)
        newest_end = max((row.number for row in poll.ended), default=0)
        if newest_end > box.applied_end:
            box.applied_end = newest_end
            # The box keeps the ends of jobs that are held back, for a later leader.
            kept = (r.number for r in poll.ended if self._state.is_held_back(r.task))
            acknowledged = min(newest_end, min(kept, default=math.inf) - 1)
            effects.append(AcknowledgeEnds(box.incarnation, int(acknowledged)))
        box.running = {row.task: row for row in poll.running}
        placed = len(box.tasks)
        effects += self._match_running(box, sent, now)
        if poll.more_ends:
            # A run in neither list may have ended. A successor would conclude that it
            # never started, and start it again.
            return effects + self._protect_serving(box, now)
        effects += self._match_absent(box, sent, now)
        if not box.adopted:
            box.adopted = True
            # It may have been taken for lost, as its entry was gone and its lease over.
            self._lost.record_answer(box)
            # From now on the box rejects a predecessor's renewals, and no lease that it
            # holds is longer. Its tasks need not wait for further renewals of that one.
            lease_ends = self._leases.inherited.end_at_adoption(now)
            box.lease_ends = min(box.lease_ends, lease_ends)
            inputs = {
                "running": len(poll.running),
                "ended": len(poll.ended),
                "not_there": placed - len(box.tasks),
            }
            effects.append(LogEvent("box_adopted", box.incarnation, inputs))
            effects += self._reclaim_earlier(box, now)
            if box.entry.draining:
                # A predecessor may not have moved all tasks off the draining box.
                effects += self._drain(box, now)
        return effects + self._protect_serving(box, now)

    def _protect_serving(self, box: BoxView, now: float) -> list[Decision]:
        """Slow down best-effort tasks that interfere with serving tasks."""
        if not box.serving:
            return []
        observe(box, self._state.loads, self._state.interference, now)
        return self.repace(box, now)

    def repace(self, box: BoxView, now: float) -> list[Decision]:
        """Set the paces of best-effort tasks to what serving tasks tolerate."""
        effects: list[Decision] = []
        if not self._state.is_enabled(Mechanism.PACING):
            return effects
        for task, percent in pace_changes(box, self._state.interference, now):
            task.set_pace(percent, now)
            box.version += 1
            effects.append(PaceTask(box.incarnation, task.name, task.run, percent))
        return effects

    def _match_running(self, box: BoxView, sent: float, now: float) -> list[Decision]:
        """Update placed tasks from what the box lists as running."""
        effects: list[Decision] = []
        for name, row in box.running.items():
            task = box.tasks.get(name)
            if task is None or task.run != row.run:
                effects += self._stop_unknown_run(box, name, row.run, now)
                continue
            if row.checkpoint:
                task.checkpoint = row.checkpoint
            if is_to_be_recorded(task, now):
                task.proven = True
                self._state.mark_task_changed(task)
            if task.state == STARTING:
                task.mark_running(now)
                task.paced_at = now
            elif task.state == STOPPING and now - task.stop_sent_at > STOP_RETRY_S:
                effects += self._progress.stop(task, now)
        return effects

    def _match_absent(self, box: BoxView, sent: float, now: float) -> list[Decision]:
        """Update placed tasks that the box lists neither as running nor as ended."""
        effects: list[Decision] = []
        for task in list(box.tasks.values()):
            row = box.running.get(task.name)
            if row is None or row.run != task.run:
                effects += self._handle_absent_run(box, task, sent, now)
        return effects

    def _stop_unknown_run(
        self, box: BoxView, name: str, run: int, now: float
    ) -> list[Decision]:
        """Stop a run that is not placed there: an older one, or of an ended job."""
        if self._state.is_held_back(name):
            # It goes on, and needs room that is not reserved.
            box.closed_until = max(box.closed_until, now + HELD_BACK_CLOSED_S)
            return []
        inputs = {"run": run}
        return [
            LogEvent("unknown_run_stopped", name, inputs),
            StopTask(box.incarnation, name, run),
        ]

    def _handle_absent_run(
        self, box: BoxView, task: Task, sent: float, now: float
    ) -> list[Decision]:
        """Handle a placed task that the box does not run."""
        if not box.adopted:
            # The box now rejects commands of older epochs, so the run never starts.
            inputs = {
                "run": task.run,
                "box": box.incarnation,
                "state": STATE_NAMES[task.state],
            }
            self._progress.requeue(task, now)
            return [LogEvent("run_not_there", task.name, inputs)]
        answered = task.confirmed_at
        if not answered:
            return self._retry_stop(task, now)
        if sent <= answered:
            # The poll was sent before the stop was answered; the next one shows whether
            # the run ended. A repeated stop would make that poll too old as well: where
            # polls wait longer than STOP_RETRY_S, a task alone on its box would be stopped
            # without end, and its job would never end.
            return []
        if task.state == STOPPING:
            self._progress.requeue(task, now)
            return []
        # The start was answered, but there is no run and no end: make sure none starts.
        return self._progress.stop(task, now)

    def _retry_stop(self, task: Task, now: float) -> list[Decision]:
        again = task.stop_sent_at and now - task.stop_sent_at > STOP_RETRY_S
        if task.state == STOPPING and again:
            return self._progress.stop(task, now)
        return []

    def expire_leases(self, now: float) -> list[Decision]:
        """Requeue tasks whose leases have expired, and remove boxes that are gone."""
        effects: list[Decision] = []
        for box in list(self._state.boxes.values()):
            if box.silent_since is None and box.adopted:
                continue
            self._leases.record_silence(box, now)
            if now > box.lease_ends:
                if not box.listed:
                    effects += self._remove_box(box.incarnation, "lease expired", now)
                elif box.tasks:
                    effects += self._lose_expired_tasks(box, now)
        return effects

    def _lose_expired_tasks(self, box: BoxView, now: float) -> list[Decision]:
        inputs = {**task_counts(box.tasks.values()), **silence_inputs(box, now)}
        event = LogEvent("leases_lapsed", box.incarnation, inputs)
        return [event, *self._lost.requeue(box, now)]

    def reclaim_orphaned_tasks(self, now: float) -> list[Decision]:
        """Requeue tasks of boxes that were never listed, once their leases have expired.
        Such a box may have crashed while there was no leader."""
        effects: list[Decision] = []
        for incarnation in list(self._state.inherited):
            if now > self._leases.inherited.end(incarnation):
                effects += self._reclaim_unlisted(incarnation, now)
            else:
                self._leases.record_unlisted(incarnation, now)
        return effects

    def weigh_losses(self, now: float) -> list[Decision]:
        """Weigh the losses of boxes as evidence against tasks that ran there."""
        return self._lost.weigh_losses(now)

    def _reclaim_unlisted(self, incarnation: str, now: float) -> list[Decision]:
        """Requeue the tasks of a box that only a predecessor knew, and that has ended."""
        since_s = now - self._leases.inherited.took_over_at
        return self._lost.requeue_unlisted(incarnation, since_s, now)


def _may_leave(task: Task) -> bool:
    """Return whether a long-running task may be stopped to start elsewhere, although its
    box still runs it: one of a step at a time, or as many as the step can do without."""
    if not task.spec.long_running:
        return False
    members = task.workflow.step_tasks(task.occurrence, task.step)
    away = sum(member.state != RUNNING for member in members)
    return away < max(1, task.spec.max_unavailable)
