"""A few drafts may wait a little until an engine has room for them."""

import threading

from bellweir.kernel.clock import Clock

ROOM_WAIT_S = 2.0
"""Longest wait of one draft; then it is refused and comes back later."""
ROOM_POLL_S = 0.02
WAITING_DRAFTS = 8
"""Drafts of one pool that wait at once: enough to use room as it opens, few enough to leave the
threads to requests that callers wait for."""


class DraftWaiters:
    """Counts the drafts of one pool that wait for room; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._waiting = 0

    def wait_before_recheck(self, began_s: float, deadline_s: float) -> bool:
        """Wait until it is worth looking again; False when this draft has to be refused."""
        if self._clock.monotonic_s() >= min(deadline_s, began_s + ROOM_WAIT_S):
            return False
        with self._lock:
            if self._waiting >= WAITING_DRAFTS:
                return False
            self._waiting += 1
        try:
            self._clock.wait(threading.Event(), ROOM_POLL_S)
        finally:
            with self._lock:
                self._waiting -= 1
        return True
