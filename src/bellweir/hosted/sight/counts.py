"""Exponentially decaying counts of the outcomes and latencies of one worker's requests.

Weights halve every `HALF_LIFE_S`. Counts as of the same time add and subtract exactly.

>>> counts = DecayingCounts()
>>> for seconds in (0.1, 0.1, 0.4): counts.add(ObservedOutcome.SERVED, seconds, now_s=0.0)
>>> counts.served, 0.08 < counts.quantile_s(0.5) < 0.13
(3.0, True)
>>> counts.as_of(HALF_LIFE_S).served
1.5
"""

import math
from collections.abc import Mapping

from bellweir.hosted.sight.interface import ObservedOutcome

HALF_LIFE_S = 8.0
"""Longer than it takes a worker to get some requests from all gateways, and shorter than an
incident that callers notice."""
FIRST_BUCKET_S = 0.002
"""Upper bound of the first latency bucket."""
BUCKET_COUNT = 36
"""Two buckets per octave, up to 370 s: beyond the longest timeout of a route."""
MIN_WEIGHT = 0.01
"""Lower weights are dropped."""


class DecayingCounts:
    """Counts of outcomes and a latency histogram, as of `as_of_s`.

    Not safe for threads.
    """

    __slots__ = ("as_of_s", "buckets", "failed", "refused", "retries", "served")

    def __init__(
        self,
        served: float = 0.0,
        failed: float = 0.0,
        refused: float = 0.0,
        buckets: Mapping[int, float] | None = None,
        as_of_s: float = 0.0,
        retries: float = 0.0,
    ) -> None:
        """`retries`: requests that were not the first attempt."""
        self.retries = retries
        self.served = served
        self.failed = failed
        self.refused = refused
        self.buckets = dict(buckets or {})
        self.as_of_s = as_of_s

    @property
    def completed(self) -> float:
        """Requests whose outcome says something about the worker's health."""
        return self.served + self.failed

    @property
    def is_empty(self) -> bool:
        """Whether the remaining weight is negligible."""
        return self.completed + self.refused < MIN_WEIGHT

    def add(self, outcome: ObservedOutcome, seconds: float, now_s: float) -> None:
        """Count a finished request.

        Late requests count in the latency histogram with the time until they were given up, a lower
        bound. Without them, timeouts derived from the histogram would shrink with every request
        given up.
        """
        self.decay_to(now_s)
        if outcome in (ObservedOutcome.SERVED, ObservedOutcome.LATE):
            bucket = bucket_of(seconds)
            self.buckets[bucket] = self.buckets.get(bucket, 0.0) + 1.0
        if outcome is ObservedOutcome.SERVED:
            self.served += 1.0
        elif outcome in (ObservedOutcome.FAILED, ObservedOutcome.LATE):
            self.failed += 1.0
        elif outcome is ObservedOutcome.REFUSED:
            self.refused += 1.0

    def decay_to(self, now_s: float) -> None:
        """Decay the counts to a later time; an earlier time has no effect."""
        if now_s <= self.as_of_s:
            return
        factor = 0.5 ** ((now_s - self.as_of_s) / HALF_LIFE_S)
        self.as_of_s = now_s
        self.served *= factor
        self.failed *= factor
        self.refused *= factor
        self.retries *= factor
        aged = ((bucket, weight * factor) for bucket, weight in self.buckets.items())
        self.buckets = {bucket: weight for bucket, weight in aged if weight >= MIN_WEIGHT}

    def as_of(self, now_s: float) -> "DecayingCounts":
        """A copy decayed to a later time."""
        copied = DecayingCounts(
            self.served, self.failed, self.refused, self.buckets, self.as_of_s, self.retries
        )
        copied.decay_to(now_s)
        return copied

    def merge(self, other: "DecayingCounts") -> None:
        """Add counts as of the same time."""
        self.served += other.served
        self.failed += other.failed
        self.refused += other.refused
        self.retries += other.retries
        for bucket, weight in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0.0) + weight

    def since(self, earlier: "DecayingCounts") -> "DecayingCounts":
        """What was observed after `earlier`; no weight is negative."""
        before = earlier.as_of(self.as_of_s)
        left = {
            bucket: weight - before.buckets.get(bucket, 0.0)
            for bucket, weight in self.buckets.items()
        }
        return DecayingCounts(
            max(0.0, self.served - before.served),
            max(0.0, self.failed - before.failed),
            max(0.0, self.refused - before.refused),
            {bucket: weight for bucket, weight in left.items() if weight >= MIN_WEIGHT},
            self.as_of_s,
            max(0.0, self.retries - before.retries),
        )

    def quantile_s(self, share: float) -> float:
        """Latency quantile in seconds; 0 without answers.

        Returns the middle of a bucket, within 20% of the exact quantile.
        """
        wanted = share * sum(self.buckets.values())
        passed = 0.0
        for bucket in sorted(self.buckets):
            passed += self.buckets[bucket]
            if passed >= wanted:
                return bucket_middle_s(bucket)
        return 0.0


def bucket_of(seconds: float) -> int:
    """Index of the bucket for a latency.

    >>> bucket_of(0.0), bucket_of(0.002), bucket_of(0.0021), bucket_of(1e9)
    (0, 0, 1, 35)
    """
    if seconds <= FIRST_BUCKET_S:
        return 0
    return min(BUCKET_COUNT - 1, math.ceil(2 * math.log2(seconds / FIRST_BUCKET_S)))


def bucket_middle_s(bucket: int) -> float:
    """Latency in seconds that represents a bucket.

    >>> bucket_of(bucket_middle_s(7))
    7
    """
    return FIRST_BUCKET_S * float(2 ** (bucket / 2 - 0.25))
