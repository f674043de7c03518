"""Trials: single runs by which a suspended request may be acquitted.

A trial waits until the workers of the service stay, so that an end says something, and runs at a
worker that has no other trial. While a trial's outcome is not known the request has no second one.

>>> table = CrashTable(now_s=lambda: 100.0)
>>> for number in range(3):
...     _ = table.add_end(b"digest", "llm", Incarnation(f"i-{number}"), at_s=90.0 + number)
>>> trials = Trials(table, lambda _service: 4, now_s=lambda: 100.0)
>>> trials.wait_s(b"digest"), trials.begin(b"digest", "llm", Incarnation("i-7"))
(0.0, 0.0)
>>> trials.wait_s(b"digest"), table.trials_left(b"digest")
(2.0, 2)
"""

import math
import threading
from collections.abc import Callable, Sequence

from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.suspect import TRIAL_SLOT_S
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.views.workers import Worker
from bellweir.kernel.clock import elapsed_s

UNDECIDED_S = 2.0
"""Time after the beginning of a trial for which its outcome is waited for."""
MAX_CALM_WAIT_S = 10.0
"""Time after the request's last end from which on a trial waits no more for workers that stay."""
FAILED_PAUSE_S = 3.0
"""Pause after a trial that ended its worker, for each one so far: others get their trials first."""
LOST_S = 2.0
"""Time for which a worker that a trial has ended counts as lost."""
OPEN_SHARE = 0.5
"""Share of a service's workers that trials may occupy or cost at the same time, at least one."""


class _OpenTrial:
    """A trial within its slot."""

    __slots__ = ("request", "service", "until_s")

    def __init__(self, request: Fingerprint, service: str, until_s: float) -> None:
        self.request = request
        self.service = service
        self.until_s = until_s


class Trials:
    """Grants trials at this node. Thread-safe."""

    def __init__(
        self,
        table: CrashTable,
        worker_count: Callable[[str], int],
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`worker_count` returns the number of a service's workers."""
        self._table = table
        self._worker_count = worker_count
        self._now_s = now_s
        self._lock = threading.Lock()
        self._open: dict[Incarnation, _OpenTrial] = {}
        """Trials that may still end their workers."""

    def wait_s(self, request: Fingerprint, *, is_owed: bool = False) -> float:
        """Return the seconds for which a request must not run; 0 if it may run now.

        One that `is_owed` gets trials without end, and pauses that don't grow.
        """
        left = self._table.trials_left(request, is_owed=is_owed)
        if left is None:
            return 0.0
        if left == 0:
            return self._table.hold_left_s(request)
        now_s = self._now_s()
        ended_s, tried_s = self._table.last_s(request)
        undecided_s = tried_s + UNDECIDED_S - now_s if tried_s > ended_s else 0.0
        failed = self._table.failed_trials(request)
        if is_owed:
            failed = min(1, failed)
        if failed:
            undecided_s = max(undecided_s, ended_s + failed * FAILED_PAUSE_S - now_s)
        if self._table.is_running(request):
            undecided_s = max(undecided_s, TRIAL_SLOT_S)
        calm_s = self._table.calm_in_s(self._table.service_of(request))
        calm_s = min(calm_s, ended_s + MAX_CALM_WAIT_S - now_s)
        return max(0.0, undecided_s, calm_s)

    def begin(
        self,
        request: Fingerprint,
        service: str,
        worker: Incarnation,
        *,
        is_owed: bool = False,
    ) -> float:
        """Take a trial at a worker; return 0, or the seconds after which to ask again."""
        with self._lock:
            wait_s = self.wait_s(request, is_owed=is_owed)
            if wait_s > 0 or self._table.trials_left(request, is_owed=is_owed) is None:
                return wait_s
            now_s = self._now_s()
            self._close_old(now_s)
            open_here = sum(one.service == service for one in self._open.values())
            lost = self._table.ended_by_trials(service, LOST_S)
            if worker in self._open or open_here + lost >= self._most_open(service):
                return TRIAL_SLOT_S
            self._open[worker] = _OpenTrial(request, service, now_s + TRIAL_SLOT_S)
            self._table.add_trial(request, worker)
            return 0.0

    def end(self, request: Fingerprint, worker: Incarnation) -> None:
        """Note that a run has ended, so that its worker may have another trial."""
        with self._lock:
            found = self._open.get(worker)
            if found is not None and found.request == request:
                del self._open[worker]

    def apart(self, request: Fingerprint, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return the workers without a trial, untried ones if there are any."""
        with self._lock:
            self._close_old(self._now_s())
            free = [one for one in workers if one.incarnation not in self._open]
        tried = self._table.tried_at(request)
        return [one for one in free if one.incarnation not in tried] or free

    def _most_open(self, service: str) -> int:
        return max(1, math.ceil(OPEN_SHARE * self._worker_count(service)))

    def _close_old(self, now_s: float) -> None:
        for worker, one in list(self._open.items()):
            if now_s >= one.until_s:
                del self._open[worker]
