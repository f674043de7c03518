"""Replicated clock that measures how long ended jobs have been kept.

Wall clocks of machines are never compared. The leader measures on its own monotonic clock for how
long the state has shown the current reading, and a command adds that time. A job's retention
starts at the first reading after its end, so that it is never removed too early.
"""

from collections.abc import Iterable

import msgspec


class RetentionClock(msgspec.Struct):
    """Milliseconds counted by all leaders, and the reading at which each job's retention started.

    Whole milliseconds, rounded down, so that sums are exact and equal on all replicas.

    >>> clock = RetentionClock()
    >>> clock.advance(0, 2_000, ["job"])
    >>> clock.advance(2_000, 3_000, ["job"])
    >>> clock.started_before(2_001), clock.started_before(2_000)
    (['job'], [])
    """

    counted_ms: int = 0
    since_ms: dict[str, int] = {}
    """Start readings by ended job; a job that ended after the last reading has none yet."""

    def advance(self, from_ms: int, elapsed_ms: int, ended: Iterable[str]) -> None:
        """Add `elapsed_ms`, the time since the reading was `from_ms`.

        `ended` are the ids of all jobs that have ended. Ignored when the clock is past `from_ms`,
        because another leader advanced it or the command is a duplicate: time would be counted
        twice, and jobs removed too early.
        """
        if elapsed_ms <= 0 or from_ms < self.counted_ms:
            return
        if from_ms > self.counted_ms:
            # This replica missed readings, as it ran a release without the clock. Retention starts
            # over: from the old start readings, jobs would be removed too early.
            self.since_ms.clear()
        self.counted_ms = from_ms + elapsed_ms
        for job_id in ended:
            self.since_ms.setdefault(job_id, self.counted_ms)

    def started_before(self, reading_ms: float) -> list[str]:
        """Return the jobs whose retention started before a reading."""
        return [job_id for job_id, at_ms in list(self.since_ms.items()) if at_ms < reading_ms]

    def remove(self, job_id: str) -> None:
        """Remove a job."""
        self.since_ms.pop(job_id, None)
