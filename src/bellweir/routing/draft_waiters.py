"""Bounded waiting of drafts for engine capacity."""

import threading

from bellweir.kernel.clock import Clock

MAX_DRAFT_WAIT_S = 2.0
"""After this a draft is refused and may be retried later."""
CAPACITY_POLL_INTERVAL_S = 0.02
MAX_WAITING_DRAFTS = 8
"""Per pool; low, as each waiting draft holds a thread that interactive requests need."""


class DraftWaiters:
    """Counts the drafts of one pool that wait for capacity; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting = 0

    def wait_before_recheck(self, began_s: float, deadline_s: float) -> bool:
        """Wait for one poll interval; return False at once if the draft must be refused."""
        if self._clock.monotonic_s() >= min(deadline_s, began_s + MAX_DRAFT_WAIT_S):
            return False
        with self._lock:
            if self._waiting >= MAX_WAITING_DRAFTS:
                return False
            self._waiting += 1
        try:
            self._clock.wait(threading.Event(), CAPACITY_POLL_INTERVAL_S)
        finally:
            with self._lock:
                self._waiting -= 1
        return True
