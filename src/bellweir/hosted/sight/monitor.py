"""Combines local and gossiped observations into statistics of workers and services.

Statistics are recomputed periodically; requests read the last snapshot and add this node's own
requests in flight.
"""

import threading
import time
from collections.abc import Callable, Collection, Mapping

from bellweir.events.log import emit
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import (
    RETRY_REFUSED,
    SIGHT_ALONE,
    SIGHT_SHARED,
    WORKER_RETURNED,
    WORKER_SET_ASIDE,
)
from bellweir.hosted.sight.counts import DecayingCounts
from bellweir.hosted.sight.interface import ObservedOutcome, WorkerMonitor, WorkerStats
from bellweir.hosted.sight.outlier_detection import EjectionChange, OutlierDetector
from bellweir.hosted.sight.retry_budget import SharedRetryBudget
from bellweir.hosted.sight.table import IN_FLIGHT_MIN_HALF_LIFE_S, ObservationTable
from bellweir.hosted.sight.worker_load import WorkerLoad
from bellweir.kernel.clock import elapsed_s

REFRESH_INTERVAL_S = 0.4
REFRESH_CPU_SHARE = 0.003
"""Share of one core that refreshes may use: expensive refreshes run less often."""
MIN_P95_ANSWERS = 8.0
"""Weight of answers required for a 95th percentile; with fewer, one slow answer would define it."""
ORIGIN_ACTIVE_S = 15.0
"""Gateways that reported within this time are counted for sharing probes."""
REFUSAL_LOG_INTERVAL_S = 1.0
"""Minimum time between log lines on refused retries of one service."""

ServiceWorkers = Mapping[str, Collection[Incarnation]]
"""Workers eligible for requests, by service."""


class _WorkerSnapshot:
    """Statistics of a worker as of the last refresh."""

    __slots__ = ("last_report_s", "load", "median_s", "p95_s", "remote_in_flight")

    def __init__(
        self,
        counts: DecayingCounts,
        remote_in_flight: float,
        last_report_s: float,
        load: tuple[WorkerLoad, float] | None = None,
    ) -> None:
        self.load = load
        self.median_s = counts.quantile_s(0.5)
        answers = sum(counts.buckets.values())
        self.p95_s = counts.quantile_s(0.95) if answers >= MIN_P95_ANSWERS else 0.0
        self.remote_in_flight = remote_in_flight
        self.last_report_s = last_report_s


class _ServiceSnapshot:
    """Statistics of a service as of the last refresh."""

    __slots__ = ("first_attempts", "median_s", "p95_s", "retries")

    def __init__(
        self, first_attempts: float, retries: float, p95_s: float, median_s: float
    ) -> None:
        self.first_attempts = first_attempts
        self.retries = retries
        self.p95_s = p95_s
        self.median_s = median_s


_NO_SNAPSHOT = _WorkerSnapshot(DecayingCounts(), 0.0, float("-inf"))


class SharedWorkerMonitor(WorkerMonitor):
    """Worker statistics from this node and its peers. Safe for threads."""

    def __init__(
        self,
        table: ObservationTable,
        services: Callable[[], ServiceWorkers],
        is_isolated: Callable[[], bool] = lambda: False,
        now_s: Callable[[], float] = elapsed_s,
        *,
        ejects: bool = True,
        uses_worker_load: bool = True,
        retry_share: float = 0.0,
        count_refused: Callable[[str], None] = lambda _service: None,
        is_comparable: Callable[[Incarnation], bool] = lambda _worker: True,
    ) -> None:
        """`count_refused` is called with the service of each retry refused by the budget.

        `ejects` enables outlier ejection, `uses_worker_load` the use of load that workers report.
        `retry_share` bounds retries as a share of first attempts; 0 for no bound. A worker that is
        not `is_comparable` is neither compared with others nor counted among those of its service.
        """
        self._is_comparable = is_comparable
        self._table = table
        self._services = services
        self._is_isolated = is_isolated
        self._now_s = now_s
        self._ejects = ejects
        self._uses_worker_load = uses_worker_load
        self._lock = threading.Lock()
        self._detector = OutlierDetector()
        self._count_refused = count_refused
        self._budget = SharedRetryBudget(retry_share)
        self._worker_snapshots: Mapping[Incarnation, _WorkerSnapshot] = {}
        self._service_snapshots: Mapping[str, _ServiceSnapshot] = {}
        self._refreshed_s = now_s()
        self._refusal_logged_s: dict[str, float] = {}
        self._was_isolated = False
        self._gateways = 1
        self.refresh_pause_s = REFRESH_INTERVAL_S
        """Time until the next refresh."""

    def record_start(self, service: str, incarnation: Incarnation) -> None:
        """See the interface."""
        self._table.record_start(incarnation, self._now_s())

    def record_end(
        self, incarnation: Incarnation, outcome: ObservedOutcome, seconds: float
    ) -> None:
        """See the interface."""
        self._table.record_end(incarnation, outcome, seconds, self._now_s())

    def record_load(self, incarnation: Incarnation, load: WorkerLoad) -> None:
        """See the interface."""
        if not self._uses_worker_load:
            return
        now_s = self._now_s()
        self._table.record_load(incarnation, load, now_s)
        snapshot = self._worker_snapshots.get(incarnation)
        if snapshot is not None:
            snapshot.load = (load, now_s)

    def stats(self, incarnation: Incarnation) -> WorkerStats:
        """See the interface."""
        now_s = self._now_s()
        snapshot = self._worker_snapshots.get(incarnation, _NO_SNAPSHOT)
        remote = snapshot.remote_in_flight
        if remote:
            elapsed_s = max(0.0, now_s - self._refreshed_s)
            remote *= 0.5 ** (elapsed_s / max(IN_FLIGHT_MIN_HALF_LIFE_S, snapshot.median_s))
        load, load_s = snapshot.load or (None, float("-inf"))
        return WorkerStats(
            incarnation,
            self._table.local_in_flight(incarnation) + remote,
            snapshot.median_s,
            snapshot.p95_s,
            now_s - snapshot.last_report_s,
            is_ejected=self.is_ejected(incarnation),
            load=load,
            load_age_s=now_s - load_s,
        )

    def record_retry(self, service: str, incarnation: Incarnation) -> None:
        """See the interface."""
        self._table.record_start(incarnation, self._now_s(), is_retry=True)

    def record_retry_refused(self, service: str) -> None:
        """See the interface."""
        self._count_refused(service)
        self._log_refused(service)

    def may_retry(self, service: str) -> bool:
        """See the interface."""
        snapshot = self._service_snapshots.get(service)
        return snapshot is None or self._budget.allows(snapshot.first_attempts, snapshot.retries)

    def _log_refused(self, service: str) -> None:
        snapshot = self._service_snapshots.get(service)
        now_s = self._now_s()
        if (
            snapshot is None
            or now_s - self._refusal_logged_s.get(service, float("-inf")) < REFUSAL_LOG_INTERVAL_S
        ):
            return
        self._refusal_logged_s[service] = now_s
        emit(
            RETRY_REFUSED,
            service=service,
            first=round(snapshot.first_attempts, 1),
            further=round(snapshot.retries, 1),
            gateways=self._gateways,
        )

    def service_p95_s(self, service: str) -> float:
        """See the interface."""
        snapshot = self._service_snapshots.get(service)
        return snapshot.p95_s if snapshot else 0.0

    def service_median_s(self, service: str) -> float:
        """See the interface."""
        snapshot = self._service_snapshots.get(service)
        return snapshot.median_s if snapshot else 0.0

    def is_ejected(self, incarnation: Incarnation) -> bool:
        """Whether a worker gets probe requests only."""
        with self._lock:
            return self._detector.is_ejected(incarnation)

    def may_probe(self, incarnation: Incarnation) -> bool:
        """See the interface."""
        with self._lock:
            return self._detector.may_probe(incarnation, self._now_s(), self._gateways)

    @property
    def is_isolated(self) -> bool:
        """See the interface."""
        return self._is_isolated()

    def gateways(self) -> int:
        """Number of gateways that reported lately, this one included."""
        return self._gateways

    def ejected_count(self) -> int:
        """Number of workers that this node has ejected."""
        services = self._services()
        return sum(self.is_ejected(one) for workers in services.values() for one in workers)

    def run(self, stopping: threading.Event) -> None:
        """Refresh the statistics periodically until `stopping` is set."""
        while not stopping.wait(self.refresh_pause_s):
            self.refresh()

    def refresh(self) -> None:
        """Recompute the statistics of all workers and detect outliers."""
        began_s = time.thread_time()
        now_s = self._now_s()
        services = self._services()
        present = {one for workers in services.values() for one in workers}
        self._table.evict(present, now_s)
        self._gateways = 1 + self._table.active_origins(now_s, ORIGIN_ACTIVE_S)
        merged = {one: self._table.merged(one, now_s) for one in self._table.workers() & present}
        self._worker_snapshots = {
            one: self._snapshot_worker(one, counts, now_s) for one, counts in merged.items()
        }
        self._refreshed_s = now_s
        with self._lock:
            self._detector.retain(present)
        if self._ejects:
            for service, workers in services.items():
                self._detect_outliers(service, workers, merged, now_s)
        self._service_snapshots = {
            service: self._snapshot_service(workers, merged)
            for service, workers in services.items()
        }
        self._log_isolation()
        self.refresh_pause_s = max(
            REFRESH_INTERVAL_S, (time.thread_time() - began_s) / REFRESH_CPU_SHARE
        )

    def _snapshot_worker(
        self, worker: Incarnation, counts: DecayingCounts, now_s: float
    ) -> _WorkerSnapshot:
        median_s = counts.quantile_s(0.5)
        remote = self._table.remote_in_flight(worker, median_s, now_s)
        load = self._table.load(worker) if self._uses_worker_load else None
        return _WorkerSnapshot(counts, remote, self._table.last_report_s(worker), load)

    def _snapshot_service(
        self, workers: Collection[Incarnation], merged: Mapping[Incarnation, DecayingCounts]
    ) -> _ServiceSnapshot:
        counts_by_worker = {one: merged[one] for one in workers if one in merged}
        attempts = sum(counts.completed + counts.refused for counts in counts_by_worker.values())
        retries = sum(counts.retries for counts in counts_by_worker.values())
        known_p95s = sorted(
            self._worker_snapshots[one].p95_s
            for one in counts_by_worker
            if self._worker_snapshots[one].p95_s and not self.is_ejected(one)
        )
        p95_s = known_p95s[len(known_p95s) // 2] if known_p95s else 0.0
        known_medians = sorted(
            self._worker_snapshots[one].median_s
            for one in counts_by_worker
            if self._worker_snapshots[one].median_s and not self.is_ejected(one)
        )
        median_s = known_medians[len(known_medians) // 2] if known_medians else 0.0
        return _ServiceSnapshot(max(0.0, attempts - retries), retries, p95_s, median_s)

    def _detect_outliers(
        self,
        service: str,
        workers: Collection[Incarnation],
        merged: Mapping[Incarnation, DecayingCounts],
        now_s: float,
    ) -> None:
        workers = [one for one in workers if self._is_comparable(one)]
        if not any(one in merged for one in workers):
            return
        no_counts = DecayingCounts(as_of_s=now_s)
        observed = {one: merged.get(one, no_counts) for one in workers}
        with self._lock:
            changes = self._detector.update(service, observed, now_s, self._gateways)
        for change in changes:
            self._log(service, change, now_s)

    def _log(self, service: str, change: EjectionChange, now_s: float) -> None:
        counts = change.counts
        age_s = now_s - self._table.last_report_s(change.incarnation)
        fields = {
            "instance": change.incarnation.instance,
            "service": service,
            "cause": change.cause.value,
            "served": round(counts.served, 1),
            "failed": round(counts.failed, 1),
            "usual_ms": round(1000 * counts.quantile_s(0.5)),
            "told_age_ms": round(1000 * age_s) if age_s != float("inf") else None,
        }
        if change.is_reinstatement:
            emit(WORKER_RETURNED, **fields)
        else:
            emit(WORKER_SET_ASIDE, fellow=round(change.reference, 3), for_s=change.for_s, **fields)

    def _log_isolation(self) -> None:
        is_isolated = self._is_isolated()
        if is_isolated == self._was_isolated:
            return
        self._was_isolated = is_isolated
        emit(SIGHT_ALONE if is_isolated else SIGHT_SHARED, gateways=self._gateways)
