"""Mutants of what a successor knows about the leases that earlier leaders granted."""

from mutant import Mutant

__all__ = ["LEASE_MUTANTS"]

LEASE_MUTANTS = (
    Mutant(
        "leases: a leader that has resigned goes on renewing",
        (
            (
                "boxleases.py",
                "if self._resigned or not box.clock_at:",
                "if not box.clock_at:",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: a leader states that it has resigned while it still renews",
        (
            (
                "boxleases.py",
                "LeaderMark(epoch, end, self._resigned, ",
                "LeaderMark(epoch, end, True, ",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: boxes that do not answer are recorded only by a leader that resigns",
        (
            (
                "boxleases.py",
                "if box.tasks and (unreached or _long_silent(box, now)):",
                "if self._resigned and box.tasks and (unreached or _long_silent(box, now)):",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: a mark counts though another process has claimed an epoch since",
        (
            (
                "statedigest.py",
                "passed_over = stored.end + 1 != claim.end\n",
                "passed_over = False\n",
            ),
        ),
        "claims_without_appends",
    ),
    Mutant(
        "leases: a mark leaves out what leaders before may have granted",
        (
            (
                "boxleases.py",
                "named = {name: max(0.0, ends_at - now) for name, ends_at in ends}",
                "named = {name: 0.0 for name, ends_at in ends}",
            ),
        ),
        "inherited_leases",
    ),
    Mutant(
        "leases: a mark names no box where earlier leases run longer",
        (
            (
                "statedigest.py",
                "for name, left_s in named.items()}",
                "for name, left_s in ()}",
            ),
        ),
        "inherited_leases",
    ),
    Mutant(
        "leases: what a mark says of one box holds for all",
        (
            (
                "inheritedleases.py",
                "if mark is None or mark.inherited_s_of is None:",
                "if True:",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: the time since the take-over is taken off a record twice",
        (
            (
                "boxleases.py",
                "        left_s = lease_ends - now\n",
                "        left_s = lease_ends - now - (now - self._inherited.took_over_at)\n",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: the end of any former leader's process counts as the predecessor's",
        (
            (
                "inheritedleases.py",
                "if mark is None or mark.epoch != epoch:",
                "if mark is None:",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: polls that never left prolong the wait",
        (
            (
                "boxleases.py",
                "            box.lease_ends = renewal.lease_ends\n",
                "            pass\n",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "leases: a poll that never left undoes the renewal by an earlier one",
        (
            (
                "boxleases.py",
                "renewal = self._poll_renewals.pop(box.incarnation, None)",
                "renewal = self._poll_renewals.get(box.incarnation)",
            ),
        ),
        "lease_waits_random",
    ),
    Mutant(
        "witnesses: a new panel counts alone before it is durable",
        (
            (
                "witnesses.py",
                "panels = [self._panel] if self._next is None else "
                "[self._panel, self._next]",
                "panels = [self.panel]",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: less than half of the panel counts as a majority",
        (
            (
                "witnesses.py",
                "return len(self.members) // 2 + 1",
                "return len(self.members) // 2",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a poll counts as sent when it was answered",
        (
            (
                "boxpoller.py",
                "leases.record_accepted(self._incarnation, sent_at, now)",
                "leases.record_accepted(self._incarnation, steadyclock.now(), now)",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a poll that a box rejects counts too",
        (
            (
                "boxpoller.py",
                "        if isinstance(outcome, PollResult):\n"
                "            leases = self._scheduler.fleet.leases\n",
                "        if True:\n            leases = self._scheduler.fleet.leases\n",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: the next incarnation of a box counts as the one in the panel",
        (
            (
                "witnesses.py",
                "from .interfaces import Record\n",
                "from .incarnations import box_id_of\nfrom .interfaces import Record\n",
            ),
            (
                "witnesses.py",
                "        self._accepted_at[incarnation] = max(earlier, sent_at)\n",
                "        for member in (incarnation, *self.panel.members):\n"
                "            if box_id_of(member) == box_id_of(incarnation):\n"
                "                self._accepted_at[member] = max(earlier, sent_at)\n",
            ),
        ),
        "witness_rules",
    ),
    Mutant(
        "witnesses: one that has answered a successor is enough",
        (
            (
                "witnesses.py",
                "len(self._excluding) >= panel.majority",
                "len(self._excluding) >= 1",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a leader with a majority of them renews without end",
        (
            (
                "leaderlease.py",
                "return min(store_age_s, max(now - proved_at, store_age_s - orphan_s))",
                "return min(store_age_s, now - proved_at)",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a lease lasts from its renewal, not from the proof",
        (
            (
                "boxleases.py",
                "left_s = parameters.lease_s - proof_age_s",
                "left_s = parameters.lease_s",
            ),
        ),
        "lost_leaders",
    ),
    Mutant(
        "witnesses: a successor relies on a panel that its predecessor did not follow",
        (
            (
                "inheritedleases.py",
                "if mark is None or not panel or mark.panel != panel:",
                "if mark is None or not panel or not mark.panel:",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a successor relies on a panel that no mark names",
        (
            (
                "inheritedleases.py",
                "if mark is None or not panel or mark.panel != panel:",
                "if mark is None or not panel:",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a claim counts as sent when it was answered",
        (
            (
                "succession.py",
                "return EpochClaim(epoch, by, outcome.end, sent_at=sent_at)",
                "return EpochClaim(epoch, by, outcome.end, sent_at=steadyclock.now())",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a journal counts as confirmed from when it begins",
        (
            (
                "journal.py",
                "self._confirmed_at = min(claimed_at, self._answered_at)",
                "self._confirmed_at = self._answered_at",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a successor does not ask them",
        (
            (
                "inheritedleases.py",
                '        shortened = self._shorten(mark, now, "witnesses")\n',
                "        shortened = False\n",
            ),
        ),
        "lost_leaders",
    ),
    Mutant(
        "witnesses: leases count as covered by a panel that came after them",
        (
            (
                "inheritedleases.py",
                "            and mark.panel == panel\n",
                "",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: a panel covers earlier leases that it never limited",
        (
            (
                "inheritedleases.py",
                "if mark.panel_covers_earlier and longest_end > end:",
                "if longest_end > end:",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: leases that no panel limited count as covered",
        (
            (
                "inheritedleases.py",
                "            and mark.panel_covers_earlier\n",
                "",
            ),
        ),
        "witnesses",
    ),
    Mutant(
        "witnesses: longer leases of earlier leaders count as covered",
        (
            (
                "inheritedleases.py",
                "            and mark.lease_bound_s <= "
                "self._parameters.lease_bound_s + ROUNDING_S\n",
                "",
            ),
        ),
        "witnesses",
    ),
)
