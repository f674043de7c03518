"""Service `backend_views`: keeps the node's picture of the back ends it routes over."""

import threading

from returns.result import Failure, Success

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.executors import ExecutorSaturatedError, WorkKind
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.platform.interface import PlatformClients
from bellweir.routing.backend import Backend
from bellweir.routing.interface import BackendView, BackendViews
from bellweir.routing.pool_table import PoolBackends, PoolTable
from bellweir.routing.pool_workers import Location
from bellweir.routing.probing import probe
from bellweir.settings.models import Settings


class BackendViewsService(Service, BackendViews):
    """Probes the subset's back ends and answers what is known of them."""

    name = names.BACKEND_VIEWS
    dependencies = (names.PLATFORM, names.CONFIGURATION)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings.routing
        node = settings.node
        self._table = PoolTable(Location(node.name, node.zone, node.region), settings.routing)
        self._probing: set[str] = set()
        self._probing_lock = threading.Lock()
        self._wake = threading.Event()

    def start(self) -> None:
        """Follow the configuration and begin to probe."""
        registry = self._kernel.registry
        self._clients = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        configuration.subscribe(self._on_configuration)
        self._kernel.executors.run_task("backend-probes", self._probe_until_stopped)

    def stop(self) -> None:
        """End the probing task soon; the kernel waits for it."""
        self._wake.set()

    def views(self, pool: str) -> tuple[BackendView, ...]:
        """The subset of one pool; empty when the pool is unknown."""
        found = self._table.pools().get(pool)
        if found is None:
            return ()
        now_s = self._kernel.clock.monotonic_s()
        return tuple(backend.view(now_s) for backend in found.backends)

    def pools(self) -> dict[str, PoolBackends]:
        """All pools with their back ends, for the dispatcher; not to be modified."""
        return self._table.pools()

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        self._table.apply(snapshot)
        self._wake.set()

    def _probe_until_stopped(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._wake.clear()
            for found in self._table.pools().values():
                for backend in found.backends:
                    self._start_probe(backend)
            self._wake.wait(self._settings.report_period_s)

    def _start_probe(self, backend: Backend) -> None:
        """Probe off this thread, so that a hung back end delays no other one's probe."""
        with self._probing_lock:
            if backend.address in self._probing:
                return
            self._probing.add(backend.address)
        try:
            self._kernel.executors.submit(WorkKind.BACKGROUND, self._probe, backend)
        except (ExecutorSaturatedError, RuntimeError):
            self._end_probe(backend)

    def _probe(self, backend: Backend) -> None:
        try:
            match probe(backend.worker, self._clients, self._kernel.clock):
                case Success(report):
                    backend.take_report(report)
                case Failure(_):
                    backend.mark_unreachable(self._kernel.clock.monotonic_s())
        finally:
            self._end_probe(backend)

    def _end_probe(self, backend: Backend) -> None:
        with self._probing_lock:
            self._probing.discard(backend.address)
