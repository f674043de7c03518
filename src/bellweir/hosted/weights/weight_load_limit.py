"""Adaptive limit on the number of workers that load weights concurrently.

All loads read from one source of limited, unknown bandwidth. The limit starts at a fraction of the
workers, falls while loads take much longer than the fastest one and rises again, at most to the
initial value, while they are fast.

>>> limit = WeightLoadLimit()
>>> limit.max_concurrent(18)
7
>>> limit.record_duration(1.0, 18)
>>> for _ in range(7):
...     limit.record_duration(2.5, 18)
>>> limit.max_concurrent(18)
6
"""

INITIAL_FRACTION = 0.4
"""Initial limit as a fraction of the workers of a service."""
MIN_CONCURRENT = 2
SLOW_FACTOR = 1.6
"""Multiple of the shortest duration from which on a load counts as slow."""
FAST_FACTOR = 1.3
"""Multiple of the shortest duration up to which a load counts as fast."""


class WeightLoadLimit:
    """Limit for the workers of one service; not thread-safe.

    Loads are counted in rounds of as many as the limit. It falls by one after a round in which
    most loads were slow and rises by one after a round in which all were fast.
    """

    __slots__ = ("_fast_count", "_load_count", "_min_duration_s", "_reduction", "_slow_count")

    def __init__(self) -> None:
        self._min_duration_s = float("inf")
        self._reduction = 0
        self._load_count = 0
        self._slow_count = 0
        self._fast_count = 0

    def max_concurrent(self, workers: int) -> int:
        """Return how many of a service's `workers` may load concurrently."""
        guess = max(MIN_CONCURRENT, round(INITIAL_FRACTION * workers))
        return max(MIN_CONCURRENT, guess - self._reduction)

    def record_duration(self, seconds: float, workers: int) -> None:
        """Record a load that was reported as complete `seconds` after the order was accepted."""
        self._min_duration_s = min(self._min_duration_s, seconds)
        self._load_count += 1
        self._slow_count += seconds >= SLOW_FACTOR * self._min_duration_s
        self._fast_count += seconds <= FAST_FACTOR * self._min_duration_s
        if self._load_count < self.max_concurrent(workers):
            return
        if (
            2 * self._slow_count > self._load_count
            and self.max_concurrent(workers) > MIN_CONCURRENT
        ):
            self._reduction += 1
        elif self._fast_count == self._load_count and self._reduction:
            self._reduction -= 1
        self._load_count = self._slow_count = self._fast_count = 0
