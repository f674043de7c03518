"""Service `dispatcher`: admits requests and dispatches them to back ends."""

from concurrent.futures import Future
from dataclasses import replace
from typing import TypeVar

from returns.result import Failure, Result

from bellweir.clients.interface import ApplicationAnswer, PlatformClients
from bellweir.configuration.interface import Configuration
from bellweir.configuration.placement import Placements
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Claims
from bellweir.membership.interface import Membership
from bellweir.resources.interface import Resources
from bellweir.routing.admitted_requests import AdmittedRequests
from bellweir.routing.application_requests import ApplicationRequests
from bellweir.routing.arm_counters import ArmCounters
from bellweir.routing.arm_reports import ArmReports
from bellweir.routing.arm_results import ArmResults
from bellweir.routing.arm_status import ArmStatusWriter
from bellweir.routing.counters import DispatchCounters
from bellweir.routing.forwarding import Forwarder
from bellweir.routing.generation_attempt import GenerationStarter
from bellweir.routing.generation_requests import GenerationRequests
from bellweir.routing.hedging import Hedger
from bellweir.routing.interface import (
    ApplicationRequest,
    Dispatcher,
    DispatchStatistics,
    Generation,
    GenerationRequest,
    Refusal,
)
from bellweir.routing.metrics import RoutingCollector
from bellweir.routing.once import OnceRequests
from bellweir.routing.outcome_recorder import OutcomeRecorder
from bellweir.routing.pool_runtime import PoolRuntimes
from bellweir.routing.stream_watchdog import StreamWatchdog
from bellweir.routing.views_service import BackendViewsService
from bellweir.settings.models import Settings
from bellweir.telemetry.interface import Telemetry
from bellweir.wire.interface import Transport

DRAIN_TIMEOUT_S = 5.0

RECORDS_DRAIN_TIMEOUT_S = 2.0

RESULTS_DRAIN_TIMEOUT_S = 2.0

_Served = TypeVar("_Served")


class DispatcherService(Service, Dispatcher):
    """Wires the components of routing; counts requests and refusals."""

    name = names.DISPATCHER
    dependencies = (names.PLATFORM, names.CONFIGURATION, names.BACKEND_VIEWS)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._settings = settings.routing
        self._node = settings.node.name
        self._fanout = settings.configuration.fanout
        self._counters = DispatchCounters()
        self._arms = ArmCounters()
        self._watch = StreamWatchdog()
        self._recorder = OutcomeRecorder(kernel.clock)
        self._admissions = AdmittedRequests(kernel.clock)
        self._runtimes: PoolRuntimes
        self._generations: GenerationRequests
        self._applications: ApplicationRequests
        self._results: ArmResults | None = None
        self._results_task: Future[None] | None = None

    def start(self) -> None:
        """Look up dependencies and start the background tasks."""
        registry = self._kernel.registry
        clients = registry.find(names.PLATFORM, PlatformClients)  # type: ignore[type-abstract]
        configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        views = registry.find(names.BACKEND_VIEWS, BackendViewsService)
        self._runtimes = PoolRuntimes(self._kernel.clock, views.prefixes.index)
        self._generations = self._make_generations(configuration, clients, views)
        self._applications = self._make_applications(configuration, clients, views)
        self._add_metrics(views)
        self._kernel.executors.run_task("claim-outcomes", self._recorder.run)
        self._kernel.executors.run_task("stream-watch", self._watch.run)
        self._start_arm_results()

    def drain(self, deadline_s: float) -> None:
        """Refuse new requests and wait for those in flight.

        The gateway has already drained, so only drafts of training steps can be left; another
        node recomputes them.
        """
        self._admissions.drain(min(deadline_s, DRAIN_TIMEOUT_S))
        self._recorder.drain(min(deadline_s, RECORDS_DRAIN_TIMEOUT_S))
        if self._results is not None and self._results_task is not None:
            self._results.flush(self._results_task, min(deadline_s, RESULTS_DRAIN_TIMEOUT_S))

    def stop(self) -> None:
        """Refuse new requests and cancel running streams."""
        self._admissions.draining = True
        if self._results is not None:
            self._results.end()
        self._watch.cancel_all()

    def statistics(self) -> DispatchStatistics:
        """Counters since the node started."""
        return replace(self._counters.read(), by_arm=self._arms.read())

    def generate(self, request: GenerationRequest) -> Result[Generation, Refusal]:
        """Admit a generation and start its first attempt; a refusal is immediate and final."""
        return self._record_outcome(self._generations.serve(request))

    def forward(self, request: ApplicationRequest) -> Result[ApplicationAnswer, Refusal]:
        """Forward to an application worker, with limits, retries and claims (class `once`)."""
        return self._record_outcome(self._applications.serve(request))

    def _record_outcome(self, outcome: Result[_Served, Refusal]) -> Result[_Served, Refusal]:
        self._counters.count_request()
        if isinstance(outcome, Failure):
            self._counters.count_refusal(outcome.failure())
        return outcome

    def _make_generations(
        self, configuration: Configuration, clients: PlatformClients, views: BackendViewsService
    ) -> GenerationRequests:
        clock = self._kernel.clock
        starter = GenerationStarter(
            views,
            self._runtimes,
            clients,
            self._kernel.executors,
            clock,
            self._counters,
            self._settings.draft_share,
        )
        return GenerationRequests(
            configuration,
            self._admissions,
            self._runtimes,
            starter,
            self._watch,
            self._counters,
            self._arms,
            clock,
        )

    def _make_applications(
        self, configuration: Configuration, clients: PlatformClients, views: BackendViewsService
    ) -> ApplicationRequests:
        clock = self._kernel.clock
        return ApplicationRequests(
            configuration,
            self._admissions,
            self._runtimes,
            Forwarder(views, self._runtimes, clients, clock, self._counters),
            Hedger(self._kernel.executors),
            OnceRequests(self._find_claims, self._recorder, clock),
            self._counters,
            clock,
        )

    def _add_metrics(self, views: BackendViewsService) -> None:
        registry = self._kernel.registry
        if registry.has(names.TELEMETRY):
            telemetry = registry.find(names.TELEMETRY, Telemetry)  # type: ignore[type-abstract]
            telemetry.registry.register(
                RoutingCollector(self.statistics, self._runtimes, views.pools)
            )

    def _start_arm_results(self) -> None:
        registry = self._kernel.registry
        if not registry.has(names.MEMBERSHIP):
            return
        membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        placements = Placements(membership, self._fanout)
        clock = self._kernel.clock
        reports = ArmReports(self._node, self._arms, transport, placements.current, clock)
        reports.register_handlers()
        results = ArmResults(reports, lambda: self._make_writer(reports), clock)
        started = registry.all_started
        self._results = results
        self._results_task = self._kernel.executors.run_task(
            "arm-results", lambda stopping: results.run(started, stopping)
        )

    def _make_writer(self, reports: ArmReports) -> ArmStatusWriter | None:
        registry = self._kernel.registry
        if not registry.has(names.RESOURCES):
            return None
        resources = registry.find(names.RESOURCES, Resources)  # type: ignore[type-abstract]
        return ArmStatusWriter(self._node, reports, resources, self._kernel.clock)

    def _find_claims(self) -> Claims | None:
        registry = self._kernel.registry
        if not registry.has(names.CLAIMS):
            return None
        return registry.find(names.CLAIMS, Claims)  # type: ignore[type-abstract]
