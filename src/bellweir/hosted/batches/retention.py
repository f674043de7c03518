"""Removes ended jobs after the retention time, on the node that leads their shard.

Each replica records on its own monotonic clock when its state first showed the current reading of
the `RetentionClock`, so a new leader continues from there, and a leader that was suspended adds
nothing to what others counted meanwhile.

An ended job is kept for at least `statusS`, and removed within 1.25 times that plus 5 s. A reading
may lose the time until a replica sees it: up to `CHECK_INTERVAL_S` per `COUNT_INTERVAL_S` where
each reading is another leader's, only a commit's duration where the leader stays. The start and
the end of a job's time are each rounded up by up to one interval. Time in which nobody can count is
not included: while no leader can commit, and, where all replicas restart, from the last committed
reading on.
"""

import threading
import time
from collections.abc import Callable

from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs, ForgetJobs
from bellweir.ledger.interface import Ledger

CHECK_INTERVAL_S = 0.5
COUNT_INTERVAL_S = 2.0
"""Time between two counts. It must be shorter than the lives of processes, since a count that is
not in the log when all of them start anew is lost. While no ended job is kept nothing is counted,
so that an idle shard writes nothing."""
SUBMIT_TIMEOUT_S = 1.0


class JobRetention:
    """`look` is called by one task, on every replica."""

    __slots__ = ("_ledger", "_now_s", "_seen_ms", "_since_s", "_status_s")

    def __init__(
        self,
        ledger: Ledger,
        status_s: float,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """`status_s`: seconds for which an ended job can be read; `now_s`: a steady clock."""
        self._ledger = ledger
        self._status_s = status_s
        self._now_s = now_s
        self._seen_ms: int | None = None
        self._since_s = 0.0

    def run(self, stopping: threading.Event) -> None:
        """Look again and again, until `stopping`."""
        while not stopping.wait(CHECK_INTERVAL_S):
            self.check()

    def check(self) -> None:
        """Note the count that this replica shows; where it leads, count on and forget."""
        machine = self._ledger.local_machine(JOBS_KEY, BatchJobs)
        if not isinstance(machine, BatchJobs):
            self._seen_ms = None
            return
        if self._note(machine) or self._seen_ms is None or not self._ledger.leads(JOBS_KEY):
            return
        passed_s = self._now_s() - self._since_s
        if passed_s >= COUNT_INTERVAL_S:
            self._count(machine, self._seen_ms, int(1_000 * passed_s))
            self._note(machine)

    def _note(self, machine: BatchJobs) -> bool:
        """Note the count that the state shows; True when it is another one than before."""
        counted_ms = machine.retention_clock.counted_ms
        if counted_ms == self._seen_ms:
            return False
        # The clock is read after the count: that was reached before this moment, never after it.
        self._seen_ms, self._since_s = counted_ms, self._now_s()
        return True

    def _count(self, machine: BatchJobs, counted_ms: int, elapsed_ms: int) -> None:
        """Add what has passed since the count was first seen, and drop the jobs that are old."""
        if not any(not state.is_open for state in list(machine.jobs.values())):
            return
        # Not from the state's count: if others have counted on meanwhile, it holds this time, too.
        now_ms = counted_ms + elapsed_ms
        old = tuple(machine.retention_clock.started_before(now_ms - 1_000 * self._status_s))
        # What fails is counted by a later look, from the same count or from the one it led to.
        self._ledger.submit(JOBS_KEY, ForgetJobs(old, counted_ms, elapsed_ms), SUBMIT_TIMEOUT_S)
