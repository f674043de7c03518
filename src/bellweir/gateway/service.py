"""The gateway service: the node's HTTP interface and its planned stop."""

import threading
from collections.abc import Callable
from concurrent.futures import Future

from bellweir.configuration.interface import Configuration
from bellweir.events.log import emit
from bellweir.gateway.admission import ThreadShares
from bellweir.gateway.application import GatewayApplication
from bellweir.gateway.applications_api import ApplicationsApi
from bellweir.gateway.authorization import Authorization
from bellweir.gateway.channel import GatewayServer
from bellweir.gateway.context import Context
from bellweir.gateway.log_events import GATEWAY_DRAINED, GATEWAY_DRAINING, GATEWAY_LISTENING
from bellweir.gateway.openai_api import OpenAiApi
from bellweir.gateway.problems import Problem
from bellweir.gateway.resources_api import ResourcesApi
from bellweir.gateway.router import Router
from bellweir.gateway.status_api import StatusApi, StatusSources
from bellweir.gateway.steps_api import StepsApi
from bellweir.gateway.tokens import Tokens
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger
from bellweir.membership.interface import Membership
from bellweir.resources.interface import Resources
from bellweir.routing.interface import BackendViews, Dispatcher
from bellweir.samples.interface import Samples
from bellweir.settings.models import Settings
from bellweir.telemetry.interface import Telemetry

DRAIN_LOOK_S = 0.02
"""Time between two looks at whether the work in hand has ended."""
STOP_TIMEOUT_S = 5.0
DRAINING_RETRY_AFTER_S = 1.0
NOT_READY_RETRY_AFTER_S = 1.0


class GatewayService(Service):
    """Serves callers, trainers and operators over HTTP."""

    name = names.GATEWAY
    dependencies = (
        names.TELEMETRY,
        names.DISPATCHER,
        names.BACKEND_VIEWS,
        names.SAMPLES,
        names.RESOURCES,
        names.CONFIGURATION,
        names.MEMBERSHIP,
    )

    def __init__(
        self, kernel: Kernel, settings: Settings, limits: ServerLimits | None = None
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        gateway = settings.gateway
        self._limits = limits or ServerLimits(gateway.threads, gateway.maximum_body_bytes)
        self._server: GatewayServer | None = None
        self._loop: Future[None] | None = None
        self._caller_watch: CallerWatch | None = None
        self._draining = threading.Event()
        self._refusing = threading.Event()

    def start(self) -> None:
        """Listen on the kernel's socket.

        Raises `TokensUnreadableError` when settings name a file of tokens that can't be used.
        """
        gateway = self._settings.gateway
        context = Context(
            self._kernel.clock,
            ThreadShares(gateway.threads, self._kernel.clock),
            CallerWatch(self._kernel.executors),
            self._kernel.registry.find(names.TELEMETRY, Telemetry),  # type: ignore[type-abstract]
            logs_requests=self._settings.log.level == "debug",
        )
        path = gateway.tokens_file
        tokens = None if path is None else Tokens(path, self._kernel.clock)
        self._configuration = self._kernel.registry.find(
            names.CONFIGURATION,
            Configuration,  # type: ignore[type-abstract]
        )
        application = GatewayApplication(
            context, self._router(context), Authorization(tokens), self._refuses_work
        )
        self._add_gauges(context)
        listener = self._kernel.listeners.gateway
        if listener is None:
            raise RuntimeError("the gateway needs a listening socket")
        self._server = GatewayServer(application, listener, self._limits)
        self._caller_watch = context.caller_watch
        self._caller_watch.start()
        self._loop = self._kernel.executors.run_task("gateway", self._server.run_until_closed)
        emit(GATEWAY_LISTENING, address=self._kernel.listeners.gateway_address)

    def drain(self, deadline_s: float) -> None:
        """Report not ready, refuse work after a grace, and wait for the work in hand.

        The listening socket closes last, so that until then a caller gets an answer.
        """
        server = self._server
        if server is None:
            return
        deadline = elapsed_s() + deadline_s
        self._draining.set()
        server.closing_connections = True
        emit(GATEWAY_DRAINING, in_flight=server.busy_connections())
        grace_s = min(self._settings.gateway.drain_grace_s, deadline_s / 2)
        threading.Event().wait(grace_s)
        self._refusing.set()
        _wait_until(lambda: server.busy_connections() == 0, deadline)
        server.stop_accepting(STOP_TIMEOUT_S)
        _wait_until(lambda: server.busy_connections() == 0, deadline)
        emit(GATEWAY_DRAINED, left_running=server.busy_connections())

    def stop(self) -> None:
        """Close every connection and end every thread."""
        server, self._server = self._server, None
        if server is None:
            return
        if self._caller_watch is not None:
            self._caller_watch.stop()
        server.close_all()
        if self._loop is not None:
            self._loop.result(STOP_TIMEOUT_S)
        server.release()

    def _add_gauges(self, context: Context) -> None:
        """Gauges whose values others keep already."""
        telemetry = context.telemetry
        dispatcher = self._kernel.registry.find(names.DISPATCHER, Dispatcher)  # type: ignore[type-abstract]
        telemetry.add_gauge(
            "bellweir_threads_held",
            "Request threads held, by kind of work.",
            "share",
            lambda: context.shares.use().by_share,
        )
        telemetry.add_gauge(
            "bellweir_dispatched",
            "Requests dispatched since the start, by outcome.",
            "outcome",
            lambda: dispatcher.statistics().by_outcome,
        )
        telemetry.add_gauge(
            "bellweir_configuration_revision",
            "Store revision of the configuration in force.",
            "node",
            lambda: {self._settings.node.name: self._configuration.current().revision},
        )

    def _refuses_work(self) -> Problem | None:
        if self._refusing.is_set():
            detail = "this node is stopping; ask another one"
            return Problem(503, "draining", detail, retry_after_s=DRAINING_RETRY_AFTER_S)
        if not self._configuration.is_ready():
            detail = "no configuration has arrived on this node yet"
            return Problem(503, "not_ready", detail, retry_after_s=NOT_READY_RETRY_AFTER_S)
        return None

    def _router(self, context: Context) -> Router:
        find = self._kernel.registry.find
        configuration = find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        dispatcher = find(names.DISPATCHER, Dispatcher)  # type: ignore[type-abstract]
        samples = find(names.SAMPLES, Samples)  # type: ignore[type-abstract]
        resources = find(names.RESOURCES, Resources)  # type: ignore[type-abstract]
        router = Router()
        OpenAiApi(context, dispatcher, configuration).add_routes(router)
        ApplicationsApi(context, dispatcher).add_routes(router)
        StepsApi(context, samples, self._draining.is_set).add_routes(router)
        ResourcesApi(context, resources, self._draining.is_set).add_routes(router)
        sources = self._status_sources(configuration, dispatcher)
        StatusApi(context, sources, self._draining.is_set).add_routes(router)
        return router

    def _status_sources(
        self, configuration: Configuration, dispatcher: Dispatcher
    ) -> StatusSources:
        registry = self._kernel.registry
        ledger: Ledger | None = None
        if registry.has(names.LEDGER):
            ledger = registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        return StatusSources(
            configuration,
            registry.find(names.MEMBERSHIP, Membership),  # type: ignore[type-abstract]
            registry.find(names.BACKEND_VIEWS, BackendViews),  # type: ignore[type-abstract]
            dispatcher,
            ledger,
            self._settings.ledger.shards,
        )


def _wait_until(condition: Callable[[], bool], deadline: float) -> None:
    pause = threading.Event()
    while not condition() and elapsed_s() < deadline:
        pause.wait(DRAIN_LOOK_S)
