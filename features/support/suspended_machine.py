"""A machine that is suspended: its boot clock and time of day go on, its steady clock does not."""

import time
from contextlib import AbstractContextManager


class SuspendedMachine(AbstractContextManager):
    """Replaces this process's clocks while it is entered; `suspend` takes no real time."""

    def __init__(self):
        self._suspended_s = 0.0

    def suspend(self, seconds):
        """Let `seconds` pass in which nothing runs."""
        self._suspended_s += seconds

    def __enter__(self):
        self._clock_gettime, self._time = time.clock_gettime, time.time
        time.clock_gettime = self._elapsed_s
        time.time = lambda: self._time() + self._suspended_s
        return self

    def __exit__(self, *_failure):
        time.clock_gettime, time.time = self._clock_gettime, self._time

    def _elapsed_s(self, clock):
        counts_it = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._clock_gettime(clock) + (self._suspended_s if counts_it else 0.0)
