"""Interference model: how much best-effort images slow down serving images.

A serving task is busy for a share of its time. A best-effort image on the same box
slows its work down in proportion to the processor time that it uses. The factor, the
sensitivity, is a constant of the pair of images. Measurements show that it is either
low or high, with hardly any pair in between, so each pair is a mixture of two Gaussian
estimates, one for either case, with the log odds of the high one."""

import math
import typing as t

import msgspec

from .fieldtypes import Real
from .unloadedtails import UnloadedTails

__all__ = ["Interference", "PairRow"]

# Sensitivity: how much a best-effort image that uses a whole box slows the serving one.
# Initial means and variances of the low and the high estimate of a pair, and the
# initial probability of the high one, from which on a pair counts as highly sensitive.
LOW_SENSITIVITY: t.Final = 0.4
LOW_SENSITIVITY_VARIANCE: t.Final = 0.09
HIGH_SENSITIVITY: t.Final = 4.6
HIGH_SENSITIVITY_VARIANCE: t.Final = 3.0
INITIAL_HIGH_PROBABILITY: t.Final = 0.5
MAX_SENSITIVITY: t.Final = 10.0
# Measurements are imprecise: deviation of a busy share from the fitted model.
BUSY_SHARE_DEVIATION: t.Final = 0.08
# Factor on the noise: successive polls show much of the same measurements, so each of
# them counts less.
REPEATED_SAMPLE_FACTOR: t.Final = 2.0
# Limit that lets a few polls reverse the classification of a pair.
MAX_LOG_ODDS: t.Final = 6.0
# No estimate is taken for more certain than this.
MIN_SENSITIVITY_VARIANCE: t.Final = 0.02
# Images below this share of a box are left out of an update.
MIN_LEARNING_CPU_SHARE: t.Final = 0.01
# Bytes in front of the elements of an encoded list.
MAX_ARRAY_PREFIX_BYTES: t.Final = 5
# Above this the tail latency is only a lower bound for the busy share.
SATURATED_BUSY_SHARE: t.Final = 0.9


class PairRow(msgspec.Struct, frozen=True, array_like=True):
    """The estimates of one pair as stored, so that a successor starts with them.

    :param low: mean of the low estimate of the sensitivity.
    :param high: mean of the high estimate of the sensitivity.
    """

    best_effort: str
    log_odds: Real
    low: Real
    low_variance: Real
    high: Real
    high_variance: Real


_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(list[PairRow])


class _Estimate:
    """A Gaussian estimate of a sensitivity."""

    __slots__ = ("mean", "variance")

    def __init__(self, mean: float, variance: float) -> None:
        self.mean = mean
        self.variance = variance

    def log_likelihood(self, slowdown: float, share: float, noise: float) -> float:
        """Return the log-likelihood of ``slowdown``, up to a constant."""
        variance = noise + share * share * self.variance
        error = slowdown - share * self.mean
        return -0.5 * (error * error / variance + math.log(variance))

    def update(
        self, slowdown: float, share: float, noise: float, bounds: tuple[float, float]
    ) -> None:
        """Correct the estimate by a measured slowdown (a Kalman filter update)."""
        variance = noise + share * share * self.variance
        gain = share * self.variance / variance
        mean = self.mean + gain * (slowdown - share * self.mean)
        self.mean = max(bounds[0], min(bounds[1], mean))
        self.variance = max(
            MIN_SENSITIVITY_VARIANCE, self.variance * (1.0 - gain * share)
        )


class _Pair:
    """The sensitivity of one pair of images, a mixture of two estimates.

    :ivar low: estimate for a pair of low sensitivity.
    :ivar high: estimate for a pair of high sensitivity.
    :ivar high_probability: probability that the pair is of high sensitivity.
    :ivar mean: expected sensitivity; cached, since it is read far more often than it
        changes.
    :ivar variance: variance of the sensitivity; cached likewise.
    """

    __slots__ = ("high", "high_probability", "log_odds", "low", "mean", "variance")

    def __init__(self) -> None:
        self.log_odds = math.log(
            INITIAL_HIGH_PROBABILITY / (1.0 - INITIAL_HIGH_PROBABILITY)
        )
        self.low = _Estimate(LOW_SENSITIVITY, LOW_SENSITIVITY_VARIANCE)
        self.high = _Estimate(HIGH_SENSITIVITY, HIGH_SENSITIVITY_VARIANCE)
        self.recompute()

    def recompute(self) -> None:
        """Recompute probability, mean and variance from the odds and both estimates."""
        probability = self.high_probability = 1.0 / (1.0 + math.exp(-self.log_odds))
        difference = self.high.mean - self.low.mean
        within = (
            probability * self.high.variance + (1.0 - probability) * self.low.variance
        )
        self.mean = probability * self.high.mean + (1.0 - probability) * self.low.mean
        self.variance = (
            within + probability * (1.0 - probability) * difference * difference
        )

    def update(
        self, slowdown: float, share: float, noise: float, measured: bool
    ) -> None:
        """Update the odds and the estimates by the slowdown that this pair caused.

        :param measured: whether ``slowdown`` is the value itself and not only a lower
            bound; the estimates are updated only by values.
        """
        log_ratio = self.high.log_likelihood(slowdown, share, noise)
        log_ratio -= self.low.log_likelihood(slowdown, share, noise)
        odds = self.log_odds + log_ratio
        self.log_odds = max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, odds))
        if measured:
            probability = 1.0 / (1.0 + math.exp(-self.log_odds))
            # Update the likelier estimate; the less likely it is, the more noise.
            if probability > 0.5:
                self.high.update(
                    slowdown, share, noise / probability, (1.5, MAX_SENSITIVITY)
                )
            else:
                self.low.update(
                    slowdown, share, noise / (1.0 - probability), (0.0, 1.2)
                )
        self.recompute()


_INITIAL_PAIR: t.Final = _Pair()
INITIAL_SENSITIVITY: t.Final = _INITIAL_PAIR.mean
INITIALLY_HIGHLY_SENSITIVE: t.Final = (
    _INITIAL_PAIR.high_probability >= INITIAL_HIGH_PROBABILITY
)


class Interference:
    """Sensitivities by pair of images, and unloaded tail latencies by serving image.

    :param learns: whether polls update the sensitivities.
    :param learns_tails: whether polls update the unloaded tail latencies.
    """

    def __init__(self, learns: bool = True, learns_tails: bool = True) -> None:
        self._learns = learns
        self._pairs: dict[str, dict[str, _Pair]] = {}
        self._changed: set[str] = set()
        # Caches by (serving, best_effort): both are read for each box and task.
        self._means: dict[tuple[str, str], float] = {}
        self._highly_sensitive: dict[tuple[str, str], bool] = {}
        self._compatible_shares: dict[frozenset[str], float] = {}
        self.best_effort_images: set[str] = set()
        self.unloaded_tails = UnloadedTails(learns_tails)

    def sensitivity(self, serving: str, best_effort: str) -> float:
        """Return the slowdown of ``serving`` when ``best_effort`` uses a whole box."""
        return self._means.get((serving, best_effort), INITIAL_SENSITIVITY)

    def highly_sensitive(self, serving: str, best_effort: str) -> bool:
        """Return whether the pair has, or while unknown is taken to have, high
        sensitivity."""
        return self._highly_sensitive.get(
            (serving, best_effort), INITIALLY_HIGHLY_SENSITIVE
        )

    def is_observed(self, serving: str, best_effort: str) -> bool:
        """Return whether the interference of a pair has been observed."""
        return (serving, best_effort) in self._means

    def compatible_share(self, serving: t.Collection[str]) -> float:
        """Return the share of best-effort images to which none of ``serving`` is highly
        sensitive."""
        if not serving or not self.best_effort_images:
            return 1.0
        images = frozenset(serving)
        share = self._compatible_shares.get(images)
        if share is None:
            compatible = sum(
                not any(self.highly_sensitive(image, best_effort) for image in images)
                for best_effort in self.best_effort_images
            )
            share = self._compatible_shares[images] = compatible / len(
                self.best_effort_images
            )
        return share

    def add_best_effort_image(self, image: str) -> None:
        """Record that best-effort tasks run ``image``."""
        if image not in self.best_effort_images:
            self.best_effort_images.add(image)
            self._compatible_shares.clear()

    def _get_or_add_pair(self, serving: str, best_effort: str) -> _Pair:
        """Return a pair that may be updated; add it first if it is new."""
        known = self._pairs.setdefault(serving, {})
        pair = known.get(best_effort)
        if pair is None:
            pair = known[best_effort] = _Pair()
            self.add_best_effort_image(best_effort)
        return pair

    def _update_cached(self, serving: str, best_effort: str, pair: _Pair) -> None:
        """Update the cached values of a pair."""
        key = (serving, best_effort)
        highly_sensitive = pair.high_probability >= INITIAL_HIGH_PROBABILITY
        if (
            self._highly_sensitive.get(key, INITIALLY_HIGHLY_SENSITIVE)
            != highly_sensitive
        ):
            self._compatible_shares.clear()
        self._highly_sensitive[key] = highly_sensitive
        self._means[key] = pair.mean

    def slowdown(
        self, serving: str, best_effort_shares: t.Mapping[str, float]
    ) -> float:
        """Return the expected slowdown of ``serving``: 0 for none, 1 for double time.

        :param best_effort_shares: best-effort image -> share of the box's processor
            time that it uses.
        """
        return sum(
            share * self.sensitivity(serving, best_effort)
            for best_effort, share in best_effort_shares.items()
        )

    def slowdown_variance(
        self, serving: str, best_effort_shares: t.Mapping[str, float]
    ) -> float:
        """Return the variance of :meth:`slowdown`."""
        return sum(
            share * share * self._pair(serving, best_effort).variance
            for best_effort, share in best_effort_shares.items()
        )

    def _pair(self, serving: str, best_effort: str) -> _Pair:
        return self._pairs.get(serving, {}).get(best_effort, _INITIAL_PAIR)

    def observe(
        self,
        serving: str,
        busy: float,
        load: float,
        load_variance: float,
        best_effort_shares: t.Mapping[str, float],
    ) -> None:
        """Update the pairs of ``serving`` by a measured busy share.

        :param busy: share of its time that the serving task is busy.
        :param load: share of its time that it would be busy without interference.
        :param best_effort_shares: as for :meth:`slowdown`.
        """
        best_effort_shares = {
            image: x
            for image, x in best_effort_shares.items()
            if x >= MIN_LEARNING_CPU_SHARE
        }
        if not best_effort_shares or not self._learns:
            return
        slowdown = busy / load - 1.0
        expected = self.slowdown(serving, best_effort_shares)
        if busy > SATURATED_BUSY_SHARE and slowdown < expected:
            return
        noise = (BUSY_SHARE_DEVIATION / load) ** 2
        noise += load_variance * ((1.0 + expected) / load) ** 2
        noise *= REPEATED_SAMPLE_FACTOR
        pairs = {
            image: self._get_or_add_pair(serving, image) for image in best_effort_shares
        }
        total_variance = sum(
            x * x * pairs[image].variance for image, x in best_effort_shares.items()
        )
        error = slowdown - expected
        estimates = [(pair.mean, pair.variance) for pair in pairs.values()]
        for (image, share), (mean, variance) in zip(
            best_effort_shares.items(), estimates, strict=True
        ):
            slowdown_of_pair = error + share * mean
            variance_of_others = total_variance - share * share * variance
            pairs[image].update(
                slowdown_of_pair,
                share,
                noise + variance_of_others,
                busy <= SATURATED_BUSY_SHARE,
            )
        for image, pair in pairs.items():
            self._update_cached(serving, image, pair)
        self._changed.add(serving)

    def take_changed_rows(self, max_bytes: int) -> dict[str, bytes]:
        """Return the encoded pairs of serving images updated since the last call.

        :param max_bytes: size limit of the pairs of one image; those known for longest
            are left out.
        """
        rows = {
            serving: _encode(_newest_rows(self._pairs[serving], max_bytes))
            for serving in sorted(self._changed)
        }
        self._changed.clear()
        return rows

    def restore(self, serving: str, data: bytes) -> None:
        """Load the pairs of one serving image that a predecessor stored.

        :raises msgspec.DecodeError: if ``data`` is not what :meth:`take_changed_rows`
            returned.
        """
        known = self._pairs.setdefault(serving, {})
        for row in _rows.decode(data):
            pair = known[row.best_effort] = _Pair()
            pair.log_odds = row.log_odds
            pair.low = _Estimate(row.low, row.low_variance)
            pair.high = _Estimate(row.high, row.high_variance)
            pair.recompute()
            self.add_best_effort_image(row.best_effort)
            self._update_cached(serving, row.best_effort, pair)


def _newest_rows(pairs: t.Mapping[str, _Pair], max_bytes: int) -> list[PairRow]:
    rows = [_row(image, pair) for image, pair in pairs.items()]
    left = max_bytes - MAX_ARRAY_PREFIX_BYTES
    kept = []
    for row in reversed(rows):
        size = len(_encode(row))
        if size <= left:
            left -= size
            kept.append(row)
    return kept[::-1]


def _row(best_effort: str, pair: _Pair) -> PairRow:
    return PairRow(
        best_effort,
        round(pair.log_odds, 2),
        round(pair.low.mean, 2),
        round(pair.low.variance, 3),
        round(pair.high.mean, 2),
        round(pair.high.variance, 3),
    )
