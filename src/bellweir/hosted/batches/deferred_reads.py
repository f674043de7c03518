"""Tells of readings that are put off because nobody knows the position."""

import threading
import time
from collections.abc import Callable

from bellweir.events.log import emit
from bellweir.hosted.log_events import READING_PUT_OFF

PERIOD_S = 1.0
"""Time between two lines: without a leader each client asks twice a second."""


class DeferredReads:
    """Counts all of them, and logs one a second at most. Safe for threads."""

    __slots__ = ("_count", "_due_s", "_left_out", "_lock")

    def __init__(self, count: Callable[[str], None]) -> None:
        """`count` is called for each with what the zone's replica had."""
        self._count = count
        self._lock = threading.Lock()
        self._due_s = float("-inf")
        self._left_out = 0

    def record(self, job_id: str, after: int, leader: str, nearby: str) -> None:
        """Note a reading of a job from a position on.

        `leader` says why the leader did not answer; `nearby` is `behind` where the zone's replica
        knows the job but not the position, and `no_job` where it knows no such job or there is
        none that answers.
        """
        self._count(nearby)
        now_s = time.monotonic()
        with self._lock:
            if now_s < self._due_s:
                self._left_out += 1
                return
            self._due_s = now_s + PERIOD_S
            left_out, self._left_out = self._left_out, 0
        emit(
            READING_PUT_OFF,
            request_id=job_id,
            after=after,
            leader=leader,
            nearby=nearby,
            left_out=left_out,
        )
