"""Counters of the dispatcher."""

import threading
from collections import Counter

from bellweir.routing.interface import DispatchStatistics, Refusal

COMPLETED = "completed"
CANCELLED = "cancelled"
CUT = "cut"


class DispatchCounters:
    """Counts requests, attempts and outcomes since the start of the node; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_outcome: Counter[str] = Counter()
        self._attempts = 0
        self._requests = 0

    def count_request(self) -> None:
        """Count a received request."""
        with self._lock:
            self._requests += 1

    def count_attempt(self) -> None:
        """Count an attempt to send a request to a back end."""
        with self._lock:
            self._attempts += 1

    def count_outcome(self, outcome: str) -> None:
        """Count the end of a request."""
        with self._lock:
            self._by_outcome[outcome] += 1

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a request's refusal by its reason."""
        self.count_outcome(refusal.reason.value)

    def read(self) -> DispatchStatistics:
        """Return the current values."""
        with self._lock:
            return DispatchStatistics(dict(self._by_outcome), self._attempts, self._requests)
