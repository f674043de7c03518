"""Circuit breaker of one back end; half-open, it permits one trial request at a time."""

import random
from enum import Enum

OPEN_JITTER = 0.5
"""Random extension of the open time, so that nodes do not retry simultaneously."""


class CircuitState(Enum):
    """State of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Circuit breaker on consecutive failures. Not thread-safe: guarded by the back end's lock."""

    def __init__(self, failures_to_open: int, open_s: float) -> None:
        self._failures_to_open = failures_to_open
        self._open_s = open_s
        self._failures = 0
        self._open_until_s = 0.0
        self._trial_running = False
        self.opened_s = 0.0
        self.state = CircuitState.CLOSED

    def permits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        if self.state is CircuitState.CLOSED:
            return True
        if self.state is CircuitState.OPEN:
            return now_s >= self._open_until_s
        return not self._trial_running

    def record_start(self, now_s: float) -> None:
        """Record the start of a request; the first one after the open time is the trial."""
        if self.state is CircuitState.OPEN and now_s >= self._open_until_s:
            self.state = CircuitState.HALF_OPEN
        if self.state is CircuitState.HALF_OPEN:
            self._trial_running = True

    def record_success(self) -> bool:
        """Close the circuit; return whether its state changed."""
        was_closed = self.state is CircuitState.CLOSED
        self.state = CircuitState.CLOSED
        self.opened_s = 0.0
        self._failures = 0
        self._trial_running = False
        return not was_closed

    def record_failure(self, now_s: float) -> bool:
        """Count a failure; return whether the circuit changed from closed to open."""
        self._failures += 1
        was_closed = self.state is CircuitState.CLOSED
        if was_closed and self._failures < self._failures_to_open:
            return False
        self.state = CircuitState.OPEN
        self._trial_running = False
        self.opened_s = now_s
        self._open_until_s = now_s + self._open_s * (1.0 + random.random() * OPEN_JITTER)
        return was_closed

    def record_abandoned(self) -> None:
        """Record the end of a request that says nothing about the back end's health."""
        self._trial_running = False
