"""Counts the requests that workers started to run, in the gateway that sent them."""

import threading
from collections.abc import Iterable

from bellweir.hosted.usage.state import WindowCounts
from bellweir.hosted.usage.wall_clock import StableWallClock

MAX_WINDOWS = 8
"""Number of windows kept; a window is reported within two windows of its end."""


class UsageCounter:
    """Counts of one process by window and tenant. Thread-safe.

    Counts only grow, so sending them repeatedly is idempotent.
    """

    def __init__(self, window_s: float, clock: StableWallClock) -> None:
        self._window_s = window_s
        self._clock = clock
        self._lock = threading.Lock()
        self._counts: dict[int, dict[str, int]] = {}
        self._unsent: set[int] = set()

    def record_start(self, tenant: str, monotonic_s: float) -> None:
        """Count a tenant's request that a worker started to run at a monotonic time.

        Requests without a tenant are not counted.
        """
        if not tenant:
            return
        window = int(self._clock.wall_time_s(monotonic_s) // self._window_s)
        with self._lock:
            counts = self._counts.setdefault(window, {})
            counts[tenant] = counts.get(tenant, 0) + 1
            self._unsent.add(window)
            while len(self._counts) > MAX_WINDOWS:
                del self._counts[min(self._counts)]

    def take_unsent(self) -> tuple[WindowCounts, ...]:
        """Return the counts of the windows that have changed since the last call."""
        with self._lock:
            unsent, self._unsent = self._unsent, set()
            return tuple(
                WindowCounts(window, dict(self._counts[window]))
                for window in sorted(unsent)
                if window in self._counts
            )

    def requeue(self, windows: Iterable[WindowCounts]) -> None:
        """Mark windows as unsent again after sending them has failed."""
        with self._lock:
            self._unsent.update(each.window for each in windows)
