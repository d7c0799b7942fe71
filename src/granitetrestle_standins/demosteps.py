"""Lines of the demo's summary."""

import time
import typing as t

__all__ = ["Step", "Summary"]


class Step(t.NamedTuple):
    """A line of the summary."""

    name: str
    result: str
    seconds: float


class Summary:
    """Runs steps and keeps what came of them."""

    def __init__(self) -> None:
        self._steps: list[Step] = []

    @property
    def steps(self) -> list[Step]:
        """The steps that came about."""
        return self._steps

    def _step(self, name: str, function: t.Callable[[], str]) -> None:
        started = time.monotonic()
        result = function()
        self._steps.append(Step(name, result, time.monotonic() - started))
