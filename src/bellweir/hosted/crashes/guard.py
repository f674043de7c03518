"""The crash guard of one node."""

from collections.abc import Callable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.interface import CrashGuard, GuardedRequest, RunEnd
from bellweir.hosted.crashes.table import MAX_ENDS, CrashTable
from bellweir.hosted.crashes.worker_ends import ProbeResult, WorkerEnds, probe
from bellweir.hosted.log_events import REQUEST_ACQUITTED, REQUEST_QUARANTINED, WORKER_ENDED_UNDER
from bellweir.hosted.views.workers import Worker, WorkersView

ISOLATED_ENDS = MAX_ENDS - 1
"""Ends of workers from which on a request runs apart from others with as many, and is not retried
by itself: its next run decides. After a single end all that the worker ran are suspects alike."""


class SharedCrashGuard(CrashGuard):
    """Guards by what this node and others know of workers' ends.

    Requests whose next runs decide each get a worker of their own: if one ended that runs two of
    them, which of the two it was would not be known.
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

    def quarantine_left_s(self, request: GuardedRequest) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""
        return 0.0 if self._table.is_empty else self._table.left_s(request.fingerprint)

    def may_send_again(self, request: GuardedRequest) -> bool:
        """Whether too few workers have ended under it to leave its next run to a later request."""
        return self._table.is_empty or self._table.ends(request.fingerprint) < ISOLATED_ENDS

    def permitted(self, request: GuardedRequest, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return all workers, or the one of a request that is to be isolated.

        All nodes that know the same requests and workers choose the same one.
        """
        if self._table.is_empty or self._table.ends(request.fingerprint) < ISOLATED_ENDS:
            return workers
        isolated = self._table.isolated(ISOLATED_ENDS)
        if request.fingerprint not in isolated:
            # Quarantined meanwhile.
            return ()
        place = isolated.index(request.fingerprint)
        ordered = sorted(workers, key=lambda worker: worker.incarnation)
        return ordered[place : place + 1]

    def record_end(self, request: GuardedRequest, worker: Worker, end: RunEnd) -> None:
        """Weigh how a run ended."""
        if end is RunEnd.BROKEN:
            self._ends.note_broken(request.fingerprint, worker)
        elif end is RunEnd.SURVIVED and not self._table.is_empty:
            self._acquit(request)

    def _acquit(self, request: GuardedRequest) -> None:
        if not self._table.acquit(request.fingerprint):
            return
        self._count("acquitted")
        emit(REQUEST_ACQUITTED, request_id=request.request_id, digest=request.fingerprint.hex())
        self._on_news(request.fingerprint)

    def record_refusal(self, request: GuardedRequest) -> None:
        """Log and count a request that is not sent."""
        self._count("refused")
        emit(
            REQUEST_QUARANTINED,
            request_id=request.request_id,
            digest=request.fingerprint.hex(),
            ends=self._table.ends(request.fingerprint),
            left_s=round(self._table.left_s(request.fingerprint), 1),
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
