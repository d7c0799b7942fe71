"""How busy the tasks of a serving step are when nothing disturbs them. They share
their load, so each look at one of them tells of all; the load swings within seconds,
so its trend is followed too (a Kalman filter of level and slope)."""

import math
import typing as t

__all__ = ["MEAN_BUSY", "StepLoad"]

# Share of busy time when nothing disturbs: least, mean, most.
LEAST_BUSY: t.Final = 0.15
MEAN_BUSY: t.Final = 0.5
MOST_BUSY: t.Final = 0.8
# Before the first look: variances of load (as a share) and of its change in a second.
LEVEL_VARIANCE: t.Final = 0.03
SLOPE_VARIANCE: t.Final = 0.006
# How fast the slope wanders (variance a second), and for how long it lasts.
SLOPE_NOISE: t.Final = 0.015
SLOPE_LASTS_S: t.Final = 2.0
# A pace shows after about the first of these, and must do until the next one has: a
# rising load is met where it will be by then.
SOONEST_S: t.Final = 0.3
LATEST_S: t.Final = 1.0
# A load comes back to its mean within about this time.
REVERTS_S: t.Final = 8.0
# Variance of one figure; of the same step's tasks in one look, each has its own.
FIGURE_VARIANCE: t.Final = 0.006
# A figure this many deviations off tells of something else than load.
OUTLIER: t.Final = 5.0
MOST_CORRELATED: t.Final = 0.95


class StepLoad:
    """The load that the tasks of one serving step share. Times are in seconds.

    :param trend: whether its slope is followed too.
    """

    __slots__ = (
        "_at",
        "_covariance",
        "_level",
        "_level_var",
        "_slope",
        "_slope_var",
        "_soon",
        "_trend",
    )

    def __init__(self, trend: bool = True) -> None:
        self._trend = trend
        self._at: float | None = None
        self._level = MEAN_BUSY
        self._slope = 0.0
        self._level_var = LEVEL_VARIANCE
        self._slope_var = SLOPE_VARIANCE
        self._covariance = 0.0
        self._soon: tuple[float, float] | None = None

    def soon(self, now: float) -> float:
        """Return the most that it is expected to be between ``SOONEST_S`` and
        ``LATEST_S`` from now. Many boxes ask at the same moment."""
        if self._soon is None or self._soon[0] != now:
            soon = max(self.at(now + SOONEST_S), self.at(now + LATEST_S))
            self._soon = (now, soon)
        return self._soon[1]

    def at(self, when: float) -> float:
        """Return the load expected at ``when``, between the bounds."""
        if self._at is None:
            return MEAN_BUSY
        ahead = max(0.0, when - self._at)
        # The slope dies away: what it adds is bounded.
        lasts = SLOPE_LASTS_S * ahead / (SLOPE_LASTS_S + ahead)
        return max(LEAST_BUSY, min(MOST_BUSY, self._level + self._slope * lasts))

    @property
    def variance(self) -> float:
        """How unsure the load is."""
        return self._level_var

    def saw(self, busy: float, stretch: float, doubt: float, now: float) -> None:
        """Take up how busy one task was seen.

        :param stretch: by how much its work was stretched by what fills.
        :param doubt: variance of ``stretch``.
        """
        self._soon = None
        self._advance(now)
        factor = 1.0 + stretch
        noise = FIGURE_VARIANCE + doubt * self._level * self._level
        error = busy - factor * self._level
        variance = factor * factor * self._level_var + noise
        if error * error > OUTLIER * OUTLIER * variance:
            return
        gain = self._level_var * factor / variance
        slope_gain = self._covariance * factor / variance
        self._level += gain * error
        if self._trend:
            self._slope += slope_gain * error
        self._slope_var -= slope_gain * factor * self._covariance
        self._covariance *= 1.0 - gain * factor
        self._level_var *= 1.0 - gain * factor

    def _advance(self, now: float) -> None:
        if self._at is None:
            self._at = now
            return
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        keep = max(0.0, 1.0 - passed / SLOPE_LASTS_S / 2.0)
        self._level += self._slope * passed
        # Without this, a load seen only on disturbed tasks would take up their stretch.
        self._level += (MEAN_BUSY - self._level) * min(1.0, passed / REVERTS_S)
        self._level = max(LEAST_BUSY, min(MOST_BUSY, self._level))
        self._level_var += passed * (2.0 * self._covariance + passed * self._slope_var)
        self._level_var = min(LEVEL_VARIANCE, self._level_var)
        self._covariance = keep * (self._covariance + passed * self._slope_var)
        self._slope *= keep
        self._slope_var = keep * keep * self._slope_var + passed * SLOPE_NOISE
        # The bound on the variance must not leave more covariance than there can be.
        most = MOST_CORRELATED * math.sqrt(self._level_var * self._slope_var)
        self._covariance = max(-most, min(most, self._covariance))
