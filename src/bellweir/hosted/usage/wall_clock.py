"""Wall clock that ignores short jumps of the system clock.

Usage windows are aligned to wall time. The system clock may jump by seconds and be corrected later,
so this clock advances with the monotonic clock and adopts a jump only if it persists.
"""

import threading
import time
from collections.abc import Callable

from bellweir.kernel.clock import elapsed_s

JUMP_THRESHOLD_S = 0.25
"""Smallest offset change treated as a jump; gradual corrections (slewing) stay below it."""
JUMP_CONFIRMATION_S = 15.0
"""Time after which a persistent jump is adopted: three times the 5 s after which a clock that
jumped usually returns."""


class StableWallClock:
    """Seconds since the Unix epoch for one process. Thread-safe."""

    __slots__ = ("_jump_since_s", "_lock", "_monotonic_s", "_offset_s", "_wall_s")

    def __init__(
        self,
        wall_s: Callable[[], float] = time.time,
        monotonic_s: Callable[[], float] = elapsed_s,
    ) -> None:
        self._wall_s = wall_s
        self._monotonic_s = monotonic_s
        self._lock = threading.Lock()
        self._offset_s = wall_s() - monotonic_s()
        self._jump_since_s: float | None = None

    def now_s(self) -> float:
        """Return the current wall time."""
        return self.wall_time_s(self._monotonic_s())

    def wall_time_s(self, monotonic_s: float) -> float:
        """Return the wall time at a monotonic time."""
        now_s = self._monotonic_s()
        offset_s = self._wall_s() - now_s
        with self._lock:
            self._update_offset(offset_s, now_s)
            return monotonic_s + self._offset_s

    def _update_offset(self, offset_s: float, now_s: float) -> None:
        if abs(offset_s - self._offset_s) < JUMP_THRESHOLD_S:
            self._offset_s = offset_s
            self._jump_since_s = None
        elif self._jump_since_s is None:
            self._jump_since_s = now_s
        elif now_s - self._jump_since_s >= JUMP_CONFIRMATION_S:
            self._offset_s = offset_s
            self._jump_since_s = None
