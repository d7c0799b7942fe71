"""How many failures in a row indicate that a box is at fault, rather than the tasks:
the higher the failure rate of all runs, the more failures it takes."""

import math
import typing as t

__all__ = ["FailureRate"]

# Assumed before the first run, with the weight of this many runs.
PRIOR_FAILURE_RATE: t.Final = 1.0 / 30.0
PRIOR_RUNS: t.Final = 60.0
# Weights decay so that the estimate covers about this many of the newest runs.
DECAY_RUNS: t.Final = 600.0
# Probability, for each run, that a sound box is quarantined by chance, which keeps its
# room from waiting work: with a limit of three failures in a row and a failure rate of
# one in twenty, one to four sound boxes a minute were quarantined.
FALSE_ALARM_PROBABILITY: t.Final = 1e-5
MIN_FAILURES_IN_A_ROW: t.Final = 3
MAX_FAILURES_IN_A_ROW: t.Final = 8


class FailureRate:
    """Estimates the share of all runs that fail."""

    def __init__(self) -> None:
        self._runs = PRIOR_RUNS
        self._failed = PRIOR_RUNS * PRIOR_FAILURE_RATE

    def observe(self, failed: bool) -> None:
        """Update the estimate with the end of a run."""
        decay = 1.0 - 1.0 / DECAY_RUNS
        self._runs = self._runs * decay + 1.0
        self._failed = self._failed * decay + failed

    @property
    def quarantine_threshold(self) -> int:
        """Number of failures in a row for which a box is quarantined."""
        rate = min(0.9, max(0.001, self._failed / self._runs))
        threshold = math.ceil(math.log(FALSE_ALARM_PROBABILITY) / math.log(rate))
        return max(MIN_FAILURES_IN_A_ROW, min(MAX_FAILURES_IN_A_ROW, threshold))
