"""Which boxes get no new work because they fail what they start."""

import typing as t

from .capacity import BoxState
from .records import Ending

__all__ = ["update_quarantine"]

# So many failed attempts in a row, of so many accounts, put a box aside; for how long
# (s) doubles with each further failure up to a bound.
MIN_FAILURES_TO_QUARANTINE: t.Final = 3
MIN_ACCOUNTS_TO_QUARANTINE: t.Final = 2
INITIAL_QUARANTINE_S: t.Final = 30.0
MAX_QUARANTINE_S: t.Final = 960.0


def update_quarantine(box: BoxState, account: str, ending: Ending, now: float) -> None:
    """Quarantine a box that fails the work of several accounts in a row.

    One account's failing jobs alone must not take boxes from the others.
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
