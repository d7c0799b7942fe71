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
                "inherited_s = max(0.0, inherited_end - now)",
                "inherited_s = 0.0",
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
