"""Load of a serving step: the share of time its tasks are busy without interference.

The tasks of a step share their load, so each measurement of one of them applies to all.
The load swings within seconds, so a Kalman filter tracks its level and its slope."""

import math
import typing as t

__all__ = ["MEAN_BUSY_SHARE", "StepLoad"]

# Share of time that a task is busy without interference.
MIN_BUSY_SHARE: t.Final = 0.15
MEAN_BUSY_SHARE: t.Final = 0.5
MAX_BUSY_SHARE: t.Final = 0.8
# Until the first poll: variances of the load (as a share) and of its change per second.
# That of the load is also the maximum.
MAX_LEVEL_VARIANCE: t.Final = 0.03
INITIAL_SLOPE_VARIANCE: t.Final = 0.006
# Process noise of the slope (variance per second), and its decay time.
SLOPE_VARIANCE_PER_S: t.Final = 0.015
SLOPE_DECAY_S: t.Final = 2.0
# A new pace takes effect after about the first of these, and has to suffice until the
# next one has taken effect: a rising load is predicted for that interval.
MIN_LOOKAHEAD_S: t.Final = 0.3
MAX_LOOKAHEAD_S: t.Final = 1.0
# Time within which a load reverts to its mean.
MEAN_REVERSION_S: t.Final = 8.0
# Variance of one measurement, independent for each task of a step in one poll.
MEASUREMENT_VARIANCE: t.Final = 0.006
# A measurement this many deviations off has another cause than load.
OUTLIER_DEVIATIONS: t.Final = 5.0
MAX_CORRELATION: t.Final = 0.95


class StepLoad:
    """Tracks the load that the tasks of one serving step share. Times are in seconds.

    :param trend: whether the slope is tracked too.
    """

    __slots__ = (
        "_cached_peak",
        "_covariance",
        "_level",
        "_level_var",
        "_slope",
        "_slope_var",
        "_trend",
        "_updated_at",
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
        """Return the higher of the loads expected ``MIN_LOOKAHEAD_S`` and
        ``MAX_LOOKAHEAD_S`` from now. Cached, since many boxes need it at one time."""
        if self._cached_peak is None or self._cached_peak[0] != now:
            peak = max(
                self.predict(now + MIN_LOOKAHEAD_S), self.predict(now + MAX_LOOKAHEAD_S)
            )
            self._cached_peak = (now, peak)
        return self._cached_peak[1]

    def predict(self, when: float) -> float:
        """Return the load expected at ``when``, clamped to the minimum and maximum."""
        if self._updated_at is None:
            return MEAN_BUSY_SHARE
        ahead = max(0.0, when - self._updated_at)
        # The slope decays, so its contribution is bounded.
        effective_s = SLOPE_DECAY_S * ahead / (SLOPE_DECAY_S + ahead)
        return max(
            MIN_BUSY_SHARE, min(MAX_BUSY_SHARE, self._level + self._slope * effective_s)
        )

    @property
    def variance(self) -> float:
        """Variance of the load."""
        return self._level_var

    def observe(
        self, busy: float, slowdown: float, slowdown_variance: float, now: float
    ) -> None:
        """Update the load by the measured busy share of one task.

        :param slowdown: expected slowdown of the task by best-effort tasks.
        :param slowdown_variance: variance of ``slowdown``.
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
        # Without this, a load measured only on slowed tasks would include the slowdown.
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
        # The limit on the variance also limits the possible covariance.
        max_covariance = MAX_CORRELATION * math.sqrt(self._level_var * self._slope_var)
        self._covariance = max(-max_covariance, min(max_covariance, self._covariance))
