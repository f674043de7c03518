"""Composition root of a hosted process: services of its role, signals, graceful shutdown."""

import importlib
import os
import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from bellweir.clients.answer_memory import PROCESS_MEMORY
from bellweir.events.bounded import WAIT_TIMEOUT_S, BoundedLog
from bellweir.events.log import bind_node, configure_logs, emit
from bellweir.hosted.crashes.service import CrashService
from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.log_events import (
    LINES_LEFT_OUT,
    PROCESS_STARTED,
    PROCESS_STOPPED,
    SETTINGS_REFUSED,
    SETTINGS_RELOADED,
    SETTINGS_UNKNOWN,
)
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.node_settings import node_settings, startup_seed_addresses
from bellweir.hosted.peer_records import PeerRecords
from bellweir.hosted.placement_objects import PlacementService
from bellweir.hosted.settings import (
    GATEWAY_ROLE,
    HostedSettings,
    LoadedSettings,
    load_settings,
)
from bellweir.hosted.signal_inbox import SignalInbox
from bellweir.hosted.stop_times import StopGuard, StopTimes
from bellweir.hosted.store_calls import CountingStore
from bellweir.hosted.validating_store import ValidatingStore
from bellweir.hosted.views.relay import FIRST_START_SEED_WAIT_S, SEED_WAIT_S
from bellweir.hosted.views.service import ViewsService
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.ending import EXIT_GIVEN_UP
from bellweir.kernel.listeners import Listeners, bind_address, bind_peer_pair
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.service import LedgerService
from bellweir.membership.service import MembershipService
from bellweir.settings.findings import SettingsError
from bellweir.wire.service import TransportService

SETTINGS_VARIABLE = "BELLWEIR_CONFIG"
ADAPTER_MODULE = "bellweir_platform.adapter"
EXIT_USAGE = 2
WAKE_INTERVAL_S = 1.0
LAST_LINES_SHARE = 0.5
"""Share of what is left of the grace period in which the last log lines are written."""

RoleService = Callable[[Kernel, HostedSettings, HostingPlatform], Service]


class HostedProcess:
    """A process that runs one role."""

    def __init__(
        self, loaded: LoadedSettings, path: Path, platform: HostingPlatform, log: BoundedLog
    ) -> None:
        self._loaded = loaded
        self._log = log
        self._path = path
        settings = loaded.settings
        self._settings = settings
        PROCESS_MEMORY.total_bytes = settings.memory.answer_bytes
        self._reload_requested = threading.Event()
        self._wake = threading.Event()
        self._signals = SignalInbox(
            {
                signal.SIGTERM: self._request_stop,
                signal.SIGINT: self._request_stop,
                signal.SIGHUP: self._request_reload,
            }
        )
        self._guard = StopGuard(settings.bounds.grace_period_s, self._end_unfinished)
        self._exit_lock = threading.Lock()
        self.kernel = Kernel(_bind(settings))
        self._register(settings, platform)

    def _register(self, settings: HostedSettings, platform: HostingPlatform) -> None:
        kernel = self.kernel
        node_cfg = node_settings(settings)
        entries = EntryValidator()
        store = CountingStore(ValidatingStore(platform.store, entries))
        platform = replace(platform, store=store)
        self._store = store
        add = kernel.registry.register
        add(TransportService(kernel, node_cfg))
        add(MembershipService(kernel, node_cfg))
        add(PlacementService(store))
        add(LedgerService(kernel, node_cfg))
        seeds, seed_wait_s = startup_seed_addresses(settings), _seed_wait_s(settings)
        add(ViewsService(kernel, store, seeds, seed_wait_s, entries, settings.places))
        add(PeerRecords(kernel, store, is_first_start=settings.node.bootstrap))
        add(MetricsService(kernel, settings, store))
        add(CrashService(kernel, settings.crashes, settings.bounds))
        for make in _role_services(settings.node.role):
            add(make(kernel, settings, platform))

    def run(self, started_s: float) -> None:
        """Start, serve until SIGTERM or a fatal service failure, then stop in the grace period.

        The grace period begins with the signal, also if that comes during the start.
        """
        self._signals.install()
        self.kernel.ending.listen(self._wake.set)
        self.kernel.executors.run_task("signals", self._signals.run)
        self.kernel.executors.run_task("stop-guard", self._guard.run)
        try:
            self.kernel.registry.start()
        except BaseException:
            self._signals.close()
            self._guard.cancel()
            raise
        node = self._settings.node
        start_ms = round(1000 * (elapsed_s() - started_s))
        emit(PROCESS_STARTED, role=node.role, zone=node.zone, start_ms=start_ms)
        while self._guard.times is None and self.kernel.ending.cause is None:
            self._wake.wait(WAKE_INTERVAL_S)
            self._wake.clear()
            self._store.log_calls_if_due()
            if self._reload_requested.is_set():
                self._reload_requested.clear()
                self._reload()
        self._stop()

    def _request_stop(self) -> None:
        self._guard.signal()
        self._wake.set()

    def _request_reload(self) -> None:
        self._reload_requested.set()
        self._wake.set()

    def _reload(self) -> None:
        """Validate the changed settings and log the differences.

        They apply from the next start, but for requests that are released from quarantine.
        """
        try:
            loaded = load_settings(self._path)
        except SettingsError as failure:
            emit(SETTINGS_REFUSED, findings=[str(each) for each in failure.findings])
            return
        changed = _changed_parts(self._loaded.settings, loaded.settings)
        self._loaded = loaded
        self.kernel.registry.find(names.CRASHES, CrashService).apply(loaded.settings.crashes)
        emit(SETTINGS_RELOADED, changed=changed)

    def _stop(self) -> None:
        times = self._guard.signal()
        registry = self.kernel.registry
        registry.find(names.MEMBERSHIP, MembershipService).announce_leaving()
        self._store.log_calls()
        registry.drain(max(0.0, times.serve_until_s - elapsed_s()))
        try:
            registry.stop()
        finally:
            self._exit(times, left_running=0)

    def _end_unfinished(self) -> None:
        """End the process at its last moment, with the stop unfinished."""
        self._exit(self._guard.signal(), left_running=1)

    def _exit(self, times: StopTimes, left_running: int) -> None:
        """End the process; only the first thread that comes does."""
        if not self._exit_lock.acquire(blocking=False):
            return
        now_s = elapsed_s()
        emit(
            PROCESS_STOPPED,
            seconds=round(now_s - times.signalled_s, 3),
            left_running=left_running,
        )
        left_s = max(0.0, times.end_s - now_s)
        self._log.close(min(WAIT_TIMEOUT_S, LAST_LINES_SHARE * left_s))
        # Tasks that block on the store or a worker hold no state to save.
        os._exit(EXIT_GIVEN_UP if self.kernel.ending.cause is not None else 0)


def _role_services(role: str) -> tuple[RoleService, ...]:
    """Constructors of a role's services, imported only for the role that needs them."""
    if role == GATEWAY_ROLE:
        from bellweir.hosted.serving.service import FrontService
        from bellweir.hosted.sight.service import WorkerMonitorService
        from bellweir.hosted.usage.sender import UsageCountsService

        return (UsageCountsService, WorkerMonitorService, FrontService)
    from bellweir.hosted.batches.service import BatchService
    from bellweir.hosted.retirement import RetirementService
    from bellweir.hosted.scaling.service import ScalingService
    from bellweir.hosted.usage.service import UsageReportsService
    from bellweir.hosted.weights.service import RolloutService

    return (
        BatchService,
        RolloutService,
        UsageReportsService,
        ScalingService,
        RetirementService,
    )


def _seed_wait_s(settings: HostedSettings) -> float:
    """Time to wait for a seed before the store is read."""
    return FIRST_START_SEED_WAIT_S if settings.node.bootstrap else SEED_WAIT_S


def _bind(settings: HostedSettings) -> Listeners:
    node = settings.node
    stream, datagram = bind_peer_pair(node.ip, node.peer_port)
    requests = settings.listen.requests
    gateway = None
    if requests is not None:
        gateway = bind_address(requests)
    return Listeners(stream, datagram, gateway)


def _changed_parts(before: HostedSettings, after: HostedSettings) -> list[str]:
    return [
        name
        for name in HostedSettings.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    ]


def main(make_process: type[HostedProcess] = HostedProcess) -> None:
    """Run the process with the settings file named by the environment."""
    started_s = elapsed_s()
    log = BoundedLog(sys.stdout, LINES_LEFT_OUT)
    configure_logs("info", "json", log)
    path = Path(os.environ.get(SETTINGS_VARIABLE, "/etc/bellweir/settings.json"))
    try:
        loaded = load_settings(path)
    except SettingsError as failure:
        emit(SETTINGS_REFUSED, findings=[str(each) for each in failure.findings])
        log.close()
        sys.exit(EXIT_USAGE)
    bind_node(loaded.settings.node.name)
    if loaded.unknown_keys:
        emit(SETTINGS_UNKNOWN, keys=list(loaded.unknown_keys))
    make_platform = importlib.import_module(ADAPTER_MODULE).make_platform
    platform = make_platform(loaded.settings.store.address)
    make_process(loaded, path, platform, log).run(started_s)
