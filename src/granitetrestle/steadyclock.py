"""Monotonic clock that counts the time while the machine is suspended.

:func:`time.monotonic` stops while the machine is suspended: by it a lease confirmed
minutes ago may look fresh. Whatever limits the validity of a lease is timed by
:func:`now`; timers and measurements use :func:`time.monotonic`.
"""

import time
import typing as t

__all__ = ["now", "suspended_s"]


def _suspend_aware_clock() -> int | None:
    """Return the id of the system's clock that counts suspended time, if it has one."""
    clock = getattr(time, "CLOCK_BOOTTIME", None)
    try:
        time.clock_gettime(clock)  # type: ignore[arg-type]
    except (OSError, TypeError):
        return None
    return t.cast(int, clock)


_CLOCK: t.Final = _suspend_aware_clock()


def now() -> float:
    """Return seconds since the machine was started, with the time while it was
    suspended; on a system without such a clock, the time of :func:`time.monotonic`."""
    return time.monotonic() if _CLOCK is None else time.clock_gettime(_CLOCK)


def suspended_s() -> float:
    """Return the total time for which the machine has been suspended, in seconds."""
    return now() - time.monotonic()
