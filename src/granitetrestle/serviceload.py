"""How busy the tasks of a serving step are when nothing disturbs them. They share
their load, so each look at one of them tells of all; the load swings within seconds,
so its trend is followed too (a Kalman filter of level and slope)."""

import math
import typing as t

__all__ = ["MEAN_BUSY_SHARE", "StepLoad"]

# Share of busy time when nothing disturbs: least, mean, most.
MIN_BUSY_SHARE: t.Final = 0.15
MEAN_BUSY_SHARE: t.Final = 0.5
MAX_BUSY_SHARE: t.Final = 0.8
# Before the first look: variances of load (as a share) and of its change in a second.
MAX_LEVEL_VARIANCE: t.Final = 0.03
INITIAL_SLOPE_VARIANCE: t.Final = 0.006
# How fast the slope wanders (variance a second), and for how long it lasts.
SLOPE_VARIANCE_PER_S: t.Final = 0.015
SLOPE_DECAY_S: t.Final = 2.0
# A pace shows after about the first of these, and must do until the next one has: a
# rising load is met where it will be by then.
MIN_LOOKAHEAD_S: t.Final = 0.3
MAX_LOOKAHEAD_S: t.Final = 1.0
# A load comes back to its mean within about this time.
MEAN_REVERSION_S: t.Final = 8.0
# Variance of one figure; of the same step's tasks in one look, each has its own.
MEASUREMENT_VARIANCE: t.Final = 0.006
# A figure this many deviations off tells of something else than load.
OUTLIER_DEVIATIONS: t.Final = 5.0
MAX_CORRELATION: t.Final = 0.95


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
        self._updated_at: float | None = None
        self._level = MEAN_BUSY_SHARE
        self._slope = 0.0
        self._level_var = MAX_LEVEL_VARIANCE
        self._slope_var = INITIAL_SLOPE_VARIANCE
        self._covariance = 0.0
        self._cached_peak: tuple[float, float] | None = None

    def predict_peak(self, now: float) -> float:
        """Return the most that it is expected to be between ``MIN_LOOKAHEAD_S`` and
        ``MAX_LOOKAHEAD_S`` from now. Many boxes ask at the same moment."""
        if self._cached_peak is None or self._cached_peak[0] != now:
            peak = max(
                self.predict(now + MIN_LOOKAHEAD_S), self.predict(now + MAX_LOOKAHEAD_S)
            )
            self._cached_peak = (now, peak)
        return self._cached_peak[1]

    def predict(self, when: float) -> float:
        """Return the load expected at ``when``, between the bounds."""
        if self._updated_at is None:
            return MEAN_BUSY_SHARE
        ahead = max(0.0, when - self._updated_at)
        # The slope dies away: what it adds is bounded.
        effective_s = SLOPE_DECAY_S * ahead / (SLOPE_DECAY_S + ahead)
        return max(
            MIN_BUSY_SHARE, min(MAX_BUSY_SHARE, self._level + self._slope * effective_s)
        )

    @property
    def variance(self) -> float:
        """How unsure the load is."""
        return self._level_var

    def observe(
        self, busy: float, slowdown: float, slowdown_variance: float, now: float
    ) -> None:
        """Take up how busy one task was seen.

        :param stretch: by how much its work was stretched by what fills.
        :param doubt: variance of ``slowdown``.
        """
        self._cached_peak = None
        self._advance(now)
        factor = 1.0 + slowdown
        noise = MEASUREMENT_VARIANCE + slowdown_variance * self._level * self._level
        innovation = busy - factor * self._level
        variance = factor * factor * self._level_var + noise
        if innovation * innovation > OUTLIER_DEVIATIONS * OUTLIER_DEVIATIONS * variance:
            return
        gain = self._level_var * factor / variance
        slope_gain = self._covariance * factor / variance
        self._level += gain * innovation
        if self._trend:
            self._slope += slope_gain * innovation
        self._slope_var -= slope_gain * factor * self._covariance
        self._covariance *= 1.0 - gain * factor
        self._level_var *= 1.0 - gain * factor

    def _advance(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
            return
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        decay = max(0.0, 1.0 - elapsed_s / SLOPE_DECAY_S / 2.0)
        self._level += self._slope * elapsed_s
        # Without this, a load seen only on disturbed tasks would take up their stretch.
        self._level += (MEAN_BUSY_SHARE - self._level) * min(
            1.0, elapsed_s / MEAN_REVERSION_S
        )
        self._level = max(MIN_BUSY_SHARE, min(MAX_BUSY_SHARE, self._level))
        self._level_var += elapsed_s * (
            2.0 * self._covariance + elapsed_s * self._slope_var
        )
        self._level_var = min(MAX_LEVEL_VARIANCE, self._level_var)
        self._covariance = decay * (self._covariance + elapsed_s * self._slope_var)
        self._slope *= decay
        self._slope_var = (
            decay * decay * self._slope_var + elapsed_s * SLOPE_VARIANCE_PER_S
        )
        # The bound on the variance must not leave more covariance than there can be.
        max_covariance = MAX_CORRELATION * math.sqrt(self._level_var * self._slope_var)
        self._covariance = max(-max_covariance, min(max_covariance, self._covariance))
