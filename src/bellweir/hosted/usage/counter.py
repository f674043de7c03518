"""Requests that began to run, counted where they were sent from."""

import threading
from collections.abc import Iterable

from bellweir.hosted.usage.state import WindowCounts
from bellweir.hosted.usage.wall_clock import StableWallClock

KEPT_WINDOWS = 8
"""Windows whose counts are kept, oldest first to go; a report is due two windows after its end."""


class UsageCounter:
    """Counts of one process by window and tenant. Safe for threads.

    Counts only grow, so that telling them again, or a newer state of them, does no harm.
    """

    def __init__(self, window_s: float, clock: StableWallClock) -> None:
        self._window_s = window_s
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: dict[int, dict[str, int]] = {}
        self._unsent: set[int] = set()

    def record_start(self, tenant: str, monotonic_s: float) -> None:
        """Count a request of a tenant that a worker began to run at a moment of the steady clock.

        Requests without a tenant are nobody's use.
        """
        if not tenant:
            return
        window = int(self._clock.wall_time_s(monotonic_s) // self._window_s)
        with self._lock:
            counts = self._counts.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1
            self._unsent.add(window)
            while len(self._counts) > KEPT_WINDOWS:
                del self._counts[min(self._counts)]

    def take_unsent(self) -> tuple[WindowCounts, ...]:
        """Return the counts of windows that have changed since they were taken last."""
        with self._lock:
            unsent, self._unsent = self._unsent, set()
            return tuple(
                WindowCounts(window, dict(self._counts[window]))
                for window in sorted(unsent)
                if window in self._counts
            )

    def requeue(self, windows: Iterable[WindowCounts]) -> None:
        """Count windows among the untold ones again: their telling has failed."""
        with self._lock:
            self._unsent.update(each.window for each in windows)
