"""Quarantine of boxes that fail what they start: they get no new work for a while."""

import typing as t

from .capacity import BoxState
from .records import Ending

__all__ = ["update_quarantine"]

# A box is quarantined after this many failed attempts in a row, of this many client
# accounts. The time doubles with each further failure, up to the maximum.
MIN_FAILURES_TO_QUARANTINE: t.Final = 3
MIN_ACCOUNTS_TO_QUARANTINE: t.Final = 2
INITIAL_QUARANTINE_S: t.Final = 30.0
MAX_QUARANTINE_S: t.Final = 960.0


def update_quarantine(box: BoxState, account: str, ending: Ending, now: float) -> None:
    """Quarantine a box that fails tasks of several client accounts in a row.

    The failing jobs of one account alone must not take boxes from the others.
    """
    if ending == "finished":
        box.failures_in_row = 0
        box.failed_accounts.clear()
        return
    if ending != "failed":
        return
    box.failures_in_row += 1
    box.failed_accounts.add(account)
    excess = box.failures_in_row - MIN_FAILURES_TO_QUARANTINE
    if excess < 0 or len(box.failed_accounts) < MIN_ACCOUNTS_TO_QUARANTINE:
        return
    box.quarantined_until = now + min(
        MAX_QUARANTINE_S, INITIAL_QUARANTINE_S * 2.0**excess
    )
