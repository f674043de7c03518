"""How long ended jobs have been kept, as the replicated log counts it.

No time of day is compared with another machine's. The leader measures on its own steady clock how
long the state has shown a count, and a command adds that to the count. A job's time begins with
the first count after its end, so that it is never counted longer than it has really been kept.
"""

from collections.abc import Iterable

import msgspec


class RetentionClock(msgspec.Struct):
    """Milliseconds that leaders have counted, and the count at which each job's time began.

    Whole milliseconds, rounded down, so that sums are exact and alike on all replicas. The cost of
    an ended job is one entry, which goes with the job.

    >>> clock = RetentionClock()
    >>> clock.advance(0, 2_000, ["job"])
    >>> clock.advance(2_000, 3_000, ["job"])
    >>> clock.started_before(2_001), clock.started_before(2_000)
    (['job'], [])
    """

    counted_ms: int = 0
    since_ms: dict[str, int] = {}
    """Counts by ended job. A job that was ended after the last count has none yet."""

    def advance(self, from_ms: int, elapsed_ms: int, ended: Iterable[str]) -> None:
        """Count `elapsed_ms` that have passed since the count was `from_ms`.

        `ended` names all jobs that are ended now. Nothing happens when another leader has counted
        on from there, or when the same command comes again: time would be counted twice, and jobs
        forgotten too early.
        """
        if elapsed_ms <= 0 or from_ms < self.counted_ms:
            return
        if from_ms > self.counted_ms:
            # This replica lacks counts: it ran a release that does not know them. Its jobs' time
            # begins anew; with the old beginnings they would be forgotten too early.
            self.since_ms.clear()
        self.counted_ms = from_ms + elapsed_ms
        for job_id in ended:
            self.since_ms.setdefault(job_id, self.counted_ms)

    def started_before(self, count_ms: float) -> list[str]:
        """Return the jobs whose time surely began before a count."""
        return [job_id for job_id, at_ms in list(self.since_ms.items()) if at_ms < count_ms]

    def remove(self, job_id: str) -> None:
        """Drop what is noted of a job."""
        self.since_ms.pop(job_id, None)
