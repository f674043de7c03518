"""Clocks: the real one, and one that tests move by hand."""

import threading
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time for services; tests pass a `ManualClock`."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Seconds on a clock that never goes back; only differences mean anything."""

    @abstractmethod
    def wall_s(self) -> float:
        """Seconds since 1970 UTC."""

    @abstractmethod
    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until `event` is set or `timeout_s` passed; return whether it is set."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def monotonic_s(self) -> float:
        """Seconds of `time.monotonic`."""
        return time.monotonic()

    def wall_s(self) -> float:
        """Seconds of `time.time`."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Block the calling thread on the event."""
        return event.wait(timeout_s)


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start_s: float = 1_000.0) -> None:
        self._condition = threading.Condition()
        self._now_s = start_s

    def monotonic_s(self) -> float:
        """Seconds set so far."""
        return self._now_s

    def wall_s(self) -> float:
        """Seconds set so far."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake whoever waits on it."""
        with self._condition:
            self._now_s += seconds
            self._condition.notify_all()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until the clock has been advanced by `timeout_s` or the event is set."""
        deadline_s = self._now_s + timeout_s
        with self._condition:
            while not event.is_set() and self._now_s < deadline_s:
                self._condition.wait(0.01)
        return event.is_set()
