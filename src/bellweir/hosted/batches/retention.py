"""Removes ended jobs after the retention time, on the node that leads their shard."""

import threading
from collections.abc import Callable

from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs, ForgetJobs
from bellweir.kernel.clock import elapsed_s
from bellweir.ledger.interface import Ledger

CHECK_INTERVAL_S = 0.5
COUNT_INTERVAL_S = 2.0
"""Interval of clock commands; time that is not in the log is lost when all replicas restart. While
no ended job is kept none is submitted, so that an idle shard writes nothing."""
SUBMIT_TIMEOUT_S = 1.0


class JobRetention:
    """Runs on every replica; `check` is called by a single task.

    Each replica records on its own monotonic clock when its state first showed the current reading
    of the `RetentionClock`, so a new leader continues from there, and a leader that was suspended
    adds nothing to what others counted meanwhile.

    An ended job is kept for at least `statusS`, and removed within 1.25 times that plus 5 s. A
    reading may lose the time until a replica sees it: up to `CHECK_INTERVAL_S` per
    `COUNT_INTERVAL_S` where each reading is another leader's, only a commit's duration where the
    leader stays. At the start and the end of a job's retention up to one interval each is added.
    Time in which nobody can count comes on top: while no leader can commit, and, where all replicas
    restart, from the last committed reading on.
    """

    __slots__ = ("_ledger", "_now_s", "_seen_ms", "_since_s", "_status_s")

    def __init__(
        self,
        ledger: Ledger,
        status_s: float,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """Keep ended jobs for `status_s` seconds on the monotonic clock `now_s`."""
        self._ledger = ledger
        self._status_s = status_s
        self._now_s = now_s
        self._seen_ms: int | None = None
        self._since_s = 0.0

    def run(self, stopping: threading.Event) -> None:
        """Check at intervals, until `stopping`."""
        while not stopping.wait(CHECK_INTERVAL_S):
            self.check()

    def check(self) -> None:
        """Record the clock reading; on the leader, advance the clock and remove expired jobs."""
        machine = self._ledger.local_machine(JOBS_KEY, BatchJobs)
        if not isinstance(machine, BatchJobs):
            self._seen_ms = None
            return
        if self._observe(machine) or self._seen_ms is None or not self._ledger.leads(JOBS_KEY):
            return
        passed_s = self._now_s() - self._since_s
        if passed_s >= COUNT_INTERVAL_S:
            self._advance(machine, self._seen_ms, int(1_000 * passed_s))
            self._observe(machine)

    def _observe(self, machine: BatchJobs) -> bool:
        """Record the reading that the state shows; True if it has changed."""
        counted_ms = machine.retention_clock.counted_ms
        if counted_ms == self._seen_ms:
            return False
        # Read the monotonic clock last: the reading was reached before this moment, not after it.
        self._seen_ms, self._since_s = counted_ms, self._now_s()
        return True

    def _advance(self, machine: BatchJobs, from_ms: int, elapsed_ms: int) -> None:
        """Add the time since the reading was first seen, and remove expired jobs."""
        if not any(not state.is_open for state in list(machine.jobs.values())):
            return
        # Not from the current reading: if another leader has advanced it, it includes this time.
        now_ms = from_ms + elapsed_ms
        expired = tuple(machine.retention_clock.started_before(now_ms - 1_000 * self._status_s))
        # If it fails, a later check adds the time, from the same reading or the one it led to.
        self._ledger.submit(JOBS_KEY, ForgetJobs(expired, from_ms, elapsed_ms), SUBMIT_TIMEOUT_S)
