"""A concurrency limit that adapts to latency.

The algorithm and its constants are those of `Gradient2Limit` in Netflix's concurrency-limits
library (Apache-2.0, https://github.com/Netflix/concurrency-limits).
"""

import threading

TOLERANCE = 1.5
"""Ratio of window mean to slow average above which the limit shrinks."""
SMOOTHING = 0.2
"""Weight of the latest estimate."""
QUEUE_ALLOWANCE = 4.0
"""Requests added to each estimate."""
MIN_GRADIENT = 0.5
SLOW_AVERAGE_WINDOWS = 100.0
"""Time constant of the slow average, in windows."""
SLOW_AVERAGE_DECAY = 0.95
"""Factor applied to the slow average while it exceeds twice the window mean."""
WINDOW_SAMPLES = 10
WINDOW_S = 0.1
MIN_LIMIT_SHARE = 1 / 8
"""Lower bound of the limit as a share of its maximum, so that a shift from short to long requests
does not starve a pool until the averages adapt."""


class AdaptiveLimit:
    """Concurrency limit of one request class of a pool; thread-safe."""

    def __init__(self, maximum: int, now_s: float) -> None:
        self._maximum = maximum
        self._limit = float(maximum)
        self._slow_average_s: float | None = None
        self._window_start_s = now_s
        self._window_sum_s = 0.0
        self._window_samples = 0
        self._window_max_running = 0
        self._lock = threading.Lock()

    @property
    def value(self) -> int:
        """Number of requests that may run concurrently."""
        return max(1, int(self._limit))

    def reconfigure(self, maximum: int) -> None:
        """Change the maximum."""
        with self._lock:
            self._maximum = maximum
            self._limit = min(self._limit, float(maximum))

    def record_latency(self, latency_s: float, running: int, now_s: float) -> None:
        """Record the latency of a request and the number of requests running at its end."""
        with self._lock:
            self._window_sum_s += latency_s
            self._window_samples += 1
            self._window_max_running = max(self._window_max_running, running)
            long_enough = now_s - self._window_start_s >= WINDOW_S
            if self._window_samples >= WINDOW_SAMPLES and long_enough:
                self._end_window(now_s)

    def _end_window(self, now_s: float) -> None:
        mean_s = self._window_sum_s / self._window_samples
        max_running = self._window_max_running
        self._window_start_s = now_s
        self._window_sum_s = 0.0
        self._window_samples = 0
        self._window_max_running = 0
        slow_s = self._update_slow_average(mean_s)
        if max_running < self._limit / 2:
            return  # latency below half the limit says nothing about the limit
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE * slow_s / max(mean_s, 1e-6)))
        estimate = self._limit * gradient + QUEUE_ALLOWANCE
        smoothed = self._limit * (1.0 - SMOOTHING) + estimate * SMOOTHING
        minimum = max(1.0, self._maximum * MIN_LIMIT_SHARE)
        self._limit = max(minimum, min(float(self._maximum), smoothed))

    def _update_slow_average(self, mean_s: float) -> float:
        if self._slow_average_s is None:
            self._slow_average_s = mean_s
        self._slow_average_s += (mean_s - self._slow_average_s) / SLOW_AVERAGE_WINDOWS
        if self._slow_average_s > 2.0 * mean_s:
            self._slow_average_s *= SLOW_AVERAGE_DECAY
        return self._slow_average_s
