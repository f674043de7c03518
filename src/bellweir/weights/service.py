"""The service `weights`: brings the declared weight versions onto this node's engines."""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import wait as wait_for_futures
from typing import ClassVar

from returns.result import Failure, Success

from bellweir.clients.interface import ErrorKind, PlatformClients
from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.executors import ExecutorSaturatedError, WorkKind
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Ownership
from bellweir.resources.interface import Resources
from bellweir.settings.models import Settings
from bellweir.weights.engine_watch import EngineWatch
from bellweir.weights.log_events import (
    ORDER_FAILED,
    ORDER_FENCED,
    ORDER_SENT,
    ROUND_FAILED,
    SWAP_FAILED,
)
from bellweir.weights.messages import PoolPermits, PoolReport, SwapPermit
from bellweir.weights.pacing import RolloutPacer
from bellweir.weights.plan import PlanCache
from bellweir.weights.status import RolloutStatus
from bellweir.weights.store_check import StoreCheck
from bellweir.wire.interface import Sender, Transport

READ_TIMEOUT_S = 1.0
PACE_TIMEOUT_S = 1.0
ACTIVE_PERIOD_S = 0.1
"""Time between rounds while an engine of this node has yet to reach its target."""
ROUND_DEADLINE_S = 15.0


class WeightsService(Service):
    """Compares what this node's engines hold with what is declared, and orders the difference."""

    name: ClassVar[str] = names.WEIGHTS
    dependencies: ClassVar[tuple[str, ...]] = (
        names.CONFIGURATION,
        names.OWNERSHIP,
        names.PLATFORM,
        names.TRANSPORT,
    )

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._watches: dict[str, EngineWatch] = {}
        self._plans = PlanCache()
        self._wake = threading.Event()

    def start(self) -> None:
        """Begin to watch this node's engines."""
        self.connect()
        self._kernel.executors.run_loop("weights", self._run)

    def connect(self) -> None:
        """Find the other services and answer owners' reports, without rounds of its own."""
        registry = self._kernel.registry
        self._configuration = registry.find(
            names.CONFIGURATION,
            Configuration,  # type: ignore[type-abstract]
        )
        self._ownership = registry.find(names.OWNERSHIP, Ownership)  # type: ignore[type-abstract]
        self._platform = registry.find(
            names.PLATFORM,
            PlatformClients,  # type: ignore[type-abstract]
        )
        self._transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._store_check = StoreCheck(self._platform, self._kernel.clock)
        self._pacer = RolloutPacer(
            self._settings.weights,
            self._kernel.clock,
            self._configuration,
            self._store_check.address,
            self._plans,
        )
        self._status: RolloutStatus | None = None
        if registry.has(names.RESOURCES):
            resources = registry.find(names.RESOURCES, Resources)  # type: ignore[type-abstract]
            self._status = RolloutStatus(self._kernel.executors, self._kernel.clock, resources)
        self._transport.register(PoolReport, self._on_report)
        self._configuration.subscribe(lambda _snapshot: self._wake.set())

    def stop(self) -> None:
        """End the rounds; engines keep what they hold."""
        self._wake.set()

    def _on_report(self, _sender: Sender, report: PoolReport) -> PoolPermits:
        return PoolPermits(self._pacer.take_report(report))

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._wake.clear()
            try:
                is_busy = self.go_round()
            except Exception as failure:
                is_busy = False
                emit(ROUND_FAILED, error=repr(failure))
            pause_s = ACTIVE_PERIOD_S if is_busy else self._settings.weights.order_period_s
            self._kernel.clock.wait(self._wake, pause_s)

    def go_round(self) -> bool:
        """Look at each owned engine once; whether some has yet to reach its target."""
        snapshot = self._configuration.current()
        self._retarget(snapshot)
        self._for_each(self._read_state, list(self._watches.values()))
        by_pool: dict[str, list[EngineWatch]] = {}
        for watch in self._watches.values():
            by_pool.setdefault(watch.target.pool, []).append(watch)
        for pool, watches in by_pool.items():
            permits = self._ask_permits(pool, watches)
            self._send_orders(snapshot.revision, watches, permits)
        if self._status is not None:
            self._status.report(self._pacer.summaries(self._paces))
        return any(not watch.holds_target for watch in self._watches.values())

    def _paces(self, pool: str) -> bool:
        return self._ownership.owner_of(pacer_key(pool)).node == self._settings.node.name

    def _retarget(self, snapshot: ConfigurationSnapshot) -> None:
        wanted = self._plans.targets(snapshot)
        targets = {worker: wanted[worker] for worker in self._ownership.owned(wanted)}
        for worker in [worker for worker in self._watches if worker not in targets]:
            del self._watches[worker]
        for worker, target in targets.items():
            known = self._watches.get(worker)
            if known is None:
                self._watches[worker] = EngineWatch(target, target.declared_at)
            else:
                known.retarget(target, snapshot.revision)

    def _for_each(self, work: Callable[[EngineWatch], None], watches: list[EngineWatch]) -> None:
        """Run a call for each engine at once, and wait for all of them."""
        futures: list[Future[None]] = []
        for watch in watches:
            try:
                futures.append(self._kernel.executors.submit(WorkKind.BACKGROUND, work, watch))
            except ExecutorSaturatedError:
                # Left for the next round.
                break
        wait_for_futures(futures, timeout=ROUND_DEADLINE_S)

    def _read_state(self, watch: EngineWatch) -> None:
        read = self._platform.engine(watch.target.address).read_state(READ_TIMEOUT_S)
        if isinstance(read, Failure):
            watch.state = None
            return
        watch.state = read.unwrap()
        error = watch.state.swap_error
        if error is not None:
            self._note_swap_error(watch, error)

    def _note_swap_error(self, watch: EngineWatch, error: str) -> None:
        if watch.counted_error == error:
            return
        watch.counted_error = error
        watch.note_failure(self._kernel.clock.monotonic_s())
        emit(
            SWAP_FAILED,
            worker=watch.target.worker,
            version=watch.target.version,
            error=error,
            failures=watch.failures,
        )

    def _ask_permits(self, pool: str, watches: list[EngineWatch]) -> dict[str, SwapPermit]:
        now_s = self._kernel.clock.monotonic_s()
        reports = []
        for watch in watches:
            is_available = not watch.costs_capacity() or self._store_check.has(
                watch.target.model, watch.target.version
            )
            reports.append(watch.report(now_s, is_available=is_available))
        pacer = self._ownership.owner_of(pacer_key(pool))
        report = PoolReport(pool, self._settings.node.name, tuple(reports))
        if pacer.node == self._settings.node.name:
            permits = self._pacer.take_report(report)
        else:
            answer = self._transport.request(pacer.peer_address, report, PACE_TIMEOUT_S)
            if not isinstance(answer, Success):
                return {}
            reply = answer.unwrap()
            permits = reply.permits if isinstance(reply, PoolPermits) else ()
        return {permit.worker: permit for permit in permits}

    def _send_orders(
        self, revision: int, watches: list[EngineWatch], permits: dict[str, SwapPermit]
    ) -> None:
        now_s = self._kernel.clock.monotonic_s()
        chosen = [
            watch
            for watch in watches
            if watch.wants_order(now_s)
            and (watch.target.worker in permits or not watch.costs_capacity())
        ]

        def send(watch: EngineWatch) -> None:
            permit = permits.get(watch.target.worker)
            self._send_order(revision, watch, permit.sources if permit is not None else ())

        self._for_each(send, chosen)

    def _send_order(self, revision: int, watch: EngineWatch, sources: tuple[str, ...]) -> None:
        order = watch.order(revision, sources)
        watch.note_order(self._kernel.clock.monotonic_s())
        emit(
            ORDER_SENT,
            worker=watch.target.worker,
            model=order.model,
            version=order.weight_version,
            fence=order.fence,
            sources=order.sources,
        )
        answer = self._platform.engine(watch.target.address).order(order)
        if isinstance(answer, Success):
            watch.state = answer.unwrap()
            return
        error = answer.failure()
        if error.kind is ErrorKind.FENCED:
            emit(
                ORDER_FENCED,
                worker=watch.target.worker,
                version=order.weight_version,
                fence=order.fence,
            )
        else:
            emit(
                ORDER_FAILED,
                worker=watch.target.worker,
                version=order.weight_version,
                error=error.detail,
            )
        watch.note_failure(self._kernel.clock.monotonic_s())


def pacer_key(pool: str) -> str:
    """Key under which a pool's pacing node is chosen, among those of workers."""
    return f"pool/{pool}"
