"""What a soak has sent on purpose to crash workers."""

import math
import threading
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CrashingCall:
    """A request or stream that ends each worker that runs it."""

    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CrashingJob:
    """A batch job some of whose items end each engine that runs them."""

    job_id: str
    bodies: dict[str, bytes]
    """Bodies of the crashing items, by id."""
    others: tuple[str, ...]
    """Items that crash nothing."""


@dataclass(slots=True)
class CrashingRecord:
    """Calls and accepted jobs of all strikes so far. Safe for threads."""

    calls: list[CrashingCall] = field(default_factory=list)
    jobs: list[CrashingJob] = field(default_factory=list)
    """Those that have been accepted; none is ended before the run's end."""
    _series_from_s: dict[str, float] = field(default_factory=dict)
    """Monotonic time from which a service may have its next series of crashes."""
    _count: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def begin_series(self, service: str, now_s: float) -> bool:
        """Take a service for a series; False if it has one, or has not had its peace since.

        >>> record = CrashingRecord()
        >>> record.begin_series("llm", 1.0), record.begin_series("llm", 2.0)
        (True, False)
        >>> record.end_series("llm", 3.0, peace_s=8.0)
        >>> record.begin_series("llm", 10.0), record.begin_series("llm", 11.0)
        (False, True)
        """
        with self._lock:
            if now_s < self._series_from_s.get(service, -math.inf):
                return False
            self._series_from_s[service] = math.inf
            return True

    def end_series(self, service: str, now_s: float, peace_s: float) -> None:
        """Give a service back for a series that begins `peace_s` later."""
        with self._lock:
            self._series_from_s[service] = now_s + peace_s

    def next_job_id(self) -> str:
        """Return an id that no such job has had."""
        with self._lock:
            self._count += 1
            return f"crash-job-{self._count}"
