"""Leases of boxes: grants and renews them, stops renewing those of boxes that are silent,
and records for a successor how long leases may still run."""

import collections
import math
import typing as t

from .boxes import UNLISTED_GRACE_S
from .boxes import BoxView
from .boxlogevents import count_long_running
from .decisions import Decision
from .decisions import LogEvent
from .decisions import ResumeLeases
from .inheritedleases import ROUNDING_S
from .inheritedleases import InheritedLeases
from .shardstate import ShardState
from .statedigest import LeaderMark
from .witnesses import choose_members

__all__ = ["BoxLeases", "granted_lease_s"]

# Leases of a box that is silent for longer are not renewed, so that the end of its runs
# is known. Two polls and their timeouts fit in. Without this limit, the work of a box
# that is silent for longer than a lease is lost, and done twice.
SILENCE_LIMIT_S: t.Final = 1.2
# How often the members of the panel of witnesses are looked at.
PANEL_CHECK_INTERVAL_S: t.Final = 0.25
# How often the panel is compared with the best one, for which all boxes are looked at.
PANEL_REVIEW_INTERVAL_S: t.Final = 2.0
# The panel is not changed again sooner: boxes that are lost together are replaced at
# once.
MIN_PANEL_INTERVAL_S: t.Final = 1.0
# A successor changes the panel of the leader before it only once that one is excluded,
# or after this time, as then a majority of the panel may be lost.
INHERITED_PANEL_TIMEOUT_S: t.Final = 3.0
# Accounts are promised that a long-running task runs again soon after its box is lost,
# and that takes a lease. Shorter ones lose the work of boxes that are cut off for some
# seconds, or that a successor reaches late.
MAX_GRANTED_LEASE_S: t.Final = 6.0


def granted_lease_s(max_lease_s: float) -> float:
    """Return the duration of leases on boxes that grant up to ``max_lease_s`` seconds."""
    return min(max_lease_s, MAX_GRANTED_LEASE_S)


class _PollRenewal(t.NamedTuple):
    """The state of a box's lease before and after a poll.

    :param lease_ends: when the last lease would end without the poll.
    :param renewals: number of renewals with the poll.
    """

    lease_ends: float
    renewals: int


class BoxLeases:
    """The leases that this leader and earlier ones granted to the boxes of a shard."""

    def __init__(self, state: ShardState, now: float) -> None:
        self._state = state
        self._inherited = InheritedLeases(state.parameters, now)
        # Whether this leader has resigned, and grants and renews no lease any more.
        self._resigned = False
        # Whether the witnesses of earlier leaders reject them.
        self._predecessors_excluded = False
        # When the panel of witnesses is looked at again, and when compared with the best
        # one.
        self._panel_due_at = self._panel_review_due_at = -math.inf
        # Incarnation of a box -> what its last poll renewed.
        self._poll_renewals: dict[str, _PollRenewal] = {}

    @property
    def inherited(self) -> InheritedLeases:
        """Bounds on the leases that earlier leaders granted."""
        return self._inherited

    def restore(
        self, mark: LeaderMark | None, leases_left: t.Mapping[str, float | None]
    ) -> None:
        """Restore what predecessors recorded.

        :param mark: the predecessor's last statement, if it is proved.
        :param leases_left: as :attr:`.jobrecords.Restored.leases_left`.
        """
        self._inherited.record_predecessor(mark)
        if mark is not None:
            self._state.witnesses.skip_version(mark.panel)
        for incarnation, left_s in leases_left.items():
            self._inherited.record_box(incarnation, left_s)

    def record_process_end(self, epoch: int, now: float) -> list[Decision]:
        """Apply the proof that the process which led in ``epoch`` has ended."""
        if not self._inherited.record_process_end(epoch, now):
            return []
        return self._apply_shorter(now)

    def record_accepted(
        self, incarnation: str, sent_at: float, now: float
    ) -> list[Decision]:
        """Apply that a box has accepted a poll of this leader.

        :param sent_at: when the poll was sent, as in :mod:`.witnesses`.
        """
        if incarnation not in self._state.boxes:
            # It was removed during the poll.
            return []
        self._state.witnesses.record_accepted(incarnation, sent_at)
        return self._apply_witnesses(now)

    def record_ended(self, incarnation: str, now: float) -> list[Decision]:
        """Apply that an incarnation of a box has ended for certain."""
        self._state.witnesses.record_ended(incarnation)
        return self._apply_witnesses(now)

    def _apply_witnesses(self, now: float) -> list[Decision]:
        witnesses = self._state.witnesses
        if self._predecessors_excluded or not witnesses.earlier_leaders_excluded:
            return []
        self._predecessors_excluded = True
        if not self._inherited.record_witnesses(witnesses.inherited.version, now):
            return []
        return self._apply_shorter(now)

    def _apply_shorter(self, now: float) -> list[Decision]:
        """Apply a shorter bound to boxes that earlier leaders alone have reached."""
        for box in self._state.boxes.values():
            if not box.clock_at:
                # This leader has granted it no lease.
                inherited_end = self._inherited.end(box.incarnation)
                box.lease_ends = min(box.lease_ends, inherited_end)
        return [self.inherited_event(now)]

    def inherited_event(self, now: float) -> LogEvent:
        """Return the event that says how long this leader has to wait for the leases of
        boxes that it does not reach."""
        placed = [task for tasks in self._state.inherited.values() for task in tasks]
        recorded = self._state.withdrawn_leases.incarnations
        inputs = {
            "boxes": len(self._state.inherited),
            "tasks": len(placed),
            "long_running": count_long_running(placed),
            "wait_s": round(self._inherited.latest_end - now, 2),
            "proof": self._inherited.proof,
            "recorded": len(recorded),
            "recorded_wait_s": round(self._inherited.latest_recorded_end - now, 2),
        }
        return LogEvent("leases_inherited", "leases", inputs)

    def mark(self, epoch: int, end: int, now: float, anywhere: bool) -> LeaderMark:
        """Return what this leader states about leases with an append.

        :param end: end offset of the topic after the append.
        :param anywhere: whether a task may run on any box, since its record can't be
            read.
        """
        lease_bound_s = self._state.parameters.lease_bound_s
        named: dict[str, float] | None = None
        inherited_s = max(0.0, self._inherited.latest_end - now)
        if not anywhere:
            named = {}
            if inherited_s:
                ends = self._inherited_ends(now)
                named = {name: max(0.0, ends_at - now) for name, ends_at in ends}
            inherited_s = max(named.values(), default=0.0)
        panel = self._state.witnesses.panel
        version = panel.version if panel.members else 0
        covers = self._inherited.is_covered(version, now)
        mark = LeaderMark(epoch, end, self._resigned, inherited_s, lease_bound_s, named)
        return mark._replace(
            panel=version, panel_covers_earlier=bool(version) and covers
        )

    def update_panel(self, now: float) -> list[Decision]:
        """Replace witnesses that are lost, and add some while there are few.

        Without a majority of the old panel no lease is renewed on the word of witnesses
        until the new one is durable."""
        witnesses = self._state.witnesses
        if self._resigned or witnesses.changing or now < self._panel_due_at:
            return []
        self._panel_due_at = now + PANEL_CHECK_INTERVAL_S
        inherited = witnesses.inherited.members and not self._predecessors_excluded
        led_s = now - self._inherited.took_over_at
        if inherited and led_s < INHERITED_PANEL_TIMEOUT_S:
            return []
        members = witnesses.panel.members
        boxes = self._state.boxes
        kept = [
            name for name in members if name in boxes and _may_stay(boxes[name], now)
        ]
        unchanged = len(kept) == len(members)
        if members and unchanged and now < self._panel_review_due_at:
            return []
        self._panel_review_due_at = now + PANEL_REVIEW_INTERVAL_S
        usable = [
            box for box in boxes.values() if box.incarnation in kept or _may_join(box)
        ]
        chosen = choose_members(usable, kept)
        if not chosen and len(kept) >= witnesses.panel.majority:
            # All that are left are needed.
            return []
        if unchanged and not _is_better(chosen, members, boxes):
            return []
        if set(chosen) == set(members):
            return []
        self._panel_due_at = now + MIN_PANEL_INTERVAL_S
        inputs = {
            "members": len(chosen),
            "halls": len(_count_by_hall(chosen, boxes)),
            "kept": len(set(chosen) & set(members)),
            "lost": len(members) - len(kept),
        }
        change = witnesses.change(chosen)
        inputs["version"] = change.version
        return [LogEvent("witnesses_chosen", "leases", inputs), change]

    def _inherited_ends(self, now: float) -> t.Iterator[tuple[str, float]]:
        """Yield the ends of leases that earlier leaders granted, of the boxes with tasks
        whose last lease has no record in the store: those that this leader has not
        reached, and those with longer leases than it grants. Any other box rejects the
        earlier leaders, or runs nothing."""
        leases = self._state.withdrawn_leases
        own_end = now + self._state.parameters.lease_bound_s + ROUNDING_S
        for incarnation, box in self._state.boxes.items():
            if not box.tasks or leases.is_written(incarnation):
                continue
            if not box.clock_at or box.lease_ends > own_end:
                yield incarnation, box.lease_ends
        for incarnation in self._state.inherited:
            if not leases.is_written(incarnation):
                yield incarnation, self._inherited.end(incarnation)

    def resign(self, now: float) -> None:
        """Grant and renew no lease any more, and record how long the last lease of each
        box may run that does not answer, or has not answered this leader yet."""
        self._resigned = True
        for box in self._state.boxes.values():
            if box.tasks and (box.silent_since is not None or not box.clock_at):
                self._withdraw(box.incarnation, box.lease_ends, now, rewrite=True)
        for incarnation in self._state.inherited:
            end = self._inherited.end(incarnation)
            self._withdraw(incarnation, end, now, rewrite=True)

    def renew(self, box: BoxView, now: float, proof_age_s: float | None) -> int | None:
        """Grant or renew the lease of a box; return when it ends, in ms on its clock.

        It ends a fixed time after the proof, whenever the renewal leaves and arrives.

        :param proof_age_s: as :meth:`.LeaderLease.renewal_age_s`.
        :return: ``None`` if the lease must not be renewed.
        """
        if self._resigned or not box.clock_at:
            return None
        if box.incarnation in self._state.withdrawn_leases or _long_silent(box, now):
            return None
        parameters = self._state.parameters
        if proof_age_s is None or proof_age_s >= parameters.lease_s:
            return None
        lease_ends = now - proof_age_s + parameters.lease_bound_s
        box.lease_ends = max(box.lease_ends, lease_ends)
        box.renewals += 1
        # The clock of the box may be that much slower.
        elapsed_s = (now - box.clock_at) * (1.0 - parameters.clock_slack)
        left_s = parameters.lease_s - proof_age_s
        return box.clock_ms + int((elapsed_s + left_s) * 1000)

    def renew_by_poll(
        self, box: BoxView, now: float, proof_age_s: float | None
    ) -> int | None:
        """Renew the lease of a box by a poll, as :meth:`renew`."""
        lease_ends = box.lease_ends
        end_ms = self.renew(box, now, proof_age_s)
        if end_ms is not None:
            renewal = _PollRenewal(lease_ends, box.renewals)
            self._poll_renewals[box.incarnation] = renewal
        return end_ms

    def end_poll(self, box: BoxView, left: bool) -> None:
        """Record the end of a poll, and undo its renewal if it provably never left. Else
        a box that refuses connections would be waited for as if it had taken all polls.

        :param left: whether the poll may have left this process.
        """
        renewal = self._poll_renewals.pop(box.incarnation, None)
        if renewal is not None and not left and renewal.renewals == box.renewals:
            box.lease_ends = renewal.lease_ends

    def record_silence(self, box: BoxView, now: float) -> None:
        """Stop renewing the lease of a box that runs tasks and has been silent for long,
        or has not answered this leader at all."""
        withdrawn = box.incarnation in self._state.withdrawn_leases
        unreached = not box.clock_at and (withdrawn or box.silent_since is not None)
        if box.tasks and (unreached or _long_silent(box, now)):
            self._withdraw(box.incarnation, box.lease_ends, now)

    def record_unlisted(self, incarnation: str, now: float) -> None:
        """Record how long leases may run of a box that only a predecessor knew."""
        self._withdraw(incarnation, self._inherited.end(incarnation), now)

    def _withdraw(
        self, incarnation: str, lease_ends: float, now: float, rewrite: bool = False
    ) -> None:
        """Record that the leases of a box are not renewed, unless an earlier leader may
        still renew them: older versions of this program take a record to mean that no
        lease runs for longer than one that is granted now."""
        left_s = lease_ends - now
        if left_s <= self._state.parameters.lease_bound_s + ROUNDING_S:
            leases = self._state.withdrawn_leases
            leases.withdraw(incarnation, left_s, now, rewrite)

    def resume(self, again: ResumeLeases) -> None:
        """Renew leases of a box again, since a successor would know of it."""
        self._state.withdrawn_leases.confirm_resumed(again)

    def forget(self, incarnation: str) -> None:
        """Forget the polls of a box that is removed."""
        self._poll_renewals.pop(incarnation, None)
        self._state.witnesses.forget(incarnation)

    def discard_records(self) -> list[Decision]:
        """Delete the withdrawal records of boxes that have ended along with their tasks;
        otherwise one record would remain for every box that was ever lost."""
        leases = self._state.withdrawn_leases
        effects: list[Decision] = []
        for incarnation in list(leases.incarnations):
            if (
                incarnation not in self._state.boxes
                and incarnation not in self._state.inherited
            ):
                effects += leases.resume(incarnation)
        return effects


def _may_join(box: BoxView) -> bool:
    """Return whether a box can be expected to answer polls for some time."""
    leaving = box.entry.draining or not box.listed
    return box.adopted and not leaving and box.silent_since is None


def _may_stay(box: BoxView, now: float) -> bool:
    """Return whether a witness can still be expected to answer polls. One that has not
    answered this leader yet may do so."""
    listed = box.listed or now - (box.unlisted_since or now) <= UNLISTED_GRACE_S
    return listed and not box.entry.draining and not _long_silent(box, now)


def _count_by_hall(
    members: t.Iterable[str], boxes: t.Mapping[str, BoxView]
) -> collections.Counter[str]:
    return collections.Counter(boxes[name].entry.hall for name in members)


def _is_better(
    chosen: t.Collection[str],
    members: t.Collection[str],
    boxes: t.Mapping[str, BoxView],
) -> bool:
    """Return whether a panel withstands the loss of a data hall while another does not,
    or of more boxes, or has a smaller share in one hall."""
    return _resilience(chosen, boxes) > _resilience(members, boxes)


def _resilience(
    members: t.Collection[str], boxes: t.Mapping[str, BoxView]
) -> tuple[bool, int, int]:
    largest = max(_count_by_hall(members, boxes).values(), default=0)
    return 2 * largest < len(members), len(members), -largest


def _long_silent(box: BoxView, now: float) -> bool:
    return box.silent_since is not None and now - box.silent_since > SILENCE_LIMIT_S
