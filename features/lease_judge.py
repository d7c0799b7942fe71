"""Judges how soon the long-running tasks of lost boxes run again, however often the
leader of their shard changes."""

from granitetrestle.withdrawnleases import REWRITE_INTERVAL_S
from granitetrestle.workflows import PENDING
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import PromiseBroken

# How long a leader goes on renewing the lease of a box that does not answer.
SILENCE_S = 1.2
# Two ticks until a poll is due, one until the end of the lease is noticed, two until the
# start is decided and durable, and one for times that are rounded up.
SLACK_S = 6 * TICK_INTERVAL_S
# A poll fails, the leader notices that it has to record the lease, and writes.
RECORD_DELAY_S = 4 * TICK_INTERVAL_S


class LostRun:
    """A run of a long-running task on a box that was lost.

    :ivar deadline: when its task has to run again.
    :ivar orderly: whether all changes of leader since the loss were orderly.
    :ivar recorded_at: from when the store says how long the lease may run, if the
        leader does not change before.
    """

    def __init__(self, task, box, lost_at, deadline):
        self.task = task
        self.box = box
        self.lost_at = lost_at
        self.deadline = deadline
        self.deadline_before_change = deadline
        self.recorded_at = lost_at + SILENCE_S + RECORD_DELAY_S
        self.orderly = True
        self.changes = 0


class LeaseJudge:
    """Follows the long-running tasks of lost boxes until they are started again.

    :ivar waits: for each that was, whether all changes were orderly, their number, and
        the time from the loss to the start.
    :ivar suspected: how many of them waited for something else than the lease.
    """

    def __init__(self, world):
        self._world = world
        self._lease_s = world.parameters.lease_bound_s
        self._orphan_s = world.parameters.orphan_s
        self._lost = []
        self._gone_at = None
        self.waits = []
        self.suspected = 0

    @property
    def pending(self):
        """Whether tasks of lost boxes have not been started again."""
        return bool(self._lost)

    def box_lost(self, incarnation, tasks, refused):
        """Follow the tasks that ran on a box when it was lost.

        :param refused: whether calls to it are provably not sent from now on.
        """
        now = self._world.now
        silence = 0.0 if refused else SILENCE_S
        self._lost += [
            LostRun(task, incarnation, now, now + silence + self._lease_s)
            for task in tasks
        ]

    def leader_gone(self):
        """Apply that the leader writes nothing any more, without having resigned."""
        if self._gone_at is None:
            self._gone_at = self._world.now

    def leader_changed(self, orderly):
        """Apply a change of leader; a successor has just taken over."""
        now = self._world.now
        gone_at = now if self._gone_at is None else self._gone_at
        self._gone_at = None
        for lost in self._lost:
            lost.changes += 1
            # The successor does not know when calls began to be refused.
            lost.deadline = max(lost.deadline, lost.lost_at + SILENCE_S + self._lease_s)
            # What the predecessor stated counts from the take-over, not from its end.
            lost.deadline_before_change = lost.deadline + now - gone_at
            if orderly:
                if lost.orderly:
                    # The successor waits for one lease at most, and records that.
                    lost.recorded_at = min(lost.recorded_at, now + RECORD_DELAY_S)
                continue
            lost.orderly = False
            unproved = now + self._orphan_s + self._lease_s + SILENCE_S
            if gone_at >= lost.recorded_at:
                # The record counts from the take-over instead of when it was written.
                lost.deadline += now - gone_at + REWRITE_INTERVAL_S
                lost.deadline = min(lost.deadline, unproved)
            else:
                lost.deadline = unproved
                # From then on no more than one lease is left.
                lost.recorded_at = now + self._orphan_s + RECORD_DELAY_S

    def predecessor_ended(self):
        """Apply that the leader has learned that its predecessor's process ended."""
        for lost in self._lost:
            one_lease = self._world.now + self._lease_s
            proven = max(one_lease, lost.deadline_before_change)
            lost.deadline = min(lost.deadline, proven)

    def check(self):
        """Check that no task waits for too long.

        :raises PromiseBroken: naming the task.
        """
        world = self._world
        for lost in list(self._lost):
            start = world.sent_starts.get(lost.task)
            if start is not None and start.at > lost.lost_at:
                self._lost.remove(lost)
                waited = start.at - lost.lost_at
                self.waits.append((lost.orderly, lost.changes, waited))
        leader = world.leader
        if leader.stopped or leader.frozen or leader.without_store:
            # Its successor is still to come, and begins a new deadline.
            return
        for lost in list(self._lost):
            if world.now > lost.deadline + SLACK_S:
                if self._is_suspected(lost):
                    self._lost.remove(lost)
                    self.suspected += 1
                    continue
                kind = "orderly" if lost.orderly else "other"
                raise PromiseBroken(
                    f"{lost.task} waits for {world.now - lost.lost_at:.2f} s since "
                    f"{lost.box} was lost, with {lost.changes} {kind} changes of "
                    f"leader; {lost.deadline - lost.lost_at:.2f} s are promised"
                )

    def _is_suspected(self, lost):
        """Return whether a task no longer waits for the lease, but is to be tried by
        itself, since earlier boxes were lost just after they had started it."""
        task = self._world.leader.scheduler.state.find_task(lost.task)
        return task is not None and task.state == PENDING and task.suspicion > 0
