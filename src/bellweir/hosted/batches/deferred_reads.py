"""Counts and logs reads of results that are deferred because their position is unknown."""

import threading
from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.log_events import READING_PUT_OFF
from bellweir.kernel.clock import elapsed_s

LOG_INTERVAL_S = 1.0


class DeferredReads:
    """Counts each deferred read and logs at most one per interval. Thread-safe."""

    __slots__ = ("_count", "_due_s", "_lock", "_suppressed")

    def __init__(self, count: Callable[[str], None]) -> None:
        """`count` is called for each deferred read with the value of `nearby`."""
        self._count = count
        self._lock = threading.Lock()
        self._due_s = float("-inf")
        self._suppressed = 0

    def record(self, job_id: str, after: int, leader: str, nearby: str) -> None:
        """Record a deferred read of a job's results after position `after`.

        `leader`: why the leader did not answer. `nearby`: `behind` if the replica in this zone
        has the job but not the position, `no_job` if it lacks the job or did not answer.
        """
        self._count(nearby)
        now_s = elapsed_s()
        with self._lock:
            if now_s < self._due_s:
                self._suppressed += 1
                return
            self._due_s = now_s + LOG_INTERVAL_S
            suppressed, self._suppressed = self._suppressed, 0
        emit(
            READING_PUT_OFF,
            request_id=job_id,
            after=after,
            leader=leader,
            nearby=nearby,
            left_out=suppressed,
        )
