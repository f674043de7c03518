"""Service `sight`: statistics of workers, shared with the other gateways."""

import time

from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.records import WorkerState
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.sight.exchange import ObservationExchange
from bellweir.hosted.sight.monitor import ServiceWorkers, SharedWorkerMonitor
from bellweir.hosted.sight.table import ObservationTable
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.views.workers import Worker
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Transport

MS_PER_S = 1000


class WorkerMonitorService(Service):
    """Runs the worker monitor and the gossip with other gateways."""

    name = names.SIGHT
    dependencies = (names.TRANSPORT, names.MEMBERSHIP, names.VIEWS, names.TELEMETRY)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings.sight
        self._excluded: set[Incarnation] = set()
        """Workers that say nothing about others and are not judged by them."""
        node = settings.node
        self._table = ObservationTable(node.name, node.zone, round(MS_PER_S * time.time()))
        self._exchange: ObservationExchange | None = None
        self.monitor = SharedWorkerMonitor(
            self._table,
            self._services,
            lambda: self._exchange is not None and self._exchange.is_isolated,
            ejects=self._settings.set_aside,
            uses_worker_load=self._settings.use_worker_load,
            retry_share=self._settings.try_share,
            count_refused=lambda service: self._count_refused(service),
            is_comparable=lambda worker: worker not in self._excluded,
        )

    def start(self) -> None:
        """Start the refreshes and, if enabled, the gossip."""
        registry = self._kernel.registry
        self._views = registry.find(names.VIEWS, ViewsService)
        run_loop = self._kernel.executors.run_loop
        if self._settings.share:
            self._exchange = ObservationExchange(
                registry.find(names.TRANSPORT, Transport),  # type: ignore[type-abstract]
                registry.find(names.MEMBERSHIP, Membership),  # type: ignore[type-abstract]
                self._table,
            )
            run_loop("gossip-observations", self._exchange.run)
        self._add_gauges(registry.find(names.TELEMETRY, MetricsService))
        run_loop("refresh-worker-stats", self.monitor.run)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _services(self) -> ServiceWorkers:
        found: dict[str, list[Incarnation]] = {}
        ready = [one for one in self._views.workers.all() if one.entry.state is WorkerState.READY]
        for worker in ready:
            found.setdefault(worker.entry.service, []).append(worker.incarnation)
        self._excluded = {worker.incarnation for worker in ready if self._is_excluded(worker)}
        return found

    def _is_excluded(self, worker: Worker) -> bool:
        """Whether a worker gets no work, or is slow because it has just started."""
        views = self._views
        is_evacuated = views.evacuated.is_evacuated(worker.entry.zone)
        return is_evacuated or views.cold.is_told_cold(worker.instance)

    def _add_gauges(self, telemetry: MetricsService) -> None:
        self._count_refused = telemetry.metrics.add_counter(
            "bellweir_further_tries_refused",
            "Further tries that were over the budget of their service.",
            "service",
        )
        add = telemetry.metrics.add_gauge
        add(
            "bellweir_workers_set_aside",
            "Ready workers that do worse than their fellows and get trials only.",
            lambda: float(self.monitor.ejected_count()),
        )
        add(
            "bellweir_sight_gateways",
            "Gateways that told lately what they saw of workers, this one included.",
            lambda: float(self.monitor.gateways()),
        )
        add(
            "bellweir_sight_alone",
            "1 while no other gateway is heard that should be.",
            lambda: float(self.monitor.is_isolated),
        )
