"""Service `batches`: runs batch jobs on the nodes that store them."""

import threading

from bellweir.hosted.batches.attempts import ItemRunner
from bellweir.hosted.batches.coordinator import Coordinator
from bellweir.hosted.batches.retention import JobRetention
from bellweir.hosted.batches.state import JOBS_KEY, BatchJobs, JobState
from bellweir.hosted.crashes.service import CrashService
from bellweir.hosted.eligibility.cold_rates import CoordinatorShare
from bellweir.hosted.eligibility.homes import Regions
from bellweir.hosted.eligibility.rules import PlacementRules
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.weights.weight_load_messages import (
    WeightLoadListener,
    register_weight_load_listener,
)
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.service import LedgerService
from bellweir.wire.interface import Transport

CLEANUP_INTERVAL_S = 2.0


class BatchService(Service, WeightLoadListener):
    """Runs the coordinator, its committer and the retention of ended jobs."""

    name = names.BATCHES
    dependencies = (
        names.VIEWS,
        names.LEDGER,
        names.TELEMETRY,
        names.TRANSPORT,
        names.CRASHES,
    )

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._connections = WorkerConnections(platform.headers)

    def start(self) -> None:
        """Start the tasks; scheduling and commits happen only while this node leads."""
        registry = self._kernel.registry
        self._views = registry.find(names.VIEWS, ViewsService)
        self._views.workers.subscribe_address_changes(self._connections.renew)
        self._connections.on_stale = self._note_stale
        ledger = registry.find(names.LEDGER, LedgerService)
        ledger.register(BatchJobs)
        self._loads = WorkerLoads(
            self._settings.node.zone,
            self._connections.has_idle,
            eligibility=PlacementRules(
                self._settings.places,
                self._views.evacuated,
                self._views.cold,
                CoordinatorShare(),
                self._views.configuration.services,
                Regions(self._settings.node.zones),
            ),
        )
        crashes = registry.find(names.CRASHES, CrashService).guard
        self._attempts = ItemRunner(self._connections, self._loads, crashes)
        coordinator = Coordinator(
            ledger,
            self._views.configuration,
            self._views.workers,
            self._loads,
            self._attempts,
            self._kernel.executors,
            self._settings.batches,
        )
        transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        register_weight_load_listener(transport, self)
        retention = JobRetention(ledger, self._settings.bounds.status_s)
        self._add_gauges(
            registry.find(names.TELEMETRY, MetricsService).metrics, ledger, coordinator
        )
        self._kernel.executors.run_loop("batch-coordinator", coordinator.run)
        self._kernel.executors.run_loop("batch-committer", coordinator.committer.run)
        self._kernel.executors.run_loop("batch-retention", retention.run)
        self._kernel.executors.run_loop("batch-tidy", self._clean_up)

    def _note_stale(self, address: str) -> None:
        worker = self._views.workers.at(address)
        if worker is not None:
            self._loads.eligibility.note_closed(worker)

    def _add_gauges(
        self, metrics: RequestMetrics, ledger: LedgerService, coordinator: Coordinator
    ) -> None:
        def jobs() -> list[JobState]:
            machine = ledger.local_machine(JOBS_KEY, BatchJobs)
            return list(machine.jobs.values()) if isinstance(machine, BatchJobs) else []

        metrics.add_gauge(
            "bellweir_jobs_open",
            "Batch jobs that are accepted and not ended, as the local replica has them.",
            lambda: float(sum(state.is_open for state in jobs())),
        )
        metrics.add_gauge(
            "bellweir_items_listed",
            "Results of the jobs that are kept.",
            lambda: float(sum(len(state.results) for state in jobs())),
        )
        metrics.add_gauge(
            "bellweir_items_running",
            "Attempts of items in hand on this node.",
            lambda: float(coordinator.running_count()),
        )
        metrics.add_gauge(
            "bellweir_workers_left_alone",
            "On the jobs' leader: workers that load weights or refused a model's runs just now.",
            lambda: float(self._attempts.refusal_backoff.paused_worker_count()),
        )
        metrics.add_gauge(
            "bellweir_ledger_leads",
            "1 while this node leads the jobs' shard.",
            lambda: float(ledger.leads(JOBS_KEY)),
        )
        metrics.add_gauge(
            "bellweir_ledger_sound_voters",
            "On the leader of the jobs' shard: voters that answer and hold its log; 0 elsewhere.",
            lambda: float(ledger.sound_voters(JOBS_KEY)),
        )

    def on_weight_load_update(self, worker: Incarnation, model: str, for_s: float) -> None:
        """Send a worker no generations of a model while it loads the weights."""
        self._attempts.refusal_backoff.on_weight_load_update(worker, model, for_s)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _clean_up(self, stopping: threading.Event) -> None:
        while not stopping.wait(CLEANUP_INTERVAL_S):
            workers = self._views.workers.all()
            incarnations = {worker.incarnation for worker in workers}
            self._loads.retain(incarnations)
            self._attempts.refusal_backoff.retain(incarnations)
            self._attempts.quarantine.retain(incarnations)
            self._attempts.event_times.retain(incarnations)
            self._connections.retain({worker.address for worker in workers})
