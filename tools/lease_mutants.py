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
                "if not stored.epoch or not stored.lease_ms "
                "or stored.end + 1 != claim.end:",
                "if not stored.epoch or not stored.lease_ms:",
            ),
        ),
        "lease_waits_random",
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
        "lease_waits_random",
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
        "lease_waits_random",
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
)
