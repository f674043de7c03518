"""How the time between SIGTERM and SIGKILL is used, and the guard that a process ends within it."""

import queue
import threading
from collections.abc import Callable

from bellweir.kernel.clock import elapsed_s

STOP_SHARE = 1 / 8
"""Share of the grace period reserved for the stop after the drain, below `LONGEST_STOP_S`."""
LONGEST_STOP_S = 0.7
LAST_SHARE = 1 / 12
"""Share of the grace period in which the process must be gone, below `LONGEST_LAST_S`."""
LONGEST_LAST_S = 0.3


class StopTimes:
    """Moments of a planned stop, in seconds of `elapsed_s`.

    Requests in hand are served until `serve_until_s`. The process ends at `exit_by_s`, whatever is
    left to do; at `end_s` it is killed. All are counted from the signal.

    >>> times = StopTimes(100.0, 8.0)
    >>> round(times.serve_until_s, 3), round(times.exit_by_s, 3)
    (107.3, 107.7)
    >>> times = StopTimes(100.0, 1.0)
    >>> round(times.serve_until_s, 3), round(times.exit_by_s, 3)
    (100.875, 100.917)
    """

    __slots__ = ("end_s", "exit_by_s", "serve_until_s", "signalled_s")

    def __init__(self, signalled_s: float, grace_period_s: float) -> None:
        self.signalled_s = signalled_s
        self.end_s = signalled_s + grace_period_s
        self.serve_until_s = self.end_s - min(LONGEST_STOP_S, STOP_SHARE * grace_period_s)
        self.exit_by_s = self.end_s - min(LONGEST_LAST_S, LAST_SHARE * grace_period_s)


class StopGuard:
    """Ends the process before SIGKILL would, also while it still starts or its stop hangs."""

    __slots__ = ("_end_process", "_grace_period_s", "_lock", "_signals", "times")

    def __init__(self, grace_period_s: float, end_process: Callable[[], None]) -> None:
        """`end_process` is called on the guard's task at `StopTimes.exit_by_s`."""
        self._grace_period_s = grace_period_s
        self._end_process = end_process
        self._lock = threading.Lock()
        self._signals: queue.SimpleQueue[StopTimes | None] = queue.SimpleQueue()
        self.times: StopTimes | None = None
        """Set by the first signal."""

    def signal(self) -> StopTimes:
        """Note that the process is to stop, and return its times; only the first call counts."""
        with self._lock:
            if self.times is None:
                self.times = StopTimes(elapsed_s(), self._grace_period_s)
                self._signals.put(self.times)
            return self.times

    def cancel(self) -> None:
        """End the guard's task without a stop."""
        self._signals.put(None)

    def run(self, _stopping: threading.Event) -> None:
        """Wait for the signal, then for its last moment."""
        times = self._signals.get()
        if times is None:
            return
        while (left_s := times.exit_by_s - elapsed_s()) > 0:
            threading.Event().wait(left_s)
        self._end_process()
