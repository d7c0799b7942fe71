"""Learns which images disturb which. The model: a serving task is busy for a share of
its time; an image that fills beside it stretches its work in proportion to the
processor time that it takes. How strongly differs by pair of images and stays; looks
show that a pair is either weak or strong, hardly anything between. So for each pair
both are kept, each with its own estimate, and the odds between them."""

import math
import typing as t

import msgspec

from .unloadedtails import UnloadedTails

__all__ = ["Interference", "PairRow"]

# Strength: by how much a pair stretches work when the filler takes the whole box.
# Means and variances of weak and of strong pairs, and the share of strong ones. They
# stand for a pair until looks tell.
WEAK: t.Final = 0.4
WEAK_VARIANCE: t.Final = 0.09
STRONG: t.Final = 4.6
STRONG_VARIANCE: t.Final = 3.0
STRONG_SHARE: t.Final = 0.5
STRONGEST: t.Final = 10.0
# Figures are rough: deviation of a busy share from the fitted model, same looks.
BUSY_NOISE: t.Final = 0.08
# Looks that follow each other show much of the same figures, so each counts less.
REPEATED: t.Final = 2.0
# A pair can always be believed otherwise again within a few looks.
MOST_LOG_ODDS: t.Final = 6.0
# No estimate is taken for more certain than this (as a variance).
LEAST_VARIANCE: t.Final = 0.02
# Below this share of a box nothing is learnt of an image.
LEAST_SHARE: t.Final = 0.01
# A task this busy may be busier than can be told from its tail.
SATURATED: t.Final = 0.9


class PairRow(msgspec.Struct, frozen=True, array_like=True):
    """What is kept of a pair, so that a successor need not learn it again."""

    filler: str
    log_odds: float
    weak: float
    weak_variance: float
    strong: float
    strong_variance: float


_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(list[PairRow])


class _Belief:
    """A Gaussian estimate of a strength."""

    __slots__ = ("mean", "variance")

    def __init__(self, mean: float, variance: float) -> None:
        self.mean = mean
        self.variance = variance

    def surprise(self, stretch: float, share: float, noise: float) -> float:
        """Return the log-likelihood of ``stretch``, up to a constant."""
        variance = noise + share * share * self.variance
        error = stretch - share * self.mean
        return -0.5 * (error * error / variance + math.log(variance))

    def learn(
        self, stretch: float, share: float, noise: float, bounds: tuple[float, float]
    ) -> None:
        """Correct the estimate by what was seen (a Kalman step)."""
        variance = noise + share * share * self.variance
        gain = share * self.variance / variance
        mean = self.mean + gain * (stretch - share * self.mean)
        self.mean = max(bounds[0], min(bounds[1], mean))
        self.variance = max(LEAST_VARIANCE, self.variance * (1.0 - gain * share))


class _Pair:
    """What is believed of one pair of images.

    :ivar chance_strong: how likely it is that the pair is a strong one.
    :ivar mean: the expected strength, and ``variance`` its variance. They are asked far
        more often than they change.
    """

    __slots__ = ("chance_strong", "log_odds", "mean", "strong", "variance", "weak")

    def __init__(self) -> None:
        self.log_odds = math.log(STRONG_SHARE / (1.0 - STRONG_SHARE))
        self.weak = _Belief(WEAK, WEAK_VARIANCE)
        self.strong = _Belief(STRONG, STRONG_VARIANCE)
        self.settle()

    def settle(self) -> None:
        """Work out what follows from the odds and the two estimates."""
        chance = self.chance_strong = 1.0 / (1.0 + math.exp(-self.log_odds))
        apart = self.strong.mean - self.weak.mean
        within = chance * self.strong.variance + (1.0 - chance) * self.weak.variance
        self.mean = chance * self.strong.mean + (1.0 - chance) * self.weak.mean
        self.variance = within + chance * (1.0 - chance) * apart * apart

    def learn(self, stretch: float, share: float, noise: float, exact: bool) -> None:
        """Learn from the stretch that this pair alone must have caused.

        :param exact: whether the stretch was measured, not only known to be so great.
        """
        gained = self.strong.surprise(stretch, share, noise)
        gained -= self.weak.surprise(stretch, share, noise)
        odds = self.log_odds + gained
        self.log_odds = max(-MOST_LOG_ODDS, min(MOST_LOG_ODDS, odds))
        if exact:
            chance = 1.0 / (1.0 + math.exp(-self.log_odds))
            # Each estimate learns as far as it is the one that holds.
            if chance > 0.5:
                self.strong.learn(stretch, share, noise / chance, (1.5, STRONGEST))
            else:
                self.weak.learn(stretch, share, noise / (1.0 - chance), (0.0, 1.2))
        self.settle()


_UNSEEN: t.Final = _Pair()
UNSEEN_SENSITIVITY: t.Final = _UNSEEN.mean
UNSEEN_STRONG: t.Final = _UNSEEN.chance_strong >= STRONG_SHARE


class Interference:
    """Strengths by pair of images, and how short the tails of idle ones are.

    :param learns: whether looks change what is believed of pairs.
    :param learns_tails: whether they change what is believed of idle tails.
    """

    def __init__(self, learns: bool = True, learns_tails: bool = True) -> None:
        self._learns = learns
        self._pairs: dict[str, dict[str, _Pair]] = {}
        self._changed: set[str] = set()
        # What is asked for each box and task is kept ready, by (serving, filler).
        self._means: dict[tuple[str, str], float] = {}
        self._strong: dict[tuple[str, str], bool] = {}
        self._compatible_shares: dict[frozenset[str], float] = {}
        self.fillers: set[str] = set()
        self.unloaded_tails = UnloadedTails(learns_tails)

    def sensitivity(self, serving: str, filler: str) -> float:
        """Return by how much ``filler`` stretches ``serving`` with a whole box."""
        return self._means.get((serving, filler), UNSEEN_SENSITIVITY)

    def strong(self, serving: str, filler: str) -> bool:
        """Say whether ``filler`` is known or must be expected to disturb ``serving``."""
        return self._strong.get((serving, filler), UNSEEN_STRONG)

    def compatible_share(self, serving: t.Collection[str]) -> float:
        """Return the share of the images that fill which disturb none of ``serving``."""
        if not serving or not self.fillers:
            return 1.0
        images = frozenset(serving)
        share = self._compatible_shares.get(images)
        if share is None:
            harmless = sum(
                not any(self.strong(image, filler) for image in images)
                for filler in self.fillers
            )
            share = self._compatible_shares[images] = harmless / len(self.fillers)
        return share

    def add_filler(self, image: str) -> None:
        """Note that an image fills."""
        if image not in self.fillers:
            self.fillers.add(image)
            self._compatible_shares.clear()

    def _known_pair(self, serving: str, filler: str) -> _Pair:
        """Return a pair of which something may be learnt."""
        known = self._pairs.setdefault(serving, {})
        pair = known.get(filler)
        if pair is None:
            pair = known[filler] = _Pair()
            self.add_filler(filler)
        return pair

    def _learnt(self, serving: str, filler: str, pair: _Pair) -> None:
        """Keep ready what is asked of a pair."""
        key = (serving, filler)
        strong = pair.chance_strong >= STRONG_SHARE
        if self._strong.get(key, UNSEEN_STRONG) != strong:
            self._compatible_shares.clear()
        self._strong[key] = strong
        self._means[key] = pair.mean

    def stretch(self, serving: str, beside: t.Mapping[str, float]) -> float:
        """Return by how much the work of ``serving`` is expected to be stretched.

        :param beside: image that fills -> share of the box's processors it takes.
        """
        return sum(
            share * self.sensitivity(serving, filler)
            for filler, share in beside.items()
        )

    def doubt(self, serving: str, beside: t.Mapping[str, float]) -> float:
        """Return the variance of :meth:`stretch`."""
        return sum(
            share * share * self._pair(serving, filler).variance
            for filler, share in beside.items()
        )

    def _pair(self, serving: str, filler: str) -> _Pair:
        return self._pairs.get(serving, {}).get(filler, _UNSEEN)

    def saw(
        self,
        serving: str,
        busy: float,
        load: float,
        load_variance: float,
        beside: t.Mapping[str, float],
    ) -> None:
        """Learn from a serving task seen ``busy``.

        :param load: for which share of its time it would be busy undisturbed.
        :param beside: as for :meth:`stretch`.
        """
        beside = {image: x for image, x in beside.items() if x >= LEAST_SHARE}
        if not beside or not self._learns:
            return
        stretch = busy / load - 1.0
        expected = self.stretch(serving, beside)
        if busy > SATURATED and stretch < expected:
            return
        noise = (BUSY_NOISE / load) ** 2
        noise += load_variance * ((1.0 + expected) / load) ** 2
        noise *= REPEATED
        pairs = {image: self._known_pair(serving, image) for image in beside}
        unsure = sum(x * x * pairs[image].variance for image, x in beside.items())
        error = stretch - expected
        believed = [(pair.mean, pair.variance) for pair in pairs.values()]
        for (image, share), (mean, variance) in zip(
            beside.items(), believed, strict=True
        ):
            alone = error + share * mean
            unsure_of_others = unsure - share * share * variance
            pairs[image].learn(
                alone, share, noise + unsure_of_others, busy <= SATURATED
            )
        for image, pair in pairs.items():
            self._learnt(serving, image, pair)
        self._changed.add(serving)

    def take_rows(self) -> dict[str, bytes]:
        """Return what was learnt since the last call, by serving image."""
        rows = {
            serving: _encode(
                [_row(image, p) for image, p in self._pairs[serving].items()]
            )
            for serving in self._changed
        }
        self._changed.clear()
        return rows

    def restore(self, serving: str, data: bytes) -> None:
        """Take up what a predecessor learnt of one serving image.

        :raises msgspec.DecodeError: if ``data`` is not what :meth:`take_rows` gave.
        """
        known = self._pairs.setdefault(serving, {})
        for row in _rows.decode(data):
            pair = known[row.filler] = _Pair()
            pair.log_odds = row.log_odds
            pair.weak = _Belief(row.weak, row.weak_variance)
            pair.strong = _Belief(row.strong, row.strong_variance)
            pair.settle()
            self.add_filler(row.filler)
            self._learnt(serving, row.filler, pair)


def _row(filler: str, pair: _Pair) -> PairRow:
    return PairRow(
        filler,
        round(pair.log_odds, 2),
        round(pair.weak.mean, 2),
        round(pair.weak.variance, 3),
        round(pair.strong.mean, 2),
        round(pair.strong.variance, 3),
    )
