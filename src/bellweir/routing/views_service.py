"""Service `backend_views`: tracks the state of the back ends this node routes to.

Each back end is probed by its owner, which pushes reports to subscribed nodes. A node probes a
back end itself if it has no recent report or if the back end was reported unreachable.
"""

import threading
from dataclasses import replace

from returns.result import Failure, Success

from bellweir.clients.interface import PlatformClients
from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.executors import ExecutorSaturatedError, WorkKind
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Ownership
from bellweir.resources.models import BackendKind
from bellweir.routing.backend import Backend, BackendReport, unreachable_report
from bellweir.routing.interface import BackendView, BackendViews
from bellweir.routing.messages import PushPrefixes, PushReports, SubscribeReports
from bellweir.routing.pool_table import PoolBackends, PoolTable
from bellweir.routing.pool_workers import Location, PoolWorker, workers_of_pool
from bellweir.routing.prefix_hints import PrefixHints
from bellweir.routing.probing import probe
from bellweir.routing.report_publisher import HEARTBEAT_INTERVAL_S, ReportPublisher
from bellweir.routing.report_subscriber import ReportSubscriber
from bellweir.routing.strategies import PREFIX_AWARE
from bellweir.settings.models import Settings
from bellweir.wire.interface import Message, Sender, Transport

MAX_REPORT_AGE_S = 2.0 * HEARTBEAT_INTERVAL_S + 1.0
"""Allows for two consecutive missed heartbeats."""

OWNERSHIP_REFRESH_INTERVAL_S = 10.0
"""How often the subsets of large pools are recomputed from ownership."""


class BackendViewsService(Service, BackendViews):
    """Probes back ends, exchanges reports with peers and serves the resulting views."""

    name = names.BACKEND_VIEWS
    dependencies = (names.PLATFORM, names.CONFIGURATION, names.OWNERSHIP, names.TRANSPORT)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings.routing
        node = settings.node
        self._node = node.name
        self._table = PoolTable(Location(node.name, node.zone, node.region), settings.routing)
        self._workers: dict[str, PoolWorker] = {}
        self._prefix_pools: set[str] = set()
        self._snapshot = ConfigurationSnapshot(0)
        self._ownership_refreshed_s = 0.0
        self._probing: set[str] = set()
        self._probing_lock = threading.Lock()
        self._wake = threading.Event()
        self._transport: Transport
        self._publisher = ReportPublisher(
            self._send, settings.routing.report_period_s, self._used_by_callers
        )
        self._subscriber = ReportSubscriber(self._send)
        self.prefixes = PrefixHints(self._send, settings.routing.report_period_s)

    def start(self) -> None:
        """Register handlers, subscribe to the configuration and start probing."""
        registry = self._kernel.registry
        self._clients = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        self._ownership = registry.find(names.OWNERSHIP, Ownership)  # type: ignore[type-abstract]
        self._transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._transport.register(SubscribeReports, self._on_subscription)
        self._transport.register(PushReports, self._on_reports)
        self._transport.register(PushPrefixes, self._on_prefixes)
        configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        configuration.subscribe(self._on_configuration)
        self._kernel.executors.run_loop("backend-probes", self._run)

    def stop(self) -> None:
        """Wake the probing task so that it ends; the kernel waits for it."""
        self._wake.set()

    def views(self, pool: str) -> tuple[BackendView, ...]:
        """Back ends of one pool in this node's subset; empty if the pool is unknown."""
        found = self._table.pools().get(pool)
        if found is None:
            return ()
        now_s = self._now_s()
        return tuple(backend.view(now_s) for backend in found.backends)

    def pools(self) -> dict[str, PoolBackends]:
        """All pools with their back ends; callers must not modify the result."""
        return self._table.pools()

    # --- events -------------------------------------------------------------------------------

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        self._snapshot = snapshot
        self._table.apply(snapshot, self._ownership.owns)
        self._workers = {
            worker.key: worker
            for pool in snapshot.pools.values()
            for worker in workers_of_pool(pool, snapshot.machines)
        }
        routed = set(self._table.by_key())
        self._subscriber.retain(routed)
        self.prefixes.retain(routed, set(self._workers))
        self._prefix_pools = {
            name
            for name, pool in snapshot.pools.items()
            if pool.spec.strategy == PREFIX_AWARE and pool.spec.kind is BackendKind.ENGINE
        }
        self._wake.set()

    def _on_subscription(self, sender: Sender, message: SubscribeReports) -> None:
        self._publisher.subscribe(sender.address, message, self._now_s())

    def _on_reports(self, _sender: Sender, message: PushReports) -> None:
        backends = self._table.by_key()
        for key, report in self._subscriber.apply(message, self._now_s()):
            backend = backends.get(key)
            if backend is not None:
                backend.update_report(report)

    def _on_prefixes(self, _sender: Sender, message: PushPrefixes) -> None:
        self.prefixes.apply_message(message)

    # --- the task -----------------------------------------------------------------------------

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._wake.clear()
            self._tick(self._now_s())
            self._wake.wait(self._settings.report_period_s)

    def _tick(self, now_s: float) -> None:
        """Renew subscriptions, start due probes and push reports."""
        if (
            self._table.has_large_pools
            and now_s - self._ownership_refreshed_s >= OWNERSHIP_REFRESH_INTERVAL_S
        ):
            self._ownership_refreshed_s = now_s
            self._table.apply(self._snapshot, self._ownership.owns)
        to_probe = {key: self._workers.get(key) for key in self._publisher.workers(now_s)}
        by_owner: dict[str, list[Backend]] = {}
        for key, backend in self._table.by_key().items():
            owner = self._ownership.owner_of(backend.name)
            owned = owner.node == self._node
            if owned or backend.needs_probe(now_s, MAX_REPORT_AGE_S):
                to_probe[key] = backend.worker
            if not owned:
                by_owner.setdefault(owner.peer_address, []).append(backend)
        self._subscriber.renew(by_owner, now_s)
        for worker in to_probe.values():
            if worker is not None:
                self._start_probe(worker)
        self._publisher.push(now_s)

    def _start_probe(self, worker: PoolWorker) -> None:
        """Probe on an executor thread, so that a hung back end does not delay other probes."""
        with self._probing_lock:
            if worker.key in self._probing:
                return
            self._probing.add(worker.key)
        try:
            self._kernel.executors.submit(WorkKind.BACKGROUND, self._probe, worker)
        except (ExecutorSaturatedError, RuntimeError):
            self._end_probe(worker)

    def _probe(self, worker: PoolWorker) -> None:
        try:
            backend = self._table.by_key().get(worker.key)
            match probe(worker, self._clients, self._kernel.clock):
                case Success(report):
                    self._record_probe_success(worker, backend, report)
                case Failure(_):
                    self._record_probe_failure(worker, backend)
        finally:
            self._end_probe(worker)

    def _record_probe_success(
        self, worker: PoolWorker, backend: Backend | None, report: BackendReport
    ) -> None:
        others = self._publisher.interactive_subscribers(worker.key)
        if backend is not None:
            backend.update_report(replace(report, interactive=others))
        self._publisher.publish(worker.key, report, self._now_s())
        if worker.pool in self._prefix_pools and self._ownership.owns(worker.name):
            engine = self._clients.engine(worker.address)
            subscribers = self._publisher.subscribers_to(worker.key)
            self.prefixes.read(worker.key, engine, self._now_s(), subscribers)

    def _record_probe_failure(self, worker: PoolWorker, backend: Backend | None) -> None:
        now_s = self._now_s()
        if backend is not None:
            backend.mark_unreachable(now_s)
        self._publisher.publish(worker.key, unreachable_report(now_s), now_s)

    def _end_probe(self, worker: PoolWorker) -> None:
        with self._probing_lock:
            self._probing.discard(worker.key)

    def _used_by_callers(self, worker: str) -> bool:
        backend = self._table.by_key().get(worker)
        return backend is not None and backend.has_recent_interactive_request(self._now_s())

    def _send(self, address: str, message: Message) -> bool:
        return self._transport.send(address, message)

    def _now_s(self) -> float:
        return self._kernel.clock.monotonic_s()
