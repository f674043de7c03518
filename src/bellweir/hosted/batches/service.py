"""Service `batches`: coordinates batch jobs on store machines."""

import threading

from bellweir.hosted.batches.attempts import ItemAttempts
from bellweir.hosted.batches.coordinator import Coordinator
from bellweir.hosted.batches.state import BatchJobs
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.views.service import ViewsService
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger

TIDY_PERIOD_S = 2.0


class BatchService(Service):
    """Runs the coordinator and its committer."""

    name = names.BATCHES
    dependencies = (names.VIEWS, names.LEDGER)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._connections = WorkerConnections(platform.headers)
        self._loads = WorkerLoads(settings.node.zone, self._connections.has_idle)

    def start(self) -> None:
        """Start the tasks; they act only while this node leads."""
        registry = self._kernel.registry
        self._views = registry.find(names.VIEWS, ViewsService)
        ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        ledger.register(BatchJobs)
        coordinator = Coordinator(
            ledger,
            self._views.configuration,
            self._views.workers,
            self._loads,
            ItemAttempts(self._connections, self._loads),
            self._kernel.executors,
            self._settings.bounds.status_s,
        )
        self._kernel.executors.run_task("batch-coordinator", coordinator.run)
        self._kernel.executors.run_task("batch-committer", coordinator.committer.run)
        self._kernel.executors.run_task("batch-tidy", self._tidy)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _tidy(self, stopping: threading.Event) -> None:
        while not stopping.wait(TIDY_PERIOD_S):
            workers = self._views.workers.all()
            self._loads.forget_others({worker.instance for worker in workers})
            self._connections.forget_others({worker.address for worker in workers})
