"""Retry budget of one pool, replenished by successful requests, and retry backoff."""

import random
import threading

RESERVE_RETRIES = 10.0
"""Retries permitted without any success."""
WINDOW_S = 10.0
"""Period over which unused retries above the reserve decay."""
INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.25


class RetryBudget:
    """A token bucket filled by successes, as in Finagle's `RetryBudget`; thread-safe.

    With ratio r, it permits at most `RESERVE_RETRIES` plus r retries per success, so that in a
    total outage the number of attempts per request approaches 1.
    """

    def __init__(self, ratio: float, now_s: float) -> None:
        self.ratio = ratio
        self._balance = RESERVE_RETRIES
        self._refilled_s = now_s
        self._lock = threading.Lock()

    def record_success(self, now_s: float) -> None:
        """Add the budget earned by one success."""
        with self._lock:
            self._decay(now_s)
            self._balance += self.ratio

    def withdraw(self, now_s: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        with self._lock:
            self._decay(now_s)
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True

    def _decay(self, now_s: float) -> None:
        """Reduce the balance above the reserve by the elapsed share of the window."""
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        surplus = self._balance - RESERVE_RETRIES
        if surplus > 0:
            self._balance = RESERVE_RETRIES + surplus * max(0.0, 1.0 - elapsed_s / WINDOW_S)


def backoff_s(retry: int) -> float:
    """Return the wait before a retry (from 1): exponential backoff with full jitter."""
    bound_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * (1 << min(retry, 16)))
    return random.uniform(0.0, bound_s)
