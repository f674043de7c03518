"""What was seen of one worker: outcomes and times of answers, each weighing less as it ages.

All figures halve every `HALF_LIFE_S`. Sums of such counts stay exact when both are as of the same
time, and so do differences: what was seen since a moment is what is seen now, less what was seen
then as it weighs now.

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
"""Longer than it takes a worker to get some requests from all gateways, shorter than an incident
lasts that callers notice."""
SHORTEST_S = 0.002
"""Upper bound of the first bucket of times."""
BUCKETS = 36
"""Half octaves: up to 370 s, beyond the longest time that a route allows."""
NOTHING = 0.01
"""Weights below this are dropped."""


class DecayingCounts:
    """Decaying counts of outcomes and a histogram of answers' times, as of `as_of_s`.

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
        """`retries`: those of the requests that were not a request's first try."""
        self.retries = retries
        self.served = served
        self.failed = failed
        self.refused = refused
        self.buckets = dict(buckets or {})
        self.as_of_s = as_of_s

    @property
    def judged(self) -> float:
        """Requests that tell whether the worker is well."""
        return self.served + self.failed

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left that weighs."""
        return self.judged + self.refused < NOTHING

    def add(self, outcome: ObservedOutcome, seconds: float, now_s: float) -> None:
        """Count a request that ended.

        Served ones tell a time, and so do late ones, which took as long at least: without them
        the answers that are waited for would look ever shorter.
        """
        self.age_to(now_s)
        if outcome in (ObservedOutcome.SERVED, ObservedOutcome.LATE):
            bucket = bucket_of(seconds)
            self.buckets[bucket] = self.buckets.get(bucket, 0.0) + 1.0
        if outcome is ObservedOutcome.SERVED:
            self.served += 1.0
        elif outcome in (ObservedOutcome.FAILED, ObservedOutcome.LATE):
            self.failed += 1.0
        elif outcome is ObservedOutcome.REFUSED:
            self.refused += 1.0

    def age_to(self, now_s: float) -> None:
        """Let the counts weigh what they do at a later time; an earlier one changes nothing."""
        if now_s <= self.as_of_s:
            return
        factor = 0.5 ** ((now_s - self.as_of_s) / HALF_LIFE_S)
        self.as_of_s = now_s
        self.served *= factor
        self.failed *= factor
        self.refused *= factor
        self.retries *= factor
        aged = ((bucket, weight * factor) for bucket, weight in self.buckets.items())
        self.buckets = {bucket: weight for bucket, weight in aged if weight >= NOTHING}

    def as_of(self, now_s: float) -> "DecayingCounts":
        """A copy that weighs what it does at a later time."""
        copied = DecayingCounts(
            self.served, self.failed, self.refused, self.buckets, self.as_of_s, self.retries
        )
        copied.age_to(now_s)
        return copied

    def plus(self, other: "DecayingCounts") -> None:
        """Add counts that are as of the same time."""
        self.served += other.served
        self.failed += other.failed
        self.refused += other.refused
        self.retries += other.retries
        for bucket, weight in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0.0) + weight

    def since(self, earlier: "DecayingCounts") -> "DecayingCounts":
        """What was seen after `earlier`; nothing is ever below zero."""
        before = earlier.as_of(self.as_of_s)
        left = {
            bucket: weight - before.buckets.get(bucket, 0.0)
            for bucket, weight in self.buckets.items()
        }
        return DecayingCounts(
            max(0.0, self.served - before.served),
            max(0.0, self.failed - before.failed),
            max(0.0, self.refused - before.refused),
            {bucket: weight for bucket, weight in left.items() if weight >= NOTHING},
            self.as_of_s,
            max(0.0, self.retries - before.retries),
        )

    def quantile_s(self, share: float) -> float:
        """Time in seconds within which a share of the answers came; 0 without answers.

        The middle of a bucket, so within a fifth of the true one.
        """
        wanted = share * sum(self.buckets.values())
        passed = 0.0
        for bucket in sorted(self.buckets):
            passed += self.buckets[bucket]
            if passed >= wanted:
                return middle_s(bucket)
        return 0.0


def bucket_of(seconds: float) -> int:
    """The bucket of a time.

    >>> bucket_of(0.0), bucket_of(0.002), bucket_of(0.0021), bucket_of(1e9)
    (0, 0, 1, 35)
    """
    if seconds <= SHORTEST_S:
        return 0
    return min(BUCKETS - 1, math.ceil(2 * math.log2(seconds / SHORTEST_S)))


def middle_s(bucket: int) -> float:
    """The time that stands for a bucket, in seconds.

    >>> bucket_of(middle_s(7))
    7
    """
    return SHORTEST_S * float(2 ** (bucket / 2 - 0.25))
