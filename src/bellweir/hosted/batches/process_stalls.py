"""Measures stalls of this process, from the delay of its periodic ticks.

A process that is starved of CPU, collects garbage or waits for the interpreter lock reads no events
meanwhile, so that all workers look silent at once. Time lost to stalls must not count as silence.

>>> stalls = ProcessStalls(max_interval_s=0.1)
>>> for now_s in (1.0, 1.1, 1.7):
...     stalls.record_tick(now_s)
>>> round(stalls.total_since(1.0), 2), round(stalls.total_since(1.6), 2), stalls.total_since(1.7)
(0.5, 0.1, 0.0)
"""

from collections import deque

MAX_STALLS = 64


class ProcessStalls:
    """Records stalls. Not thread-safe; all times are monotonic."""

    def __init__(self, max_interval_s: float) -> None:
        """Ticks up to `max_interval_s` apart are no stall."""
        self._max_interval_s = max_interval_s
        self._last_tick_s: float | None = None
        self._stalls: deque[tuple[float, float]] = deque(maxlen=MAX_STALLS)
        """End and duration in seconds of each."""

    def record_tick(self, now_s: float) -> None:
        """Record a tick of the periodic task."""
        if self._last_tick_s is not None:
            late_s = now_s - self._last_tick_s - self._max_interval_s
            if late_s > 0:
                self._stalls.append((now_s, late_s))
        self._last_tick_s = now_s

    def total_since(self, from_s: float) -> float:
        """Return the seconds for which the process was stalled since `from_s`."""
        stalled_s = [
            min(late_s, end_s - from_s) for end_s, late_s in self._stalls if end_s > from_s
        ]
        return sum(stalled_s, 0.0)
