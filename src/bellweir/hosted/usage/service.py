"""Service `usage_reports`: reports usage while this node holds the lease of the duties."""

import threading

from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.usage.reporter import UsageReporter
from bellweir.hosted.usage.state import UsageWindows
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.weights.service import RolloutService
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger

STEP_INTERVAL_S = 0.2


class UsageReportsService(Service):
    """Runs the usage reporter."""

    name = names.USAGE_REPORTS
    dependencies = (names.LEDGER, names.VIEWS, names.ROLLOUTS, names.TELEMETRY)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._platform = platform

    def start(self) -> None:
        """Start the task if the platform takes usage reports."""
        registry = self._kernel.registry
        ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        ledger.register(UsageWindows)
        usage = self._settings.usage
        if usage.address is None:
            return
        self._views = registry.find(names.VIEWS, ViewsService)
        self._reporter = UsageReporter(
            registry.find(names.ROLLOUTS, RolloutService).lease,
            ledger,
            self._platform.duties_at(usage.address),
            usage,
            self._settings.node.name,
            StableWallClock(),
            self._has_tenants,
            registry.find(names.TELEMETRY, MetricsService).metrics.add_counter(
                "bellweir_usage_reports",
                "Calls that report a window's usage, by answer; `missed`: overdue windows.",
                "outcome",
            ),
        )
        self._kernel.executors.run_loop("report-usage", self._run)

    def stop(self) -> None:
        """The task ends with the executors."""

    def _has_tenants(self) -> bool:
        table = self._views.configuration.table()
        return table is not None and table.keys.are_required

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.wait(STEP_INTERVAL_S):
            self._reporter.step()
