"""Clocks: the real one, and one that tests move by hand.

>>> began_s = elapsed_s()
>>> elapsed_s() >= began_s
True
"""

import threading
import time
from abc import ABC, abstractmethod

ELAPSED_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""`time.monotonic` stands still on Linux while the machine is suspended; this clock does not."""


def elapsed_s() -> float:
    """Return seconds on a clock that never goes back; only differences mean anything.

    The time for which the machine was suspended counts, as it does for every other machine.
    So whatever may go stale, such as a lease, a view or a deadline, is judged by this clock.
    Time-outs of waits and sockets don't count it: they end later by as much.
    """
    return time.clock_gettime(ELAPSED_CLOCK)


class Clock(ABC):
    """Source of time for services; tests pass a `ManualClock`."""

    @abstractmethod
    def monotonic_s(self) -> float:
        """Seconds on a clock that never goes back; only differences mean anything.

        It goes on while the machine is suspended.
        """

    @abstractmethod
    def wall_s(self) -> float:
        """Seconds since 1970 UTC."""

    @abstractmethod
    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait until `event` is set or `timeout_s` passed; return whether it is set."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def monotonic_s(self) -> float:
        """Seconds of `elapsed_s`."""
        return elapsed_s()

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
