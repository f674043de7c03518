"""What a soak has handed in that fails at each run."""

import threading
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FailingJob:
    """A batch job of which two requests answer 500 at each run."""

    job_id: str
    items: tuple[str, ...]
    failing_text: str
    """Item whose generation fails."""
    failing_score: str
    """Reward call that fails."""


@dataclass(slots=True)
class FailingRecord:
    """Accepted jobs of all strikes so far; none is ended before the run's end.

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
