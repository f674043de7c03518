"""The crash guard of one node."""

import threading
from collections.abc import Callable, Sequence

from bellweir.events.log import emit
from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.interface import CrashGuard, GuardedRequest, RunEnd
from bellweir.hosted.crashes.suspect import MAX_ENDS
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.crashes.trials import Trials
from bellweir.hosted.crashes.worker_ends import ProbeResult, WorkerEnds, probe
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import (
    REQUEST_ACQUITTED,
    REQUEST_QUARANTINED,
    REQUEST_TRIED,
    WORKER_ENDED_UNDER,
)
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.kernel.clock import elapsed_s

NO_RETRY_ENDS = MAX_ENDS - 1
"""Ends, weighed by what they prove, from which on a request is not retried by itself."""
MAX_DELAYED = 512
"""Requests for which the answer of the node that grants trials is kept."""
MAX_DELAY_S = 2.0
"""Time after which a node that had no trial left for a request is asked again."""

BeginTrial = Callable[[Fingerprint, str, Incarnation], float]
"""Takes a trial at a worker of a service; returns 0, or the seconds after which to ask again."""


class SharedCrashGuard(CrashGuard):
    """Guards by what this node and others know of workers' ends.

    A request under which enough workers have ended runs by single trials only. A trial that its
    worker survives acquits it everywhere; once the trials are used up it is held.
    """

    def __init__(
        self,
        table: CrashTable,
        workers: WorkersView,
        is_view_current: Callable[[], bool],
        on_news: Callable[[Fingerprint], None] = lambda _request: None,
        count: Callable[[str], None] = lambda _outcome: None,
        probe_address: Callable[[str], ProbeResult] = probe,
        begin_trial: BeginTrial | None = None,
        trials: Trials | None = None,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """`on_news` is called with each request of which this node has learnt something itself.

        `count` is called with `ended`, `quarantined`, `acquitted`, `refused` or `tried`.
        `begin_trial` takes trials; by default this node grants them to itself.
        """
        self._table = table
        self._on_news = on_news
        self._count = count
        self._now_s = now_s
        self._trials = trials or Trials(table, lambda name: len(workers.ready(name)), now_s)
        self._begin_trial = begin_trial or self._trials.begin
        self._lock = threading.Lock()
        self._delayed_until_s: dict[Fingerprint, float] = {}
        self._ends = WorkerEnds(
            workers, is_view_current, self._record_worker_end, probe_address, now_s, table
        )

    def quarantine_left_s(self, request: GuardedRequest) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""
        if self._table.is_empty:
            return 0.0
        wait_s = self._trials.wait_s(request.fingerprint, is_owed=request.is_owed)
        if wait_s > 0 or not self._is_suspended(request):
            return wait_s
        with self._lock:
            return max(0.0, self._delayed_until_s.get(request.fingerprint, 0.0) - self._now_s())

    def is_restricted(self, request: GuardedRequest) -> bool:
        """Whether a request runs by single trials only."""
        return not self._table.is_empty and self._is_suspended(request)

    def may_send_again(self, request: GuardedRequest) -> bool:
        """Whether too few workers have ended under it to leave its next run to a later request."""
        if self._table.is_empty:
            return True
        blame = self._table.blame(request.fingerprint)
        return blame < NO_RETRY_ENDS and not self._is_suspended(request)

    def permitted(self, request: GuardedRequest, workers: Sequence[Worker]) -> Sequence[Worker]:
        """Return all workers, or those at which a suspended request may have a trial."""
        if not self.is_restricted(request):
            return workers
        if self.quarantine_left_s(request) > 0:
            return ()
        return self._trials.apart(request.fingerprint, workers)

    def begin_run(self, request: GuardedRequest, worker: Worker) -> bool:
        """Take a trial if the request is suspended; False if it must not run now."""
        if self._table.is_empty:
            return True
        digest = request.fingerprint
        if self._is_suspended(request) and not self._try(request, worker):
            return False
        self._table.begin_run(digest, worker.incarnation)
        return True

    def _try(self, request: GuardedRequest, worker: Worker) -> bool:
        """Take a trial at a worker; False if it is not granted now."""
        digest = request.fingerprint
        wait_s = self._ask_for_trial(request, worker)
        if wait_s > 0:
            self._delay(digest, wait_s)
            return False
        self._count("tried")
        emit(
            REQUEST_TRIED,
            request_id=request.request_id,
            digest=digest.hex(),
            instance=worker.instance,
            ends=self._table.ends(digest),
            trials_left=self._trials_left(request),
        )
        self._on_news(digest)
        return True

    def _ask_for_trial(self, request: GuardedRequest, worker: Worker) -> float:
        """Return 0 once a trial is taken, or the seconds after which to ask again.

        Nobody else runs what is owed, so this node grants its trials.
        """
        digest, service = request.fingerprint, worker.entry.service
        if request.is_owed:
            return self._trials.begin(digest, service, worker.incarnation, is_owed=True)
        return self._begin_trial(digest, service, worker.incarnation)

    def record_end(self, request: GuardedRequest, worker: Worker, end: RunEnd) -> None:
        """Weigh how a run ended."""
        if end is RunEnd.BROKEN:
            self._ends.note_broken(request.fingerprint, worker)
        elif end is RunEnd.SURVIVED and not self._table.is_empty:
            self._acquit(request)
        if not self._table.is_empty:
            self._end_run(request.fingerprint, worker.incarnation, end)

    def _end_run(self, digest: Fingerprint, worker: Incarnation, end: RunEnd) -> None:
        self._table.end_run(digest, worker)
        self._trials.end(digest, worker)
        if end is RunEnd.NOT_RUN and self._table.withdraw_trial(digest, worker):
            self._on_news(digest)

    def record_refusal(self, request: GuardedRequest) -> None:
        """Log and count a request that is not sent."""
        self._count("refused")
        emit(
            REQUEST_QUARANTINED,
            request_id=request.request_id,
            digest=request.fingerprint.hex(),
            ends=self._table.ends(request.fingerprint),
            trials_left=self._trials_left(request),
            left_s=round(self.quarantine_left_s(request), 1),
        )

    def look_beside(self) -> None:
        """Look which workers ended at the moment of others; called soon after an end."""
        self._ends.look_beside()

    def await_ends(self, timeout_s: float) -> None:
        """Wait until there is a worker's end to look into."""
        self._ends.await_ends(timeout_s)

    def resolve(self) -> None:
        """Decide about workers that could not be told yet; called periodically."""
        self._ends.look_beside()
        self._ends.resolve()
        self._table.drop_old()
        now_s = self._now_s()
        with self._lock:
            for digest, until_s in list(self._delayed_until_s.items()):
                if now_s >= until_s or self._table.trials_left(digest) is None:
                    del self._delayed_until_s[digest]

    def _is_suspended(self, request: GuardedRequest) -> bool:
        return self._trials_left(request) is not None

    def _trials_left(self, request: GuardedRequest) -> int | None:
        return self._table.trials_left(request.fingerprint, is_owed=request.is_owed)

    def _delay(self, digest: Fingerprint, wait_s: float) -> None:
        with self._lock:
            if len(self._delayed_until_s) < MAX_DELAYED or digest in self._delayed_until_s:
                self._delayed_until_s[digest] = self._now_s() + min(wait_s, MAX_DELAY_S)

    def _acquit(self, request: GuardedRequest) -> None:
        if not self._table.acquit(request.fingerprint):
            return
        self._count("acquitted")
        emit(REQUEST_ACQUITTED, request_id=request.request_id, digest=request.fingerprint.hex())
        self._on_news(request.fingerprint)

    def _record_worker_end(
        self, request: Fingerprint, worker: Worker, evidence: str, at_s: float
    ) -> None:
        was_quarantined = self._table.is_quarantined(request)
        if not self._table.add_end(request, worker.entry.service, worker.incarnation, at_s):
            return
        is_quarantined = self._table.is_quarantined(request)
        self._count("ended")
        if is_quarantined and not was_quarantined:
            self._count("quarantined")
        emit(
            WORKER_ENDED_UNDER,
            digest=request.hex(),
            instance=worker.instance,
            service=worker.entry.service,
            ends=self._table.ends(request),
            blame=round(self._table.blame(request), 2),
            quarantined=is_quarantined,
            evidence=evidence,
        )
        self._on_news(request)
