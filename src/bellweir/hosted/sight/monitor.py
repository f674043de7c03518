"""What this gateway knows of workers: its own sight and that of others, judged now and then.

The figures of a worker are put together once a look, for those workers only of which something is
known; a request reads them and adds what this node has in hand itself. A look costs time in the
workers known and the records of them; where it costs much, the next one is put off.
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

LOOK_PERIOD_S = 0.4
LOOK_SHARE = 0.003
"""Share of a core that looks may take: the more a look costs, the longer until the next one."""
ENOUGH_ANSWERS = 8.0
"""Weight of answers from which a 95th percentile is told; below it, one slow answer would be it."""
ORIGINS_WITHIN_S = 15.0
"""A gateway that spoke of any worker within this time counts among those that share trials."""
REFUSAL_LOGGED_S = 1.0
"""Time between two lines on refused further tries of a service."""

Services = Mapping[str, Collection[Incarnation]]
"""Workers that may get requests, by service."""


class _Known:
    """What is known of a worker as of the last look."""

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
        self.p95_s = counts.quantile_s(0.95) if answers >= ENOUGH_ANSWERS else 0.0
        self.remote_in_flight = remote_in_flight
        self.last_report_s = last_report_s


class _Service:
    """What is known of a service as of the last look."""

    __slots__ = ("first", "median_s", "p95_s", "retries")

    def __init__(self, first: float, retries: float, p95_s: float, median_s: float) -> None:
        self.first = first
        self.retries = retries
        self.p95_s = p95_s
        self.median_s = median_s


_NOTHING = _Known(DecayingCounts(), 0.0, float("-inf"))


class SharedWorkerMonitor(WorkerMonitor):
    """Safe for threads."""

    def __init__(
        self,
        table: ObservationTable,
        services: Callable[[], Services],
        is_isolated: Callable[[], bool] = lambda: False,
        now_s: Callable[[], float] = time.monotonic,
        *,
        sets_aside: bool = True,
        uses_worker_load: bool = True,
        try_share: float = 0.0,
        count_refused: Callable[[str], None] = lambda _service: None,
    ) -> None:
        """`count_refused` counts a further try that is over the budget, by service.

        `try_share` bounds further tries as a share of first ones; 0: not at all.
        """
        self._table = table
        self._services = services
        self._is_alone = is_isolated
        self._now_s = now_s
        self._sets_aside = sets_aside
        self._uses_worker_load = uses_worker_load
        self._lock = threading.Lock()
        self._judgement = OutlierDetector()
        self._count_refused = count_refused
        self._budget = SharedRetryBudget(try_share)
        self._known: Mapping[Incarnation, _Known] = {}
        self._of_services: Mapping[str, _Service] = {}
        self._looked_s = now_s()
        self._refusal_logged_s: dict[str, float] = {}
        self._was_alone = False
        self._gateways = 1
        self.refresh_pause_s = LOOK_PERIOD_S
        """Time until the next look."""

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
        known = self._known.get(incarnation)
        if known is not None:
            known.load = (load, now_s)

    def stats(self, incarnation: Incarnation) -> WorkerStats:
        """See the interface."""
        now_s = self._now_s()
        known = self._known.get(incarnation, _NOTHING)
        others = known.remote_in_flight
        if others:
            passed_s = max(0.0, now_s - self._looked_s)
            others *= 0.5 ** (passed_s / max(IN_FLIGHT_MIN_HALF_LIFE_S, known.median_s))
        load, load_s = known.load or (None, float("-inf"))
        return WorkerStats(
            incarnation,
            self._table.local_in_flight(incarnation) + others,
            known.median_s,
            known.p95_s,
            now_s - known.last_report_s,
            is_ejected=self.is_ejected(incarnation),
            load=load,
            load_age_s=now_s - load_s,
        )

    def record_retry(self, service: str, incarnation: Incarnation) -> None:
        """See the interface."""
        self._table.record_start(incarnation, self._now_s(), is_further=True)

    def record_retry_refused(self, service: str) -> None:
        """See the interface."""
        self._count_refused(service)
        self._log_refused(service)

    def may_retry(self, service: str) -> bool:
        """See the interface."""
        seen = self._of_services.get(service)
        return seen is None or self._budget.allows(seen.first, seen.retries)

    def _log_refused(self, service: str) -> None:
        seen = self._of_services.get(service)
        now_s = self._now_s()
        if (
            seen is None
            or now_s - self._refusal_logged_s.get(service, float("-inf")) < REFUSAL_LOGGED_S
        ):
            return
        self._refusal_logged_s[service] = now_s
        emit(
            RETRY_REFUSED,
            service=service,
            first=round(seen.first, 1),
            further=round(seen.retries, 1),
            gateways=self._gateways,
        )

    def service_p95_s(self, service: str) -> float:
        """See the interface."""
        seen = self._of_services.get(service)
        return seen.p95_s if seen else 0.0

    def service_median_s(self, service: str) -> float:
        """See the interface."""
        seen = self._of_services.get(service)
        return seen.median_s if seen else 0.0

    def is_ejected(self, incarnation: Incarnation) -> bool:
        """Whether a worker gets no more than trials."""
        with self._lock:
            return self._judgement.is_ejected(incarnation)

    def may_probe(self, incarnation: Incarnation) -> bool:
        """See the interface."""
        with self._lock:
            return self._judgement.may_probe(incarnation, self._now_s(), self._gateways)

    @property
    def is_isolated(self) -> bool:
        """See the interface."""
        return self._is_alone()

    def gateways(self) -> int:
        """Gateways that saw something lately, this one included."""
        return self._gateways

    def set_aside_count(self) -> int:
        """Workers that get no more than trials from this node."""
        services = self._services()
        return sum(self.is_ejected(one) for workers in services.values() for one in workers)

    def run(self, stopping: threading.Event) -> None:
        """Look now and then until `stopping`. One task."""
        while not stopping.wait(self.refresh_pause_s):
            self.refresh()

    def refresh(self) -> None:
        """Put together what is known of each worker, and judge them."""
        began_s = time.thread_time()
        now_s = self._now_s()
        services = self._services()
        present = {one for workers in services.values() for one in workers}
        self._table.evict(present, now_s)
        self._gateways = 1 + self._table.active_origins(now_s, ORIGINS_WITHIN_S)
        merged = {one: self._table.merged(one, now_s) for one in self._table.workers() & present}
        self._known = {one: self._known_of(one, counts, now_s) for one, counts in merged.items()}
        self._looked_s = now_s
        with self._lock:
            self._judgement.retain(present)
        if self._sets_aside:
            for service, workers in services.items():
                self._judge(service, workers, merged, now_s)
        self._of_services = {
            service: self._service(workers, merged) for service, workers in services.items()
        }
        self._note_alone()
        self.refresh_pause_s = max(LOOK_PERIOD_S, (time.thread_time() - began_s) / LOOK_SHARE)

    def _known_of(self, worker: Incarnation, counts: DecayingCounts, now_s: float) -> _Known:
        median_s = counts.quantile_s(0.5)
        others = self._table.remote_in_flight(worker, median_s, now_s)
        load = self._table.load(worker) if self._uses_worker_load else None
        return _Known(counts, others, self._table.last_report_s(worker), load)

    def _service(
        self, workers: Collection[Incarnation], merged: Mapping[Incarnation, DecayingCounts]
    ) -> _Service:
        seen = {one: merged[one] for one in workers if one in merged}
        tries = sum(counts.judged + counts.refused for counts in seen.values())
        retries = sum(counts.retries for counts in seen.values())
        sound = sorted(
            self._known[one].p95_s
            for one in seen
            if self._known[one].p95_s and not self.is_ejected(one)
        )
        p95_s = sound[len(sound) // 2] if sound else 0.0
        usual = sorted(
            self._known[one].median_s
            for one in seen
            if self._known[one].median_s and not self.is_ejected(one)
        )
        median_s = usual[len(usual) // 2] if usual else 0.0
        return _Service(max(0.0, tries - retries), retries, p95_s, median_s)

    def _judge(
        self,
        service: str,
        workers: Collection[Incarnation],
        merged: Mapping[Incarnation, DecayingCounts],
        now_s: float,
    ) -> None:
        if not any(one in merged for one in workers):
            return
        nothing = DecayingCounts(as_of_s=now_s)
        seen = {one: merged.get(one, nothing) for one in workers}
        with self._lock:
            verdicts = self._judgement.update(service, seen, now_s, self._gateways)
        for verdict in verdicts:
            self._log(service, verdict, now_s)

    def _log(self, service: str, verdict: EjectionChange, now_s: float) -> None:
        counts = verdict.counts
        age_s = now_s - self._table.last_report_s(verdict.incarnation)
        fields = {
            "instance": verdict.incarnation.instance,
            "service": service,
            "cause": verdict.kind.value,
            "served": round(counts.served, 1),
            "failed": round(counts.failed, 1),
            "usual_ms": round(1000 * counts.quantile_s(0.5)),
            "told_age_ms": round(1000 * age_s) if age_s != float("inf") else None,
        }
        if verdict.is_return:
            emit(WORKER_RETURNED, **fields)
        else:
            emit(WORKER_SET_ASIDE, fellow=round(verdict.fellow, 3), for_s=verdict.for_s, **fields)

    def _note_alone(self) -> None:
        is_isolated = self._is_alone()
        if is_isolated == self._was_alone:
            return
        self._was_alone = is_isolated
        emit(SIGHT_ALONE if is_isolated else SIGHT_SHARED, gateways=self._gateways)
