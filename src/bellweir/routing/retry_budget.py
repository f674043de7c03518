"""Retry budget of one pool: retries are paid for by recent successes."""

import random
import threading

RESERVE_RETRIES = 10.0
"""Retries a pool may make before its first success."""
WINDOW_S = 10.0
"""Unused retries are worth nothing after about this time."""
BACKOFF_FIRST_S = 0.005
BACKOFF_LONGEST_S = 0.25


class RetryBudget:
    """A token bucket filled by successes, as in Finagle's `RetryBudget`; thread-safe.

    With ratio r, at most `RESERVE_RETRIES` plus r retries for each success are made, so under
    a total outage the attempts for each request go towards 1.
    """

    def __init__(self, ratio: float, now_s: float) -> None:
        self.ratio = ratio
        self._balance = RESERVE_RETRIES
        self._refilled_s = now_s
        self._lock = threading.Lock()

    def record_success(self, now_s: float) -> None:
        """Pay in the share of one success."""
        with self._lock:
            self._decay(now_s)
            self._balance += self.ratio

    def withdraw(self, now_s: float) -> bool:
        """Take one retry; False when the budget is spent."""
        with self._lock:
            self._decay(now_s)
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True

    def _decay(self, now_s: float) -> None:
        """Let what lies above the reserve fade over the window."""
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        surplus = self._balance - RESERVE_RETRIES
        if surplus > 0:
            self._balance = RESERVE_RETRIES + surplus * max(0.0, 1.0 - elapsed_s / WINDOW_S)


def backoff_s(retry: int) -> float:
    """Wait before a retry, counted from 1: full jitter under a doubling bound."""
    bound_s = min(BACKOFF_LONGEST_S, BACKOFF_FIRST_S * (1 << min(retry, 16)))
    return random.uniform(0.0, bound_s)
