"""What a soak has handed in that fails at each run."""

import threading
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FailingJob:
    """Batch jobs with the same items, of which two requests fail at each run."""

    job_id: str
    """The last of them, which stays open; those before it were ended early."""
    items: tuple[str, ...]
    failing_text: str
    """Item whose generation fails."""
    failing_score: str
    """Reward call that fails."""
    most_failures: int
    """Failures of each of the two that are allowed, in all jobs."""
    ended_jobs: int
    """Jobs that are ended early, before the last one."""


@dataclass(slots=True)
class FailingRecord:
    """Accepted jobs of all strikes so far.

    >>> record = FailingRecord()
    >>> record.next_job_id(), record.next_job_id()
    ('failing-job-1', 'failing-job-2')
    """

    jobs: list[FailingJob] = field(default_factory=list)
    _count: int = 0
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def next_job_id(self) -> str:
        """Return an id that no such job has had."""
        with self._lock:
            self._count += 1
            return f"failing-job-{self._count}"
