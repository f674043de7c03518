"""What this gateway knows of workers: its own sight and that of others, judged now and then.

The figures of a worker are put together once a look, for those workers only of which something is
known; a request reads them and adds what this node has in hand itself. A look costs time in the
workers known, so that many are looked at less often.
"""

import threading
import time
from collections.abc import Callable, Collection, Mapping

from bellweir.events.log import emit
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.log_events import (
    SIGHT_ALONE,
    SIGHT_SHARED,
    WORKER_RETURNED,
    WORKER_SET_ASIDE,
)
from bellweir.hosted.sight.counts import Counts
from bellweir.hosted.sight.interface import SeenOutcome, Sight, WorkerSeen
from bellweir.hosted.sight.judgement import Judgement, Verdict
from bellweir.hosted.sight.table import SightTable

LOOK_PERIOD_S = 0.4
LOOK_PERIOD_OF_WORKER_S = 0.003
"""Added for each worker known: a look at one takes some tens of microseconds."""
ENOUGH_ANSWERS = 8.0
"""Weight of answers from which a 95th percentile is told; below it, one slow answer would be it."""
ORIGINS_WITHIN_S = 15.0

Services = Mapping[str, Collection[Incarnation]]
"""Workers that may get requests, by service."""


class _Usual:
    """Times of a worker as of the last look."""

    __slots__ = ("slow_s", "usual_s")

    def __init__(self, counts: Counts) -> None:
        self.usual_s = counts.quantile_s(0.5)
        answers = sum(counts.buckets.values())
        self.slow_s = counts.quantile_s(0.95) if answers >= ENOUGH_ANSWERS else 0.0


class SharedSight(Sight):
    """Safe for threads."""

    def __init__(
        self,
        table: SightTable,
        services: Callable[[], Services],
        is_alone: Callable[[], bool] = lambda: False,
        now_s: Callable[[], float] = time.monotonic,
        *,
        sets_aside: bool = True,
    ) -> None:
        self._table = table
        self._services = services
        self._is_alone = is_alone
        self._now_s = now_s
        self._sets_aside = sets_aside
        self._lock = threading.Lock()
        self._judgement = Judgement()
        self._usual: dict[Incarnation, _Usual] = {}
        self._was_alone = False
        self._gateways = 1

    def begun(self, service: str, incarnation: Incarnation) -> None:
        """See the interface."""
        self._table.begun(incarnation, self._now_s())

    def ended(self, incarnation: Incarnation, outcome: SeenOutcome, seconds: float) -> None:
        """See the interface."""
        self._table.ended(incarnation, outcome, seconds, self._now_s())

    def seen(self, incarnation: Incarnation) -> WorkerSeen:
        """See the interface."""
        now_s = self._now_s()
        usual = self._usual.get(incarnation)
        usual_s = usual.usual_s if usual else 0.0
        return WorkerSeen(
            incarnation,
            self._table.in_hand(incarnation, usual_s, now_s),
            usual_s,
            usual.slow_s if usual else 0.0,
            self._table.age_s(incarnation, now_s),
            is_set_aside=self.is_set_aside(incarnation),
        )

    def is_set_aside(self, incarnation: Incarnation) -> bool:
        """Whether a worker gets no more than trials."""
        with self._lock:
            return self._judgement.is_set_aside(incarnation)

    def may_try(self, incarnation: Incarnation) -> bool:
        """See the interface."""
        with self._lock:
            return self._judgement.may_try(incarnation, self._now_s(), self._gateways)

    @property
    def is_alone(self) -> bool:
        """See the interface."""
        return self._is_alone()

    def gateways(self) -> int:
        """Gateways that saw something lately, this one included."""
        return self._gateways

    def set_aside_count(self) -> int:
        """Workers that get no more than trials from this node."""
        services = self._services()
        return sum(self.is_set_aside(one) for workers in services.values() for one in workers)

    def run(self, stopping: threading.Event) -> None:
        """Look now and then until `stopping`. One task."""
        while not stopping.wait(LOOK_PERIOD_S + LOOK_PERIOD_OF_WORKER_S * len(self._usual)):
            self.look()

    def look(self) -> None:
        """Put together what is known of each worker, and judge them."""
        now_s = self._now_s()
        services = self._services()
        present = {one for workers in services.values() for one in workers}
        self._table.forget(present, now_s)
        self._gateways = 1 + self._table.origins(now_s, ORIGINS_WITHIN_S)
        known = self._table.workers()
        merged = {one: self._table.merged(one, now_s) for one in known & present}
        self._usual = {one: _Usual(counts) for one, counts in merged.items()}
        if self._sets_aside:
            for service, workers in services.items():
                self._judge(service, workers, merged, now_s)
        self._note_alone()

    def _judge(
        self,
        service: str,
        workers: Collection[Incarnation],
        merged: Mapping[Incarnation, Counts],
        now_s: float,
    ) -> None:
        if not any(one in merged for one in workers):
            return
        nothing = Counts(as_of_s=now_s)
        seen = {one: merged.get(one, nothing) for one in workers}
        with self._lock:
            verdicts = self._judgement.judge(service, seen, now_s, self._gateways)
        for verdict in verdicts:
            self._log(service, verdict, now_s)

    def _log(self, service: str, verdict: Verdict, now_s: float) -> None:
        counts = verdict.counts
        age_s = self._table.age_s(verdict.incarnation, now_s)
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
        is_alone = self._is_alone()
        if is_alone == self._was_alone:
            return
        self._was_alone = is_alone
        emit(SIGHT_ALONE if is_alone else SIGHT_SHARED, gateways=self._gateways)
