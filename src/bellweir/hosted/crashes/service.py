"""Kernel service `crashes`: the guard of this node and what it shares with the others."""

import threading

from bellweir.hosted.crashes.exchange import CrashExchange
from bellweir.hosted.crashes.fingerprint import Fingerprint
from bellweir.hosted.crashes.guard import SharedCrashGuard
from bellweir.hosted.crashes.interface import CrashGuard, NoCrashGuard
from bellweir.hosted.crashes.table import CrashTable
from bellweir.hosted.crashes.trials import Trials
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.settings import BoundSettings, CrashSettings
from bellweir.hosted.views.service import ViewsService
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Membership
from bellweir.wire.interface import Transport

RESOLVE_INTERVAL_S = 1.0
MS_PER_S = 1000
MAX_VIEW_AGE_S = 2.0
"""Age of the workers' view up to which an entry that is gone shows an end."""


class CrashService(Service):
    """Provides `guard`, and spreads what it learns."""

    name = names.CRASHES
    dependencies = (names.TRANSPORT, names.MEMBERSHIP, names.VIEWS, names.TELEMETRY)

    def __init__(self, kernel: Kernel, settings: CrashSettings, bounds: BoundSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        contact_s = bounds.contact_ms / MS_PER_S
        self._table = CrashTable(parse_fingerprints(settings.lifted), contact_s=contact_s)
        self.guard: CrashGuard = NoCrashGuard()
        """Suspects nothing before the start, and where the quarantine is switched off."""

    def start(self) -> None:
        """Start the exchange unless the quarantine is switched off."""
        if not self._settings.quarantine:
            return
        registry = self._kernel.registry
        self._views = registry.find(names.VIEWS, ViewsService)
        trials = Trials(self._table, lambda name: len(self._views.workers.ready(name)))
        exchange = CrashExchange(
            registry.find(names.TRANSPORT, Transport),  # type: ignore[type-abstract]
            registry.find(names.MEMBERSHIP, Membership),  # type: ignore[type-abstract]
            self._table,
            trials=trials,
        )
        metrics = registry.find(names.TELEMETRY, MetricsService).metrics
        self._guard = SharedCrashGuard(
            self._table,
            self._views.workers,
            self._is_view_current,
            exchange.announce,
            metrics.add_counter(
                "bellweir_crashing_requests",
                "Workers that ended under a request, and what followed for the request.",
                "outcome",
            ),
            begin_trial=exchange.begin_trial,
            trials=trials,
        )
        metrics.add_gauge(
            "bellweir_requests_quarantined",
            "Requests that are sent to no worker since they crash those that run them.",
            lambda: float(len(self._table.quarantined())),
        )
        self.guard = self._guard
        exchange.learn()
        self._kernel.executors.run_loop("crash-news", exchange.run)
        self._kernel.executors.run_loop("crash-ends", self._resolve)
        self._kernel.executors.run_loop("crash-looks", self._look_beside)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def apply(self, settings: CrashSettings) -> None:
        """Release the requests that changed settings name."""
        self._table.lift(parse_fingerprints(settings.lifted))

    def _is_view_current(self) -> bool:
        follower = self._views.workers_follower
        return follower.unreachable_for_s() == 0.0 and follower.age_s() < MAX_VIEW_AGE_S

    def _look_beside(self, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._guard.await_ends(RESOLVE_INTERVAL_S)
            self._guard.look_beside()

    def _resolve(self, stopping: threading.Event) -> None:
        while not stopping.wait(RESOLVE_INTERVAL_S):
            self._guard.resolve()


def parse_fingerprints(digests: tuple[str, ...]) -> frozenset[Fingerprint]:
    """Return the fingerprints that settings name by their digests in hexadecimal.

    Raises `ValueError`; settings are checked before.
    """
    return frozenset(bytes.fromhex(digest) for digest in digests)
