"""Keeps the state of owned shards in line with their boxes: sends commands, applies
reports, renews leases, and records the end of every attempt on the log. An attempt
counts as occupying its box until a report or an expired lease proves that it does
not. An exchange without an answer proves nothing: its commands may have arrived."""

import typing as t

from .boxhealth import update_quarantine
from .capacity import Assignment
from .capacity import BoxState
from .errors import InvariantViolated
from .events import AppendFacts
from .events import BoxAnswered
from .events import BoxFailed
from .events import BoxInfo
from .events import Command
from .events import CommandBox
from .events import Effect
from .events import LogEvent
from .events import TaskReport
from .jobs import Job
from .jobs import Jobs
from .jobs import Task
from .ownedshard import OwnedShard
from .ownership import Ownership
from .ownership import ShardState
from .placementparameters import PlacementParameters
from .placementparameters import shard_of
from .records import AttemptEnded
from .records import Ending

__all__ = ["Placement"]

ENDING_BY_STATE: t.Final[dict[str, Ending]] = {
    "finished": "finished",
    "failed": "failed",
    "evicted": "evicted",
    "lapsed": "lost",
}


class Placement:
    """State of all shards that this process owns.

    :param stream: stream of the data hall, for the ends of attempts.
    """

    def __init__(
        self,
        stream: str,
        shards: int,
        parameters: PlacementParameters,
        jobs: Jobs,
        ownership: Ownership,
    ) -> None:
        self._stream = stream
        self._shards = shards
        self._parameters = parameters
        self._jobs = jobs
        self._ownership = ownership
        self._owned_shards: dict[int, OwnedShard] = {}
        self._listed: dict[str, BoxInfo] | None = None
        self._drained: set[str] = set()
        self._evacuated = False

    @property
    def owned_shards(self) -> t.Mapping[int, OwnedShard]:
        """Owned shard -> its state."""
        return self._owned_shards

    @property
    def listed(self) -> t.Mapping[str, BoxInfo] | None:
        """Boxes in the platform's list; ``None`` before it was read."""
        return self._listed

    @property
    def drained(self) -> t.AbstractSet[str]:
        """Boxes that operators have drained."""
        return self._drained

    @property
    def evacuated(self) -> bool:
        """Whether operators have evacuated the data hall."""
        return self._evacuated

    def hall_evacuated(self, evacuated: bool) -> None:
        """Apply an operator's evacuation of the data hall, or its end."""
        self._evacuated = evacuated
        for owned in self._owned_shards.values():
            owned.set_evacuated(evacuated)

    def open_shard(
        self, shard: int, before: ShardState, now: float, wall: float
    ) -> list[Effect]:
        """Create the state of a shard whose claim this process has won."""
        state = self._ownership.shards[shard]
        starts_expired_wall = (
            self._ownership.predecessor_quiesced_at(shard) - now + wall
        )
        if before.epoch:
            starts_expired_wall += self._parameters.clock_margin_s
        renewals_end_wall = self._parameters.renewals_end_wall(
            self._ownership.superseded_at(shard)
        )
        leases_expired_wall = (
            max(starts_expired_wall, renewals_end_wall)
            + self._parameters.lease_s
            + self._parameters.clock_margin_s
        )
        owned = OwnedShard(shard, state.epoch, starts_expired_wall, leases_expired_wall)
        owned.evacuated = self._evacuated
        self._owned_shards[shard] = owned
        self._apply_box_list(owned)
        owned.load_jobs(self._jobs)
        if before.epoch == 0:
            owned.old_starts_expired_wall = 0.0
        tasks = f"tasks: {len(owned.uncertain)} uncertain, {len(owned.waiting)} waiting"
        return [LogEvent("shard_won", f"shard {shard}", tasks, state.epoch)]

    def close_shard(self, shard: int) -> list[Effect]:
        """Drop the state of a shard; its tasks run on until their leases expire."""
        if self._owned_shards.pop(shard, None) is None:
            return []
        return [LogEvent("shard_lost", f"shard {shard}")]

    def update_boxes(self, boxes: t.Sequence[BoxInfo]) -> None:
        """Apply the platform's list of boxes."""
        self._listed = {info.box: info for info in boxes}
        for owned in self._owned_shards.values():
            self._apply_box_list(owned)

    def _apply_box_list(self, owned: OwnedShard) -> None:
        if self._listed is None:
            return
        for info in self._listed.values():
            if shard_of(info.box, self._shards) != owned.shard:
                continue
            known = owned.index.boxes.get(info.box)
            if known is None:
                owned.add_box(info, info.box in self._drained)
            elif known.info != info:
                owned.update_box(known, info)
        removed = [n for n, b in owned.index.boxes.items() if self._is_removable(n, b)]
        for name in removed:
            owned.index.remove(name)
            owned.boxes_with_starts.discard(name)
            owned.unreconciled.discard(name)
        owned.listed = True
        owned.dirty = True
        owned.resolve_uncertain(self._jobs)

    def _is_removable(self, name: str, box: BoxState) -> bool:
        assert self._listed is not None
        return name not in self._listed and not box.tasks and not box.exchange_in_flight

    def box_drained(self, box: str, drained: bool) -> None:
        """Apply an operator's drain."""
        if drained:
            self._drained.add(box)
        else:
            self._drained.discard(box)
        for owned in self._owned_shards.values():
            if box in owned.index.boxes:
                owned.index.boxes[box].drained = drained
                owned.dirty = True

    def restore_drained(self, drained: t.Collection[str]) -> None:
        """Restore the drained boxes of a snapshot."""
        self._drained = set(drained)

    def job_submitted(self, job: Job) -> None:
        """Add the tasks of a new job if its shard is owned here."""
        owned = self._owned_shards.get(job.shard)
        if owned is None:
            return
        for task in job.tasks.values():
            owned.add_task(job, task)

    def job_cancelled(self, job: Job) -> list[Effect]:
        """Stop the running tasks of a job, and end those that have not started."""
        owned = self._owned_shards.get(job.shard)
        if owned is None:
            return []
        return self._cancel_tasks(owned, job)

    def _cancel_tasks(self, owned: OwnedShard, job: Job) -> list[Effect]:
        ends: list[AttemptEnded] = []
        for task in job.tasks.values():
            if owned.waiting.discard(task.task):
                ends.append(self._end_fact(owned, task.task, task.attempt, "cancelled"))
                continue
            assignment = self._assignment(owned, task.task)
            if assignment is not None and assignment.state != "ending":
                assignment.state = "stopping"
                assignment.stop_reason = "cancelled"
        if not ends:
            return []
        return [AppendFacts(self._stream, tuple(ends), f"cancel/{job.job}")]

    def _assignment(self, owned: OwnedShard, task: str) -> Assignment | None:
        name = owned.box_of_task.get(task)
        return owned.index.boxes[name].tasks[task] if name is not None else None

    def task_ended(
        self, job: Job, task: Task, fact: AttemptEnded, now: float
    ) -> list[Effect]:
        """Release the resources of an ended attempt, and enqueue the next attempt."""
        owned = self._owned_shards.get(job.shard)
        if owned is None:
            return []
        name = owned.box_of_task.get(task.task)
        assignment = owned.unassign(task.task)
        if assignment is not None and name is not None:
            self._add_cleanup(
                owned.index.boxes[name], task.task, fact.attempt, "forget"
            )
            update_quarantine(owned.index.boxes[name], job.account, fact.ending, now)
        owned.uncertain.discard(task.task)
        owned.eviction_deadlines.pop(task.task, None)
        if not task.ended:
            owned.enqueue(job, task)
        return [LogEvent("attempt_ended", fact.task, fact.ending, fact.epoch)]

    def _add_cleanup(
        self,
        box: BoxState,
        task: str,
        attempt: int,
        op: t.Literal["forget", "stop"],
    ) -> None:
        box.cleanup[(task, attempt)] = Command(op, task, attempt, 0)

    def _end_fact(
        self,
        owned: OwnedShard,
        task: str,
        attempt: int,
        ending: Ending,
        checkpoint: str = "",
    ) -> AttemptEnded:
        return AttemptEnded(task, attempt, owned.shard, owned.epoch, ending, checkpoint)

    def _record_end(
        self,
        owned: OwnedShard,
        assignment: Assignment,
        ending: Ending,
        checkpoint: str = "",
    ) -> Effect:
        assignment.state = "ending"
        fact = self._end_fact(
            owned, assignment.task, assignment.attempt, ending, checkpoint
        )
        name = f"end/{assignment.task}/{assignment.attempt}"
        return AppendFacts(self._stream, (fact,), name)

    @staticmethod
    def exchange_due(box: BoxState, now: float) -> bool:
        """Return whether an exchange with ``box`` is due."""
        if box.exchange_in_flight:
            return False
        return bool(box.starts and not box.silent) or now >= box.next_exchange_at

    def exchange(
        self, owned: OwnedShard, box: BoxState, now: float, wall: float
    ) -> Effect:
        """Return the next exchange; tasks start only within the ownership lease."""
        commands = list(box.cleanup.values())
        box.cleanup.clear()
        commands += self._start_commands(owned, box, now, wall)
        if now < self._ownership.log_lease_ends_at() + self._parameters.orphan_s:
            commands += self._renewal_commands(owned, box, wall)
        box.exchange_in_flight = True
        box.next_exchange_at = now + self._parameters.exchange_s
        return CommandBox(box.info.box, box.info.address, tuple(commands))

    def _start_commands(
        self, owned: OwnedShard, box: BoxState, now: float, wall: float
    ) -> list[Command]:
        starts, box.starts = box.starts, {}
        if not starts:
            return []
        remaining_s = self._ownership.lease_ends_at(owned.shard, now) - now
        if remaining_s <= 0.0 or owned.evacuated:
            for assignment in starts.values():
                self._requeue_start(owned, assignment)
            return []
        not_after = wall + min(self._parameters.start_window_s, remaining_s)
        commands = []
        for assignment in starts.values():
            assignment.not_after = not_after
            assignment.expires = not_after + self._parameters.lease_s
            commands.append(self._start_command(assignment))
        return commands

    def _start_command(self, assignment: Assignment) -> Command:
        found = self._jobs.find_task(assignment.task)
        return Command(
            "start",
            assignment.task,
            assignment.attempt,
            assignment.epoch,
            not_after=assignment.not_after,
            expires=assignment.expires,
            spec=assignment.spec,
            checkpoint=found[1].checkpoint if found else "",
        )

    def _requeue_start(self, owned: OwnedShard, assignment: Assignment) -> None:
        owned.unassign(assignment.task)
        found = self._jobs.find_task(assignment.task)
        if found is not None and not found[1].ended:
            owned.enqueue(*found)

    def _renewal_commands(
        self, owned: OwnedShard, box: BoxState, wall: float
    ) -> list[Command]:
        commands: list[Command] = []
        expires = wall + self._parameters.lease_s
        for assignment in box.tasks.values():
            if assignment.state in ("starting", "ending"):
                continue
            if assignment.state == "stopping":
                op: t.Literal["stop", "checkpoint", "renew"] = "stop"
            else:
                op = "checkpoint" if assignment.state == "evicting" else "renew"
                assignment.expires = max(assignment.expires, expires)
            command = Command(
                op, assignment.task, assignment.attempt, owned.epoch, expires=expires
            )
            commands.append(command)
        return commands

    def box_answered(self, event: BoxAnswered) -> list[Effect]:
        """Apply the report of a box."""
        owned = self._owned_shard_of(event.box)
        if owned is None:
            return []
        box = owned.index.boxes[event.box]
        box.exchange_in_flight = False
        owned.dirty |= box.silent
        box.last_report_wall = event.sent_wall
        if any(report.epoch > owned.epoch for report in event.report.tasks):
            # The shard has a newer owner, whose claim is still to be read from the log.
            owned.superseded = True
        if owned.superseded:
            return []
        effects: list[Effect] = []
        reported: set[tuple[str, int]] = set()
        for report in event.report.tasks:
            reported.add((report.task, report.attempt))
            effects += self._apply_report(owned, box, report, event.wall)
        for assignment in list(box.tasks.values()):
            if (assignment.task, assignment.attempt) not in reported:
                effects += self._handle_missing(owned, assignment, event.sent_wall)
        owned.record_report(event.box, event.sent_wall, self._jobs)
        return effects

    def _owned_shard_of(self, box: str) -> OwnedShard | None:
        owned = self._owned_shards.get(shard_of(box, self._shards))
        return owned if owned is not None and box in owned.index.boxes else None

    def _apply_report(
        self, owned: OwnedShard, box: BoxState, report: TaskReport, wall: float
    ) -> list[Effect]:
        if report.state == "finished" and report.task in owned.waiting:
            return [self._already_finished(owned, report)]
        assignment = box.tasks.get(report.task)
        if assignment is None or assignment.attempt != report.attempt:
            assignment = self._adopt(owned, box, report, wall)
        if assignment is None or assignment.state == "ending":
            return []
        if report.state == "running":
            if assignment.state == "starting":
                assignment.state = "running"
            return []
        ending = ENDING_BY_STATE.get(report.state, assignment.stop_reason)
        return [self._record_end(owned, assignment, ending, report.checkpoint)]

    def _already_finished(self, owned: OwnedShard, report: TaskReport) -> Effect:
        """Apply the result of an attempt that was recorded as lost too early.

        The waiting attempt has not started, so no task runs twice.
        """
        waiting = owned.waiting.find(report.task)
        assert waiting is not None
        owned.waiting.discard(report.task)
        fact = self._end_fact(owned, report.task, waiting.attempt, "finished")
        name = f"end/{report.task}/{waiting.attempt}"
        return AppendFacts(self._stream, (fact,), name)

    def _adopt(
        self, owned: OwnedShard, box: BoxState, report: TaskReport, wall: float
    ) -> Assignment | None:
        found = self._jobs.find_task(report.task)
        if found is None or not self._is_current(owned, found, report):
            op: t.Literal["stop", "forget"] = "forget"
            if report.state == "running":
                op = "stop"
            self._add_cleanup(box, report.task, report.attempt, op)
            return None
        job, task = found
        if task.task in owned.box_of_task or task.task in owned.waiting:
            raise InvariantViolated(f"{task.task} also runs on {box.info.box}")
        assignment = Assignment(
            task.task,
            task.attempt,
            report.epoch,
            job.account,
            job.job,
            job.spec,
            box.info.box,
            "stopping" if job.cancelled else "running",
            not_after=0.0,
            expires=wall + self._parameters.lease_s,
            reason="adopted from the box's report",
        )
        owned.assign(box, assignment, adopted=True)
        return assignment

    @staticmethod
    def _is_current(
        owned: OwnedShard, found: tuple[Job, Task], report: TaskReport
    ) -> bool:
        job, task = found
        if job.shard != owned.shard or task.ended:
            return False
        return task.attempt == report.attempt

    def _handle_missing(
        self, owned: OwnedShard, assignment: Assignment, sent_wall: float
    ) -> list[Effect]:
        if assignment.state == "ending":
            return []
        if assignment.state != "starting":
            ending: Ending = "lost"
            if assignment.state == "stopping":
                ending = assignment.stop_reason
            return [self._record_end(owned, assignment, ending)]
        latest_arrival_wall = assignment.not_after + self._parameters.clock_margin_s
        if assignment.not_after and sent_wall > latest_arrival_wall:
            self._requeue_start(owned, assignment)
        return []

    def box_failed(self, event: BoxFailed) -> None:
        """Record a failed exchange; starts are requeued only if it was not sent."""
        owned = self._owned_shard_of(event.box)
        if owned is None:
            return
        box = owned.index.boxes[event.box]
        box.exchange_in_flight = False
        box.last_failure_wall = max(box.last_failure_wall, event.sent_wall)
        if not event.unsent:
            return
        for command in event.commands:
            assignment = self._assignment(owned, command.task)
            if command.op != "start" or assignment is None:
                continue
            if assignment.attempt == command.attempt:
                self._requeue_start(owned, assignment)

    def end_lapsed(self, owned: OwnedShard, wall: float) -> list[Effect]:
        """End the attempts on silent boxes whose leases have expired."""
        effects = self._end_lapsed_uncertain(owned, wall)
        for box in owned.index.boxes.values():
            for assignment in box.tasks.values():
                if self._has_lapsed(assignment, box):
                    effects.append(self._record_end(owned, assignment, "lost"))
        return effects

    def _end_lapsed_uncertain(self, owned: OwnedShard, wall: float) -> list[Effect]:
        """End the uncertain attempts once all leases of older epochs have expired.

        The end goes on the log and the next attempt gets a new number, so a result
        that a silent box reports later is not taken for that of the next attempt.
        """
        if not owned.uncertain or wall < owned.old_leases_expired_wall:
            return []
        uncertain, owned.uncertain = owned.uncertain, set()
        ends = [
            self._end_fact(owned, name, found[1].attempt, "lost")
            for name in sorted(uncertain)
            if (found := self._jobs.find_task(name)) and not found[1].ended
        ]
        if not ends:
            return []
        return [AppendFacts(self._stream, tuple(ends), f"lapse/{owned.shard}")]

    def _has_lapsed(self, assignment: Assignment, box: BoxState) -> bool:
        """Return whether an exchange failed that was sent after the lease expired.

        Expiry alone is not enough: an owner that was paused would record attempts
        as lost that its boxes are about to report as finished.
        """
        if assignment.state == "ending" or assignment.expires == 0.0:
            return False
        return (
            box.last_failure_wall > assignment.expires + self._parameters.clock_margin_s
        )
