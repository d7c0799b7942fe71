"""How many failures in a row tell that a box is at fault, and not the work: the more
often runs fail anyhow, the more it takes."""

import math
import typing as t

__all__ = ["FailureRate"]

# What is believed before the first run: one failure in thirty, as of so many runs.
FIRST_RATE: t.Final = 1.0 / 30.0
FIRST_RUNS: t.Final = 60.0
# Ends older than about so many are forgotten.
MEMORY_RUNS: t.Final = 600.0
# How often a sound box may be put aside by chance, for each run. A box that is put
# aside though sound keeps its room from work that waits: with three failures in a row,
# at a rate of one in twenty, one to four boxes a minute were.
FALSE_ALARMS: t.Final = 1e-5
FEWEST: t.Final = 3
MOST: t.Final = 8


class FailureRate:
    """Follows the share of all runs that fail."""

    def __init__(self) -> None:
        self._runs = FIRST_RUNS
        self._failed = FIRST_RUNS * FIRST_RATE

    def saw(self, failed: bool) -> None:
        """Take up the end of a run."""
        keep = 1.0 - 1.0 / MEMORY_RUNS
        self._runs = self._runs * keep + 1.0
        self._failed = self._failed * keep + failed

    @property
    def in_a_row(self) -> int:
        """How many failures in a row put a box aside."""
        rate = min(0.9, max(0.001, self._failed / self._runs))
        enough = math.ceil(math.log(FALSE_ALARMS) / math.log(rate))
        return max(FEWEST, min(MOST, enough))
