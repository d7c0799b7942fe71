"""Judges how soon the long-running tasks of boxes run again that are lost together with
leaders, and that no task of a box that its leader reaches ends while the store is away."""

import math

import msgspec

from granitetrestle.withdrawnleases import REWRITE_INTERVAL_S
from granitetrestle.witnesses import PANEL_KEY
from granitetrestle.witnesses import Panel
from granitetrestle.workflows import PENDING
from granitetrestle_standins.shardprocess import JOBS_TOPIC
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import PromiseBroken
from lease_judge import SILENCE_S
from lease_judge import SLACK_S

# A box that can be reached for so long has answered.
ANSWER_S = 5 * TICK_INTERVAL_S
# An outage of the store that is no longer ends no task, with the durations of
# deployments.
HARMLESS_OUTAGE_S = 13.0
# A leader decides, and writes, once the store is back.
RECOVERY_S = 1.0


class _LostRun:
    """A run of a long-running task on a box that was lost.

    :ivar epoch: of the leader when the box was lost, which had reached the box.
    :ivar until: when its last lease has ended, as far as the leader can know.
    :ivar stated_until: the same as the leader before could know.
    """

    def __init__(self, task, box, epoch, lost_at, until):
        self.task = task
        self.box = box
        self.epoch = epoch
        self.lost_at = lost_at
        self.until = self.stated_until = until
        self.changes = 0


class _Term:
    """What a leader can know about the leases that earlier leaders granted.

    :ivar end: when all these have ended.
    :ivar stated_end: the same as the leader before could know.
    :ivar covered: whether the panel of that one limits them all.
    :ivar panel: the panel that it took over.
    """

    def __init__(self, end, stated_end, covered, panel):
        self.end = end
        self.stated_end = stated_end
        self.covered = covered
        self.panel = panel
        self.excluded = False

    def covers(self, at, version):
        """Return whether a panel limits all leases that run at a time, as the leader
        writes then."""
        return at > self.end or (self.covered and version == self.panel.version)


class LossJudge:
    """Follows the long-running tasks of lost boxes until they are started again.

    :ivar waits: for each that was, and for which the store was never away, the number of
        changes of leader and the time from the loss to the start.
    :ivar take_overs: how many were not orderly.
    :ivar excluded: how many of these leaders reached a majority of a panel that limited
        their predecessor's leases.
    :ivar outages: for how many outages of the store tasks had to go on.
    """

    def __init__(self, world):
        self._world = world
        self._bound_s = world.parameters.lease_bound_s
        self._unproved_s = world.parameters.orphan_s + self._bound_s
        self._term = _Term(world.now + self._unproved_s, math.inf, False, Panel())
        self._lost = []
        # The newest leader that has written, and its term.
        self._newest_writer = None
        self._reachable_since = {}
        self._answered = set()
        self._store_away_at = None
        self._took_over_at = world.now
        self._store_back_at = -math.inf
        # Boxes whose tasks must go on, and the leader and the witnesses that see to it.
        self._kept = set()
        self._keeper = None
        self._witnesses = ()
        self.waits = []
        self.suspected = 0
        self.take_overs = self.excluded = 0
        self.outages = 0

    @property
    def pending(self):
        """Whether tasks of lost boxes have not been started again."""
        return bool(self._lost)

    def read_panel(self):
        """Return the panel that the store holds."""
        for record in self._world.store.newest(JOBS_TOPIC).records:
            if record.key == PANEL_KEY:
                return msgspec.msgpack.decode(record.value, type=Panel)
        return Panel()

    def box_lost(self, incarnation, tasks):
        """Follow the tasks that ran on a box when it was lost to the leader, or to all
        successors of one that is lost."""
        now = self._world.now
        until = now + SILENCE_S + self._bound_s
        self._lost += [
            _LostRun(task, incarnation, self._world.leader.epoch, now, until)
            for task in tasks
        ]

    def leader_changed(self, before, orderly):
        """Apply that a leader has just taken over from ``before``."""
        now = self._world.now
        panel = self.read_panel()
        self._took_over_at = now
        if before.sequence > 1:
            self._newest_writer = before, self._term
        # One that wrote nothing has granted no lease, and is passed over.
        before, term = self._newest_writer or (before, self._term)
        gone_s = now - before.confirmed_at
        wrote = before.sequence > 1
        stated_end = term.end + gone_s + REWRITE_INTERVAL_S if wrote else math.inf
        unproved = now + self._unproved_s
        proved = wrote and bool(panel.members)
        covered = proved and term.covers(before.confirmed_at, panel.version)
        # What a leader states counts from the take-over.
        orderly_end = now + self._bound_s
        end = max(term.end + gone_s, orderly_end) if orderly else unproved
        self._term = _Term(min(end, unproved), stated_end, covered, panel)
        self._term.excluded = orderly or not proved
        self.take_overs += not orderly
        self._reachable_since.clear()
        self._answered.clear()
        for lost in self._lost:
            lost.changes += 1
            # The leader that had reached the box before states nothing about it.
            lost.stated_until = -math.inf
            if not wrote:
                lost.stated_until = math.inf
            elif before.epoch != lost.epoch:
                lost.stated_until = lost.until + gone_s + REWRITE_INTERVAL_S
            if orderly:
                lost.until = max(lost.until + gone_s, orderly_end)
            else:
                lost.until = unproved

    def store_away(self):
        """Apply that the store is away from now on."""
        world = self._world
        leader = world.leader
        # It may have been away until a moment ago, too.
        self._store_away_at = leader.confirmed_at
        if self._store_away_at < self._took_over_at + RECOVERY_S:
            # Leases of the leader before it may be about to end.
            return
        boxes = leader.scheduler.state.boxes
        if world.parameters.orphan_s < world.parameters.lease_s:
            return
        self._keeper = leader
        self._witnesses = self.read_panel().members
        self._kept = {
            name
            for name, box in world.boxes.items()
            if box.running and name in boxes and boxes[name].silent_since is None
        }
        self.outages += 1

    def store_back(self):
        """Apply that the store is back."""
        self._store_back_at = self._world.now

    def check(self):
        """Check that no task waits for too long, or has ended in a short outage.

        :raises PromiseBroken: naming the task or the box.
        """
        world = self._world
        self._check_outage()
        for lost in list(self._lost):
            start = world.sent_starts.get(lost.task)
            if start is not None and start.at > lost.lost_at:
                self._lost.remove(lost)
                if self._store_back_at < lost.lost_at and not world.store_down:
                    self.waits.append((lost.changes, start.at - lost.lost_at))
        leader = world.leader
        if leader.stopped or leader.frozen or leader.without_store:
            return
        self._follow_panel()
        if world.store_down or world.now < self._store_back_at + RECOVERY_S:
            return
        for lost in list(self._lost):
            if world.now > lost.until + SLACK_S:
                task = world.leader.scheduler.state.find_task(lost.task)
                if task is None or (task.state == PENDING and task.suspicion > 0):
                    # It waits for a box to be tried on by itself.
                    self._lost.remove(lost)
                    self.suspected += 1
                    continue
                raise PromiseBroken(
                    f"{lost.task} waits for {world.now - lost.lost_at:.2f} s since "
                    f"{lost.box} was lost, with {lost.changes} changes of leader; "
                    f"{lost.until - lost.lost_at:.2f} s are promised"
                )

    def _follow_panel(self):
        """Apply that the leader has reached a majority of its predecessor's panel."""
        term, now = self._term, self._world.now
        if term.excluded:
            return
        for member in term.panel.members:
            if self._answers(member):
                since = self._reachable_since.setdefault(member, now)
                if now - since >= ANSWER_S:
                    self._answered.add(member)
            else:
                self._reachable_since.pop(member, None)
        if len(self._answered) * 2 <= len(term.panel.members):
            return
        term.excluded = True
        self.excluded += 1
        end = now + self._bound_s
        term.end = min(term.end, end if term.covered else max(end, term.stated_end))
        for lost in self._lost:
            until = end if term.covered else max(end, lost.stated_until)
            lost.until = min(lost.until, until)

    def _answers(self, incarnation):
        """Return whether calls to an incarnation are answered, if only by the next."""
        world = self._world
        if incarnation not in world.entries:
            return False
        if not world.boxes[incarnation].alive:
            return not world.box_crashes.is_down(incarnation, world.now)
        return (
            incarnation not in world.leader.cut_from
            and incarnation not in world.mute
            and incarnation not in world.refusing
            and world.cut_until.get(incarnation, 0.0) <= world.now
        )

    def _check_outage(self):
        """Check that tasks go on while the store is away, as long as the leader reaches
        their boxes and a majority of the witnesses."""
        world, leader = self._world, self._keeper
        if leader is None:
            return
        away_s = world.now - self._store_away_at
        reached = sum(map(self._answers, self._witnesses))
        if (
            away_s > HARMLESS_OUTAGE_S
            or world.leader is not leader
            or leader.stopped
            or leader.frozen
            or reached * 2 <= len(self._witnesses)
            or (not world.store_down and world.now > self._store_back_at + RECOVERY_S)
        ):
            self._keeper = None
            return
        self._kept = set(filter(self._answers, self._kept))
        for name in self._kept:
            if any(at > self._store_away_at for at in world.boxes[name].lapses):
                raise PromiseBroken(
                    f"the lease of {name} has ended {away_s:.2f} s after the store went "
                    f"away, though the leader reaches it"
                )
