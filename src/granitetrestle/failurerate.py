"""How many failures in a row tell that a box is at fault, and not the work: the more
often runs fail anyhow, the more it takes."""

import math
import typing as t

__all__ = ["FailureRate"]

# What is believed before the first run: one failure in thirty, as of so many runs.
PRIOR_FAILURE_RATE: t.Final = 1.0 / 30.0
PRIOR_RUNS: t.Final = 60.0
# Ends older than about so many are forgotten.
DECAY_RUNS: t.Final = 600.0
# How often a sound box may be put aside by chance, for each run. A box that is put
# aside though sound keeps its room from work that waits: with three failures in a row,
# at a rate of one in twenty, one to four boxes a minute were.
FALSE_ALARM_PROBABILITY: t.Final = 1e-5
MIN_FAILURES_IN_A_ROW: t.Final = 3
MAX_FAILURES_IN_A_ROW: t.Final = 8


class FailureRate:
    """Follows the share of all runs that fail."""

    def __init__(self) -> None:
        self._runs = PRIOR_RUNS
        self._failed = PRIOR_RUNS * PRIOR_FAILURE_RATE

    def observe(self, failed: bool) -> None:
        """Take up the end of a run."""
        decay = 1.0 - 1.0 / DECAY_RUNS
        self._runs = self._runs * decay + 1.0
        self._failed = self._failed * decay + failed

    @property
    def quarantine_threshold(self) -> int:
        """How many failures in a row put a box aside."""
        rate = min(0.9, max(0.001, self._failed / self._runs))
        threshold = math.ceil(math.log(FALSE_ALARM_PROBABILITY) / math.log(rate))
        return max(MIN_FAILURES_IN_A_ROW, min(MAX_FAILURES_IN_A_ROW, threshold))
