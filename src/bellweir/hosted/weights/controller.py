"""Brings workers to the newest named version of their models' weights, as `plan` says.

Target: the version that the trainer named last. Current state: what the worker itself reports,
asked for after each order; the store's list of workers lags behind by a heartbeat. Only the
holder of the lease gives orders, each under the lease's fence and for one incarnation of one
worker. An order without an answer may still be carried out: the next one names the sequence
number that the worker had, so that only one of the two takes effect.

A worker that starts again counts its orders anew, so that an order to the former start may still
be carried out by the new one and take it back to an older version. So what a report told counts
beside the entry only until the entry must have caught up; then the worker is asked again.
"""

import time
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
from bellweir.hosted.weights.load_limit import LoadLimit
from bellweir.hosted.weights.plan import ModelTarget, plan_loads
from bellweir.hosted.weights.versions import VersionsView

ORDER_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.4
LOOK_AFTER_ORDER_S = 0.9
"""Time after an order at which the worker is first asked whether it is done."""
LOOK_AGAIN_S = 0.2
RETRY_AFTER_SILENCE_S = 1.0
"""Time after an order without an answer before it is given again."""
REPORT_COUNTS_S = 3.0
"""Time for which a report counts beside an older entry: two beats of a worker and the way of its
entry here. After that the entry may be the newer one."""
MAY_LOAD = frozenset({OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN})
"""Answers after which the worker may be loading."""
MODE_MIXING = "retain"
"""Running requests go on under the new version."""
MODE_PURE = "wait"
"""Running requests end first, so that each text has one version."""


@dataclass
class _Load:
    """One worker on its way to a version."""

    worker: Worker
    model: str
    version: int
    look_s: float
    """When to ask the worker next."""
    since_s: float
    accepted_s: float | None = None
    """When the worker took the order; None while it has not said so."""


@dataclass(frozen=True, slots=True)
class _Held:
    """A version that a worker reported."""

    version: int
    until_s: float
    """Time until which it counts beside an entry that tells another one."""


TellLoad = Callable[[Incarnation, str, float], None]
"""Called with a worker, a model and the seconds for which the worker loads; 0: it does no more."""


def _tell_nobody(_worker: Incarnation, _model: str, _for_s: float) -> None:
    """Nobody runs work that a load would hold up."""


class RolloutController:
    """`step` is called by one task, a few times a second."""

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
        tell_load: TellLoad = _tell_nobody,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """With `sparse_loads` a worker loads only what its models' trainers make necessary.

        `tell_load` is called with each load that begins or has ended, or was not begun.
        """
        self._tell_load = tell_load
        self._now_s = now_s
        self._lease = lease
        self._versions = versions
        self._workers = workers
        self._configuration = configuration
        self._control = control
        self._lags = lags
        self._node = node
        self._sparse_loads = sparse_loads
        self._loads: dict[Incarnation, _Load] = {}
        self._held: dict[tuple[Incarnation, str], _Held] = {}
        """Versions by incarnation and model that workers reported themselves."""
        self._limits: dict[str, LoadLimit] = {}
        """How many workers of a service may load at once."""

    def step(self) -> None:
        """Look after the loads under way, and order the next ones."""
        table = self._configuration.table()
        if table is None or self._lease.remaining_s() <= 0:
            self._loads.clear()
            return
        self._look_after_loads()
        by_service: dict[str, list[ModelTarget]] = {}
        for model, version in self._versions.all().items():
            lag = self._lags.lag_of(model, version) if self._sparse_loads else 0
            target = ModelTarget(model, version, lag)
            for service in _services_of(table, model):
                by_service.setdefault(service, []).append(target)
        for service, targets in by_service.items():
            self._order_next(table, service, targets)

    def _order_next(self, table: RouteTable, service: str, targets: list[ModelTarget]) -> None:
        workers = self._workers.ready(service)
        held = {
            (worker.incarnation, target.model): self.held_version(worker, target.model)
            for worker in workers
            for target in targets
        }
        limit = self._limit_of(service).at_once(len(workers))
        for planned in plan_loads(targets, workers, held):
            if self._loading_count(service) >= limit:
                return
            if planned.worker.incarnation not in self._loads:
                self._order(table, planned.worker, planned.model, planned.version)

    def _limit_of(self, service: str) -> LoadLimit:
        return self._limits.setdefault(service, LoadLimit())

    def _loading_count(self, service: str) -> int:
        return sum(load.worker.entry.service == service for load in self._loads.values())

    def held_version(self, worker: Worker, model: str) -> int:
        """What is known of a worker's version; 0 when nothing is."""
        listed = worker.version_of(model)
        held = self._held.get((worker.incarnation, model))
        if held is None:
            return listed or 0
        if listed is not None and self._now_s() >= held.until_s:
            return listed
        return max(listed or 0, held.version)

    def _report_of(self, worker: Worker) -> WorkerReport | None:
        """A worker's report; None without one, or when another start of the worker answers."""
        report = self._control.report(worker.address, REPORT_TIMEOUT_S)
        if report is None or not worker.incarnation.matches_start(report.born_ms):
            return None
        return report

    def _order(self, table: RouteTable, worker: Worker, model: str, version: int) -> None:
        now_s = self._now_s()
        load = _Load(worker, model, version, now_s + RETRY_AFTER_SILENCE_S, now_s)
        self._loads[worker.incarnation] = load
        report = self._report_of(worker)
        if report is None or self._is_done(load, report):
            return
        self._held.pop((worker.incarnation, model), None)
        if report.order_in_progress:
            load.look_s = now_s + LOOK_AGAIN_S
            return
        fence = self._lease.begin_operation(ORDER_TIMEOUT_S)
        if fence == 0:
            return
        order = VersionOrder(
            model, version, _mode(table, worker), self._node, fence, report.sequence
        )
        # Told before: the worker refuses runs from the order's arrival on.
        self._tell_load(worker.incarnation, model, LOOK_AFTER_ORDER_S)
        answer = self._control.order(worker.address, worker.instance, order, ORDER_TIMEOUT_S)
        self._note_answer(load, order, answer)
        if answer not in MAY_LOAD:
            self._tell_load(worker.incarnation, model, 0.0)

    def _note_answer(self, load: _Load, order: VersionOrder, answer: OrderOutcome) -> None:
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
            load.look_s = now_s + LOOK_AFTER_ORDER_S
        elif answer is OrderOutcome.IN_FORCE:
            self._note_held(load, order.version)
        elif answer is OrderOutcome.UNKNOWN:
            load.look_s = now_s + RETRY_AFTER_SILENCE_S
        else:
            load.look_s = now_s + LOOK_AGAIN_S

    def _look_after_loads(self) -> None:
        now_s = self._now_s()
        self._forget_former()
        for incarnation, load in list(self._loads.items()):
            if not self._is_listed(incarnation):
                del self._loads[incarnation]
            elif now_s >= load.look_s:
                self._look_at(load)

    def _forget_former(self) -> None:
        """Drop what workers reported that are gone or have started again."""
        kept = {key: held for key, held in self._held.items() if self._is_listed(key[0])}
        self._held = kept

    def _is_listed(self, incarnation: Incarnation) -> bool:
        """Whether a worker is there and has not started anew."""
        listed = self._workers.worker(incarnation.instance)
        return listed is not None and listed.incarnation == incarnation

    def _look_at(self, load: _Load) -> None:
        report = self._report_of(load.worker)
        if report is not None and self._is_done(load, report):
            self._note_duration(load)
            return
        load.look_s = self._now_s() + LOOK_AGAIN_S
        if report is None or not report.order_in_progress:
            # Not taken, or not heard of: the next step orders it anew if it is still needed.
            del self._loads[load.worker.incarnation]

    def _note_duration(self, load: _Load) -> None:
        if load.accepted_s is not None:
            service = load.worker.entry.service
            seconds = self._now_s() - load.accepted_s
            self._limit_of(service).finished(seconds, len(self._workers.ready(service)))

    def _is_done(self, load: _Load, report: WorkerReport) -> bool:
        for held in report.models:
            if held.name == load.model and held.version >= load.version:
                self._note_held(load, held.version)
                return True
        return False

    def _note_held(self, load: _Load, version: int) -> None:
        key = (load.worker.incarnation, load.model)
        before = self._held.get(key)
        self._held[key] = _Held(version, self._now_s() + REPORT_COUNTS_S)
        self._loads.pop(load.worker.incarnation, None)
        if before is not None and before.version == version:
            return
        self._tell_load(load.worker.incarnation, load.model, 0.0)
        emit(VERSION_LOADED, instance=load.worker.instance, model=load.model, version=version)


def _services_of(table: RouteTable, model: str) -> list[str]:
    """Services whose workers can hold a model."""
    return [
        name
        for name, entry in table.services.items()
        if entry.engine is not None and any(each.name == model for each in entry.engine.models)
    ]


def _mode(table: RouteTable, worker: Worker) -> str:
    """How running requests are treated: routes that want one version let them end first."""
    for route in table.configuration.routes:
        serves = any(part.service == worker.entry.service for part in route.effective_backends)
        if route.kind in JOB_KINDS and route.single_version and serves:
            return MODE_PURE
    return MODE_MIXING
