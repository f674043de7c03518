"""The crash guard of one node."""

import threading
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from bellweir.events.log import emit
from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.interface import CrashGuard, RunEnd
from bellweir.hosted.crashes.table import MAX_ENDS, CrashTable
from bellweir.hosted.crashes.worker_ends import ProbeResult, WorkerEnds, probe
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import REQUEST_ACQUITTED, REQUEST_QUARANTINED, WORKER_ENDED_UNDER
from bellweir.hosted.views.workers import Worker, WorkersView

Counted = TypeVar("Counted")
ISOLATED_ENDS = MAX_ENDS - 1
"""Ends of workers from which on a request runs apart from others with as many, and is not retried
by itself: its next run decides. After a single end all that the worker ran are suspects alike."""


class SharedCrashGuard(CrashGuard):
    """Guards by what this node and others know of workers' ends.

    A request whose next run decides runs at no worker at which this node runs another one of the
    kind: if that worker ended, which of the two it was would not be known.
    """

    def __init__(
        self,
        table: CrashTable,
        workers: WorkersView,
        is_view_current: Callable[[], bool],
        on_news: Callable[[Fingerprint], None] = lambda _request: None,
        count: Callable[[str], None] = lambda _outcome: None,
        probe_address: Callable[[str], ProbeResult] = probe,
    ) -> None:
        """`on_news` is called with each request of which this node has learnt something itself.

        `count` is called with `ended`, `quarantined`, `acquitted` or `refused`.
        """
        self._table = table
        self._on_news = on_news
        self._count = count
        self._ends = WorkerEnds(workers, is_view_current, self._record_worker_end, probe_address)
        self._lock = threading.Lock()
        self._isolated_at: Counter[Incarnation] = Counter()
        """Runs of isolated requests by worker."""
        self._marked: Counter[tuple[Fingerprint, Incarnation]] = Counter()

    @property
    def is_idle(self) -> bool:
        """Whether no request is suspected."""
        return self._table.is_empty

    def quarantine_left_s(self, request: Fingerprint) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""
        return 0.0 if self.is_idle else self._table.left_s(request)

    def may_retry(self, request: Fingerprint) -> bool:
        """Whether fewer workers are known to have ended under it than a request may cost."""
        return self._table.ends(request) < ISOLATED_ENDS

    def occupied(self, request: Fingerprint) -> frozenset[Incarnation]:
        """Return the workers that run requests to be isolated, for one that is to be as well."""
        if self.is_idle or self._table.ends(request) < ISOLATED_ENDS:
            return frozenset()
        with self._lock:
            return frozenset(self._isolated_at)

    def record_start(self, request: Fingerprint, worker: Worker) -> None:
        """Mark the worker of a request that is to be isolated."""
        if self._table.ends(request) < ISOLATED_ENDS:
            return
        with self._lock:
            self._marked[request, worker.incarnation] += 1
            self._isolated_at[worker.incarnation] += 1

    def record_end(
        self, request: Fingerprint, worker: Worker, end: RunEnd, request_id: str
    ) -> None:
        """Weigh how a run ended."""
        self._unmark(request, worker.incarnation)
        if end is RunEnd.BROKEN:
            self._ends.note_broken(request, worker)
        elif end is RunEnd.SURVIVED and not self.is_idle and self._table.acquit(request):
            self._count("acquitted")
            emit(REQUEST_ACQUITTED, request_id=request_id, digest=request.hex())
            self._on_news(request)

    def record_refusal(self, request: Fingerprint, request_id: str) -> None:
        """Log and count a request that is not sent."""
        self._count("refused")
        emit(
            REQUEST_QUARANTINED,
            request_id=request_id,
            digest=request.hex(),
            ends=self._table.ends(request),
            left_s=round(self._table.left_s(request), 1),
        )

    def resolve(self) -> None:
        """Decide about workers that could not be told yet; called periodically."""
        self._ends.resolve()
        self._table.drop_old()

    def _record_worker_end(self, request: Fingerprint, worker: Worker, evidence: str) -> None:
        if not self._table.add_end(request, worker.entry.service, worker.incarnation):
            return
        ends = self._table.ends(request)
        self._count("ended")
        if ends == MAX_ENDS:
            self._count("quarantined")
        emit(
            WORKER_ENDED_UNDER,
            digest=request.hex(),
            instance=worker.instance,
            service=worker.entry.service,
            ends=ends,
            quarantined=self._table.is_quarantined(request),
            evidence=evidence,
        )
        self._on_news(request)

    def _unmark(self, request: Fingerprint, worker: Incarnation) -> None:
        with self._lock:
            if (request, worker) not in self._marked:
                return
            _decrement(self._marked, (request, worker))
            _decrement(self._isolated_at, worker)


def _decrement(counts: Counter[Counted], key: Counted) -> None:
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]
