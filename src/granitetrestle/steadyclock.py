"""A steady clock that goes on while the machine is suspended. A right that was confirmed a
moment ago by :func:`time.monotonic` may have been confirmed minutes ago, if the machine
slept in between; whatever bounds a right is timed by :func:`now`. What is only waited for
or measured is timed by :func:`time.monotonic`, as timers are."""

import time
import typing as t

__all__ = ["now", "suspended_s"]


def _suspend_aware_clock() -> int | None:
    """Return the system's clock that counts suspended time, if it has one."""
    clock = getattr(time, "CLOCK_BOOTTIME", None)
    try:
        time.clock_gettime(clock)  # type: ignore[arg-type]
    except (OSError, TypeError):
        return None
    return t.cast(int, clock)


_CLOCK: t.Final = _suspend_aware_clock()


def now() -> float:
    """Return seconds since the machine was started, those included for which it was
    suspended; where the system has no such clock, those of the steady clock."""
    return time.monotonic() if _CLOCK is None else time.clock_gettime(_CLOCK)


def suspended_s() -> float:
    """Return for how long the machine has been suspended in all, in seconds."""
    return now() - time.monotonic()
