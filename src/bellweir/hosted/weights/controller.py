"""Rollout controller: orders workers to load the newest published weight versions (see `plan`).

Only the lease holder sends orders, each with the fencing token and for one incarnation of a worker.
"""

from collections.abc import Callable
from dataclasses import dataclass

from bellweir.events.log import emit
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import (
    OrderOutcome,
    VersionOrder,
    WorkerControl,
    WorkerReport,
)
from bellweir.hosted.log_events import ORDER_SENT, VERSION_LOADED
from bellweir.hosted.records import JOB_KINDS
from bellweir.hosted.views.configuration import ConfigurationView, RouteTable
from bellweir.hosted.views.workers import Worker, WorkersView
from bellweir.hosted.weights.lags import VersionLags
from bellweir.hosted.weights.lease import Lease
from bellweir.hosted.weights.plan import ModelTarget, plan_weight_loads
from bellweir.hosted.weights.versions import VersionsView
from bellweir.hosted.weights.weight_load_limit import WeightLoadLimit
from bellweir.kernel.clock import elapsed_s

ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.4
FIRST_CHECK_DELAY_S = 0.9
"""Time from an accepted order to the first query of its completion."""
CHECK_INTERVAL_S = 0.2
UNANSWERED_RETRY_DELAY_S = 1.0
"""Time after an unanswered order before the next check."""
REPORT_TTL_S = 3.0
"""Time for which a report takes precedence over the worker's entry: two heartbeats and the delay of
the view."""
MAY_BE_LOADING = frozenset({OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN})
"""Answers after which the worker may be loading weights."""
MODE_MIXED_VERSIONS = "retain"
"""Running requests continue with the new version."""
MODE_SINGLE_VERSION = "wait"
"""Running requests finish first, so that each text comes from one version."""


@dataclass
class _WeightLoad:
    """A weight load in progress at one worker."""

    worker: Worker
    model: str
    version: int
    next_check_s: float
    """Time of the next query of the worker."""
    started_s: float
    accepted_s: float | None = None
    """Time at which the worker accepted the order; None until then."""


@dataclass(frozen=True, slots=True)
class _ReportedVersion:
    """A weight version that a worker reported.

    The worker's entry in the store lags by a heartbeat, so a report takes precedence at first.
    Later the entry does: an order to a former incarnation may be executed by the new one, whose
    sequence numbers restart, and return it to an older version.
    """

    version: int
    until_s: float
    """Time until which it takes precedence over the worker's entry."""


AnnounceWeightLoad = Callable[[Incarnation, str, float], None]
"""Called with worker, model and expected seconds of a weight load; 0 when it has ended."""


def _announce_to_nobody(_worker: Incarnation, _model: str, _for_s: float) -> None:
    """Default without a coordinator."""


class RolloutController:
    """Orders weight loads. `step` is called periodically by a single task."""

    def __init__(
        self,
        lease: Lease,
        versions: VersionsView,
        workers: WorkersView,
        configuration: ConfigurationView,
        control: WorkerControl,
        lags: VersionLags,
        node: str,
        *,
        sparse_loads: bool = True,
        announce_weight_load: AnnounceWeightLoad = _announce_to_nobody,
        now_s: Callable[[], float] = elapsed_s,
    ) -> None:
        """With `sparse_loads` the version lag that jobs allow is used to skip loads.

        `announce_weight_load` is called before each order and when the load ends or is refused.
        """
        self._announce_weight_load = announce_weight_load
        self._now_s = now_s
        self._lease = lease
        self._versions = versions
        self._workers = workers
        self._configuration = configuration
        self._control = control
        self._lags = lags
        self._node = node
        self._sparse_loads = sparse_loads
        self._loads: dict[Incarnation, _WeightLoad] = {}
        self._reported: dict[tuple[Incarnation, str], _ReportedVersion] = {}
        """Reported versions by incarnation and model."""
        self._limits: dict[str, WeightLoadLimit] = {}
        """Limits of concurrent loads by service."""

    def step(self) -> None:
        """Check the loads in progress and order the next ones."""
        table = self._configuration.table()
        if table is None or self._lease.remaining_s() <= 0:
            self._loads.clear()
            return
        self._check_loads()
        by_service: dict[str, list[ModelTarget]] = {}
        for model, version in self._versions.all().items():
            lag = self._lags.lag_of(model, version) if self._sparse_loads else 0
            target = ModelTarget(model, version, lag)
            for service in _services_with(table, model):
                by_service.setdefault(service, []).append(target)
        for service, targets in by_service.items():
            self._order_loads(table, service, targets)

    def _order_loads(self, table: RouteTable, service: str, targets: list[ModelTarget]) -> None:
        workers = self._workers.ready(service)
        held = {
            (worker.incarnation, target.model): self.held_version(worker, target.model)
            for worker in workers
            for target in targets
        }
        limit = self._limit_of(service).max_concurrent(len(workers))
        for planned in plan_weight_loads(targets, workers, held):
            if self._loading_count(service) >= limit:
                return
            if planned.worker.incarnation not in self._loads:
                self._order(table, planned.worker, planned.model, planned.version)

    def _limit_of(self, service: str) -> WeightLoadLimit:
        return self._limits.setdefault(service, WeightLoadLimit())

    def _loading_count(self, service: str) -> int:
        return sum(load.worker.entry.service == service for load in self._loads.values())

    def held_version(self, worker: Worker, model: str) -> int:
        """Return a worker's known version of a model; 0 if unknown."""
        listed = worker.version_of(model)
        held = self._reported.get((worker.incarnation, model))
        if held is None:
            return listed or 0
        if listed is not None and self._now_s() >= held.until_s:
            return listed
        return max(listed or 0, held.version)

    def _report_of(self, worker: Worker) -> WorkerReport | None:
        """Return a worker's report; None without one or if another incarnation answered."""
        report = self._control.report(worker.address, REPORT_TIMEOUT_S)
        if report is None or not worker.incarnation.matches_start(report.born_ms):
            return None
        return report

    def _order(self, table: RouteTable, worker: Worker, model: str, version: int) -> None:
        now_s = self._now_s()
        load = _WeightLoad(worker, model, version, now_s + UNANSWERED_RETRY_DELAY_S, now_s)
        self._loads[worker.incarnation] = load
        report = self._report_of(worker)
        if report is None or self._is_complete(load, report):
            return
        self._reported.pop((worker.incarnation, model), None)
        if report.order_in_progress:
            load.next_check_s = now_s + CHECK_INTERVAL_S
            return
        fence = self._lease.begin_operation(ORDER_TIMEOUT_S)
        if fence == 0:
            return
        # An unanswered order may still be executed. The next one carries the worker's last sequence
        # number, so that only one of the two takes effect.
        order = VersionOrder(
            model, version, _load_mode(table, worker), self._node, fence, report.sequence
        )
        # Announced first, since the worker refuses requests from the arrival of the order on.
        self._announce_weight_load(worker.incarnation, model, FIRST_CHECK_DELAY_S)
        answer = self._control.order(worker.address, worker.instance, order, ORDER_TIMEOUT_S)
        self._record_answer(load, order, answer)
        if answer not in MAY_BE_LOADING:
            self._announce_weight_load(worker.incarnation, model, 0.0)

    def _record_answer(self, load: _WeightLoad, order: VersionOrder, answer: OrderOutcome) -> None:
        now_s = self._now_s()
        emit(
            ORDER_SENT,
            instance=load.worker.instance,
            model=order.model,
            version=order.version,
            mode=order.mode,
            fence=order.fencing_token,
            expected=order.expected_sequence,
            answer=answer.value,
        )
        if answer is OrderOutcome.ACCEPTED:
            load.accepted_s = now_s
            load.next_check_s = now_s + FIRST_CHECK_DELAY_S
        elif answer is OrderOutcome.IN_FORCE:
            self._record_version(load, order.version)
        elif answer is OrderOutcome.UNKNOWN:
            load.next_check_s = now_s + UNANSWERED_RETRY_DELAY_S
        else:
            load.next_check_s = now_s + CHECK_INTERVAL_S

    def _check_loads(self) -> None:
        now_s = self._now_s()
        self._drop_former()
        for incarnation, load in list(self._loads.items()):
            if not self._is_listed(incarnation):
                del self._loads[incarnation]
            elif now_s >= load.next_check_s:
                self._check_load(load)

    def _drop_former(self) -> None:
        """Drop the reports of workers that are gone or have restarted."""
        kept = {key: held for key, held in self._reported.items() if self._is_listed(key[0])}
        self._reported = kept

    def _is_listed(self, incarnation: Incarnation) -> bool:
        """Whether this incarnation of a worker is still listed."""
        listed = self._workers.worker(incarnation.instance)
        return listed is not None and listed.incarnation == incarnation

    def _check_load(self, load: _WeightLoad) -> None:
        report = self._report_of(load.worker)
        if report is not None and self._is_complete(load, report):
            self._record_duration(load)
            return
        load.next_check_s = self._now_s() + CHECK_INTERVAL_S
        if report is None or not report.order_in_progress:
            # Not accepted or unknown: the next step repeats the order if it is still needed.
            del self._loads[load.worker.incarnation]

    def _record_duration(self, load: _WeightLoad) -> None:
        if load.accepted_s is not None:
            service = load.worker.entry.service
            seconds = self._now_s() - load.accepted_s
            self._limit_of(service).record_duration(seconds, len(self._workers.ready(service)))

    def _is_complete(self, load: _WeightLoad, report: WorkerReport) -> bool:
        for held in report.models:
            if held.name == load.model and held.version >= load.version:
                self._record_version(load, held.version)
                return True
        return False

    def _record_version(self, load: _WeightLoad, version: int) -> None:
        key = (load.worker.incarnation, load.model)
        before = self._reported.get(key)
        self._reported[key] = _ReportedVersion(version, self._now_s() + REPORT_TTL_S)
        self._loads.pop(load.worker.incarnation, None)
        if before is not None and before.version == version:
            return
        self._announce_weight_load(load.worker.incarnation, load.model, 0.0)
        emit(VERSION_LOADED, instance=load.worker.instance, model=load.model, version=version)


def _services_with(table: RouteTable, model: str) -> list[str]:
    """Return the services whose engines serve a model."""
    return [
        name
        for name, entry in table.services.items()
        if entry.engine is not None and any(each.name == model for each in entry.engine.models)
    ]


def _load_mode(table: RouteTable, worker: Worker) -> str:
    """Return how the load treats running requests, according to the service's routes."""
    for route in table.configuration.routes:
        serves = any(part.service == worker.entry.service for part in route.effective_backends)
        if route.kind in JOB_KINDS and route.single_version and serves:
            return MODE_SINGLE_VERSION
    return MODE_MIXED_VERSIONS
