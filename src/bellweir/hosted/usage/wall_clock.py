"""Time of day that does not follow the jumps of a machine's clock.

Windows of usage are cut in true time. A machine's clock stays close to it, but may jump by seconds
and return a little later. The time here goes on with the steady clock through such a jump, and
follows the time of day only once the difference has lasted.
"""

import threading
import time
from collections.abc import Callable

JUMP_S = 0.25
"""Difference from which on the clock has jumped; what corrects a clock bit by bit stays below."""
JUMP_CONFIRMATION_S = 15.0
"""Time for which a difference must last to be taken for the truth: three times the five seconds
after which a jumped clock has returned (the default of the platform's rehearsals)."""


class StableWallClock:
    """Seconds since 1970 for one process. Safe for threads."""

    __slots__ = ("_lock", "_monotonic_s", "_off_since_s", "_offset_s", "_wall_s")

    def __init__(
        self,
        wall_s: Callable[[], float] = time.time,
        monotonic_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._wall_s = wall_s
        self._monotonic_s = monotonic_s
        self._lock = threading.Lock()
        self._offset_s = wall_s() - monotonic_s()
        self._off_since_s: float | None = None

    def now_s(self) -> float:
        """Return the true time now."""
        return self.wall_time_s(self._monotonic_s())

    def wall_time_s(self, monotonic_s: float) -> float:
        """Return the true time at a moment of the steady clock."""
        now_s = self._monotonic_s()
        offset_s = self._wall_s() - now_s
        with self._lock:
            self._take(offset_s, now_s)
            return monotonic_s + self._offset_s

    def _take(self, offset_s: float, now_s: float) -> None:
        if abs(offset_s - self._offset_s) < JUMP_S:
            self._offset_s = offset_s
            self._off_since_s = None
        elif self._off_since_s is None:
            self._off_since_s = now_s
        elif now_s - self._off_since_s >= JUMP_CONFIRMATION_S:
            self._offset_s = offset_s
            self._off_since_s = None
