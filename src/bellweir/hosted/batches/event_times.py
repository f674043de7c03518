"""Estimates each worker's time per event from its event streams.

The intervals between events are smoothed by worker. Long intervals (a weight load, a stalled
connection) are capped, because they say little about the speed of a worker.

>>> event_times = WorkerEventTimes()
>>> for _ in range(200):
...     event_times.record_interval(Incarnation("i-1"), 0.04)
...     event_times.record_interval(Incarnation("i-2"), 0.12)
>>> [round(event_times.of(Incarnation(name)), 2) for name in ("i-1", "i-2", "new")]
[0.04, 0.12, 0.04]
"""

import threading
from collections.abc import Collection

from bellweir.hosted.incarnation import Incarnation

SMOOTHING_FACTOR = 0.05
"""Weight of the newest interval in the moving average."""
MAX_INTERVAL_FACTOR = 5.0
"""An interval is capped at this many times the current average."""
MIN_INTERVALS = 8
"""Intervals before a worker's own average is used; until then, the best known one is."""
DEFAULT_TIME_PER_EVENT_S = 0.05
"""Used while no worker has an average yet."""


class _EventTime:
    __slots__ = ("count", "interval_s")

    def __init__(self) -> None:
        self.interval_s = 0.0
        self.count = 0


class WorkerEventTimes:
    """Smoothed seconds per event, by worker. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._event_times: dict[Incarnation, _EventTime] = {}

    def record_interval(self, worker: Incarnation, interval_s: float) -> None:
        """Record the time between two events of one stream."""
        with self._lock:
            event_time = self._event_times.setdefault(worker, _EventTime())
            if event_time.count == 0:
                event_time.interval_s = interval_s
            else:
                counted_s = min(interval_s, MAX_INTERVAL_FACTOR * event_time.interval_s)
                event_time.interval_s += SMOOTHING_FACTOR * (counted_s - event_time.interval_s)
            event_time.count += 1

    def of(self, worker: Incarnation) -> float:
        """Return a worker's seconds per event; for a new worker, the best known value."""
        with self._lock:
            event_time = self._event_times.get(worker)
            if event_time is not None and event_time.count >= MIN_INTERVALS:
                return event_time.interval_s
            known = [
                one.interval_s for one in self._event_times.values() if one.count >= MIN_INTERVALS
            ]
            return min(known, default=DEFAULT_TIME_PER_EVENT_S)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the state of all other workers."""
        with self._lock:
            self._event_times = {
                key: one for key, one in self._event_times.items() if key in incarnations
            }
