"""A concurrency limit that follows the latency seen.

The algorithm is `Gradient2Limit` of Netflix's concurrency-limits library (Apache-2.0,
https://github.com/Netflix/concurrency-limits): the mean latency of a short window is compared
with a slow average; while the window is slower than the tolerance allows, the limit shrinks in
proportion, otherwise it grows by a small allowance for queueing. Its constants are kept.
"""

import threading

TOLERANCE = 1.5
"""A window may be this much slower than the slow average before the limit shrinks."""
SMOOTHING = 0.2
"""Weight of the newest estimate in the limit."""
QUEUE_ALLOWANCE = 4.0
"""Requests that the limit may grow by at each window."""
LOWEST_GRADIENT = 0.5
SLOW_AVERAGE_WINDOWS = 100.0
"""Windows over which the slow average is taken."""
DRIFT = 0.95
"""The slow average shrinks by this when it is above twice the window's: after a slow period."""
WINDOW_SAMPLES = 10
WINDOW_S = 0.1
MIN_LIMIT_SHARE = 1 / 8
"""The limit never falls below this share of its maximum, so that a shift of the work from short
to long requests does not starve a pool while the averages follow."""


class AdaptiveLimit:
    """The limit of one class of one pool; thread-safe."""

    def __init__(self, maximum: int, now_s: float) -> None:
        self._maximum = maximum
        self._limit = float(maximum)
        self._slow_average_s: float | None = None
        self._window_began_s = now_s
        self._window_sum_s = 0.0
        self._window_samples = 0
        self._window_most_running = 0
        self._lock = threading.Lock()

    @property
    def value(self) -> int:
        """Requests that may run at once."""
        return max(1, int(self._limit))

    def reconfigure(self, maximum: int) -> None:
        """Take over another maximum."""
        with self._lock:
            self._maximum = maximum
            self._limit = min(self._limit, float(maximum))

    def record_latency(self, latency_s: float, running: int, now_s: float) -> None:
        """Take the latency of one request, and the requests running when it ended."""
        with self._lock:
            self._window_sum_s += latency_s
            self._window_samples += 1
            self._window_most_running = max(self._window_most_running, running)
            long_enough = now_s - self._window_began_s >= WINDOW_S
            if self._window_samples >= WINDOW_SAMPLES and long_enough:
                self._end_window(now_s)

    def _end_window(self, now_s: float) -> None:
        mean_s = self._window_sum_s / self._window_samples
        most_running = self._window_most_running
        self._window_began_s = now_s
        self._window_sum_s = 0.0
        self._window_samples = 0
        self._window_most_running = 0
        slow_s = self._follow(mean_s)
        if most_running < self._limit / 2:
            return  # the load did not use the limit, so its latency says nothing about it
        gradient = max(LOWEST_GRADIENT, min(1.0, TOLERANCE * slow_s / max(mean_s, 1e-6)))
        estimate = self._limit * gradient + QUEUE_ALLOWANCE
        smoothed = self._limit * (1.0 - SMOOTHING) + estimate * SMOOTHING
        lowest = max(1.0, self._maximum * MIN_LIMIT_SHARE)
        self._limit = max(lowest, min(float(self._maximum), smoothed))

    def _follow(self, mean_s: float) -> float:
        if self._slow_average_s is None:
            self._slow_average_s = mean_s
        self._slow_average_s += (mean_s - self._slow_average_s) / SLOW_AVERAGE_WINDOWS
        if self._slow_average_s > 2.0 * mean_s:
            self._slow_average_s *= DRIFT
        return self._slow_average_s
