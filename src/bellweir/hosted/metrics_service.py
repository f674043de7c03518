"""Service `telemetry`: serves the metrics of the process in the Prometheus text format."""

import socket
import threading
from functools import partial

from bellweir.clients.answer_memory import PROCESS_MEMORY
from bellweir.events.log import emit
from bellweir.hosted.log_events import METRICS_UNAVAILABLE
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.simple_application import SimpleApplication
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.store_calls import CountingStore
from bellweir.hosted.views.service import ViewsService
from bellweir.http_server.http import Request, Response, json_response
from bellweir.http_server.server import HttpServer
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.listeners import bind_address
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service

PATH = "/metrics"
THREADS = 2
MAX_BODY_BYTES = 1 << 16
BIND_RETRY_INTERVAL_S = 2.0
MAX_AGE_S = 1e6
"""Reported for a view that was never current."""


class MetricsService(Service):
    """Holds the metrics that other services update, and serves them over HTTP."""

    name = names.TELEMETRY
    dependencies = (names.VIEWS, names.MEMBERSHIP)

    def __init__(self, kernel: Kernel, settings: HostedSettings, store: CountingStore) -> None:
        self._kernel = kernel
        self._address = settings.listen.metrics
        self.metrics = RequestMetrics()
        self.metrics.add_store_calls(store.counts)
        self._lock = threading.Lock()
        self._server: HttpServer | None = None
        self._stopped = False
        self._started_s = elapsed_s()

    def start(self) -> None:
        """Add the gauges of all roles and, if an address is set, start to serve."""
        self._add_gauges(self._kernel.registry.find(names.VIEWS, ViewsService))
        if self._address is not None:
            self._kernel.executors.run_task("metrics", partial(self._serve, self._address))

    def _serve(self, address: str, stopping: threading.Event) -> None:
        """Serve the metrics; runs in a task, since binding the address may have to be retried."""
        listener = self._bind(address, stopping)
        if listener is None:
            return
        limits = ServerLimits(THREADS, MAX_BODY_BYTES)
        server = HttpServer(SimpleApplication(self._answer), listener, limits)
        with self._lock:
            self._server = server
            was_stopped = self._stopped
        if was_stopped:
            server.close_all()
        server.run_until_closed(stopping)

    def _bind(self, address: str, stopping: threading.Event) -> socket.socket | None:
        """Bind an address, retrying while it is in use; None if the process stops first."""
        while not stopping.is_set() and not self._stopped:
            try:
                return bind_address(address)
            except OSError as exc:
                emit(METRICS_UNAVAILABLE, address=address, error=repr(exc))
            stopping.wait(BIND_RETRY_INTERVAL_S)
        return None

    def stop(self) -> None:
        """Close the listener."""
        with self._lock:
            self._stopped = True
            server, self._server = self._server, None
        if server is not None:
            server.close_all()
            server.release()

    def _answer(self, request: Request) -> Response:
        if request.path != PATH:
            return json_response(404, {"error": "not_found"})
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return Response(200, headers, self.metrics.render())

    def _add_gauges(self, views: ViewsService) -> None:
        add = self.metrics.add_gauge
        table = views.configuration.table
        add(
            "bellweir_configuration_version",
            "Version of the configuration in force; 0 without one.",
            lambda: float(configuration.version) if (configuration := table()) else 0.0,
        )
        add(
            "bellweir_answer_bytes_held",
            "Bytes of long answers of workers and the platform that are held while they are read.",
            lambda: float(PROCESS_MEMORY.held_bytes),
        )
        add(
            "bellweir_configuration_age_seconds",
            "Time since the configuration was last known to be the store's.",
            lambda: min(MAX_AGE_S, views.configuration_follower.age_s()),
        )
        add(
            "bellweir_workers_age_seconds",
            "Time since the list of workers was last known to be the store's.",
            lambda: min(MAX_AGE_S, views.workers_follower.age_s()),
        )
        add(
            "bellweir_workers_started_again",
            "Times since this process began that a worker was read as started again under its id.",
            lambda: float(views.workers.restart_count),
        )
        add(
            "bellweir_workers_listed",
            "Workers in the list.",
            lambda: float(len(views.workers.all())),
        )
        add(
            "bellweir_workers_cold",
            "Listed workers whose entries tell that they are cold.",
            lambda: float(views.cold.told_count()),
        )
        self.metrics.add_gauges(
            "bellweir_zone_evacuated",
            "1 for each zone that the operator evacuates, as this process knows.",
            "zone",
            lambda: dict.fromkeys(views.evacuated.zones(), 1.0),
        )
        self.metrics.add_unreadable_entries(views.entries)
        add(
            "bellweir_views_relayed",
            "1 while peers tell this process what is new in the store, 0 while it asks itself.",
            lambda: float(views.is_relayed()),
        )
        add(
            "bellweir_store_turns_away",
            "1 while the platform's store does not serve this process, which asks peers instead.",
            lambda: float(views.is_cut_off()),
        )
        add(
            "bellweir_views_subscribers",
            "Processes that this one tells what is new in the store.",
            lambda: float(views.subscriber_count()),
        )
        add(
            "bellweir_uptime_seconds",
            "Time since the process was composed.",
            lambda: elapsed_s() - self._started_s,
        )
