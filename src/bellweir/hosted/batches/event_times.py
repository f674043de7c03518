"""How fast each worker makes events, learnt from the streams in hand.

A worker's slowness shows between two events of any of its streams, long before a whole text ends.
Gaps are smoothed for each worker. A gap many times the usual one is a pause (weights that load, a
connection that stalls) and says little of the pace, so that it counts as a few usual ones.

>>> paces = WorkerEventTimes()
>>> for _ in range(200):
...     paces.record_interval(Incarnation("i-1"), 0.04)
...     paces.record_interval(Incarnation("i-2"), 0.12)
>>> [round(paces.of(Incarnation(name)), 2) for name in ("i-1", "i-2", "new")]
[0.04, 0.12, 0.04]
"""

import threading
from collections.abc import Collection

from bellweir.hosted.incarnation import Incarnation

SMOOTHING = 0.05
"""Weight of the newest gap."""
PAUSE_FACTOR = 5.0
"""A gap counts as at most this many times the pace known so far."""
FEWEST_GAPS = 8
"""Gaps after which a worker's pace counts; before, it is taken for as good as the best."""
USUAL_GAP_S = 0.05
"""Seconds between events where nothing is known of any worker."""


class _Pace:
    __slots__ = ("gap_s", "seen")

    def __init__(self) -> None:
        self.gap_s = 0.0
        self.seen = 0


class WorkerEventTimes:
    """Seconds from one event to the next, by worker. Safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._paces: dict[Incarnation, _Pace] = {}

    def record_interval(self, worker: Incarnation, gap_s: float) -> None:
        """Note the time between two events of one stream."""
        with self._lock:
            pace = self._paces.setdefault(worker, _Pace())
            if pace.seen == 0:
                pace.gap_s = gap_s
            else:
                counted_s = min(gap_s, PAUSE_FACTOR * pace.gap_s)
                pace.gap_s += SMOOTHING * (counted_s - pace.gap_s)
            pace.seen += 1

    def of(self, worker: Incarnation) -> float:
        """Return a worker's pace in seconds an event; the best known one for a new worker."""
        with self._lock:
            pace = self._paces.get(worker)
            if pace is not None and pace.seen >= FEWEST_GAPS:
                return pace.gap_s
            known = [one.gap_s for one in self._paces.values() if one.seen >= FEWEST_GAPS]
            return min(known, default=USUAL_GAP_S)

    def retain(self, incarnations: Collection[Incarnation]) -> None:
        """Drop what is known of workers that are gone."""
        with self._lock:
            self._paces = {key: one for key, one in self._paces.items() if key in incarnations}
