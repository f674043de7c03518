"""Service `front`: the gateway's listeners, graceful shutdown and metrics."""

import math
import random
import threading
from concurrent.futures import Future
from concurrent.futures import wait as wait_for_futures
from functools import partial
from typing import Any

from bellweir.events.log import emit
from bellweir.hosted.batches.api import BatchApi
from bellweir.hosted.batches.state import BatchJobs
from bellweir.hosted.crashes.service import CrashService
from bellweir.hosted.eligibility.cold_rates import GatewayShare
from bellweir.hosted.eligibility.homes import AllowedRegions, Regions
from bellweir.hosted.eligibility.rules import PlacementRules
from bellweir.hosted.interface import HostingPlatform
from bellweir.hosted.log_events import PROCESS_DRAINED, PROCESS_DRAINING
from bellweir.hosted.metrics_service import MetricsService
from bellweir.hosted.queueing.gate import RequestGate
from bellweir.hosted.room.observed import ObservedCapacity
from bellweir.hosted.serving.application import RequestApplication
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.directory import TTL_S, Directory
from bellweir.hosted.serving.forwarding import Forwarder
from bellweir.hosted.serving.selection import LOAD_ONLY_INTERVAL, WorkerLoads
from bellweir.hosted.serving.simple_application import SimpleApplication
from bellweir.hosted.serving.streams import StreamForwarder
from bellweir.hosted.settings import HostedSettings, TenantSettings
from bellweir.hosted.sight.interface import WorkerMonitor
from bellweir.hosted.sight.service import WorkerMonitorService
from bellweir.hosted.tenants.admission import KeyCheck
from bellweir.hosted.usage.sender import UsageCountsService
from bellweir.hosted.views.configuration import RouteTable
from bellweir.hosted.views.current_configuration import CurrentConfiguration, max_refusal_age_s
from bellweir.hosted.views.service import ViewsService
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.http import Request, Response, json_response
from bellweir.http_server.server import HttpServer, WsgiApplication
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.executors import WorkKind
from bellweir.kernel.listeners import bind_address
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.interface import Ledger
from bellweir.membership.interface import Membership

REQUEST_THREADS = 192
AUXILIARY_THREADS = 4
DEFAULT_MAX_BODY_BYTES = 32 << 20
"""Limit until the first configuration is read."""
DRAIN_POLL_INTERVAL_S = 0.05
LAST_ANSWERS_S = 0.15
"""Longest time after a drain for the answers to requests that are given up."""
LAST_POLL_INTERVAL_S = 0.01
ADDRESS_TTL_FACTOR = 3.5
"""Clients cache addresses for up to three times the directory's TTL."""
LONGEST_ACCEPT_SHARE = 0.5
"""Largest share of a drain in which clients are accepted; the rest is for their requests."""
LATE_SHARE = 0.8
"""Share of that time after which requests that could outlast the drain are refused."""
CLOSE_TIMEOUT_S = 0.2
"""Time for the listeners to close, and for threads to end once the drain is over."""
PRUNE_INTERVAL_S = 2.0
IDLE_MARGIN_S = 1.0


def max_key_age_s(tenants: TenantSettings) -> float:
    """Return the configuration age up to which its keys are accepted."""
    return tenants.revoke_ms / 1000 if tenants.strict_revoke else float("inf")


class FrontService(Service):
    """Serves requests, the directory and readiness checks, each on its own address."""

    name = names.FRONT
    dependencies = (
        names.VIEWS,
        names.MEMBERSHIP,
        names.LEDGER,
        names.TELEMETRY,
        names.USAGE_COUNTS,
        names.SIGHT,
        names.CRASHES,
    )

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._settings = settings
        self._platform = platform
        self._connections = WorkerConnections(platform.headers)
        self._servers: list[HttpServer] = []
        self._loops: list[Future[None]] = []
        self._requests: HttpServer | None = None
        self._forwarder: Forwarder | None = None
        self._draining = threading.Event()
        self._serve_until_s = math.inf
        """Time by which requests that come now must end; finite late in a drain."""

    def start(self) -> None:
        """Start listening on all configured addresses."""
        registry = self._kernel.registry
        self._views = registry.find(names.VIEWS, ViewsService)
        monitor = registry.find(names.SIGHT, WorkerMonitorService).monitor
        self._connections = WorkerConnections(self._platform.headers, monitor.record_load)
        membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        regions = Regions(self._settings.node.zones)
        self._loads = WorkerLoads(
            self._settings.node.zone,
            self._connections.has_idle,
            monitor,
            uses_shared_stats=self._settings.sight.choose_by_all,
            choice_count=random.randrange(LOAD_ONLY_INTERVAL),
            eligibility=PlacementRules(
                self._settings.places,
                self._views.evacuated,
                self._views.cold,
                GatewayShare(membership),
                self._views.configuration.services,
                regions,
            ),
            distance_s=partial(self._distance_s, regions),
        )
        self._views.workers.subscribe_address_changes(self._connections.renew)
        self._connections.on_stale = self._note_stale
        directory = Directory(
            membership,
            self._is_serving,
            self._settings.bounds.address_ttl_s,
            self._allowed_regions_of_host,
        )
        listen = self._settings.listen
        self._requests = self._serve(
            self._request_application(monitor), self._kernel.listeners.gateway
        )
        self._serve_at(listen.readiness, SimpleApplication(self._readiness))
        self._serve_at(listen.directory, SimpleApplication(directory.answer))
        self._views.configuration.subscribe(self._apply_limits)
        table = self._views.configuration.table()
        if table is not None:
            self._apply_limits(table)
        self._kernel.executors.run_loop("front-tidy", self._prune)

    def _note_stale(self, address: str) -> None:
        worker = self._views.workers.at(address)
        if worker is not None:
            self._loads.eligibility.note_closed(worker)

    def _allowed_regions_of_host(self, host: str) -> AllowedRegions:
        table = self._views.configuration.table()
        return table.allowed_regions_of_host(host) if table is not None else None

    def _distance_s(self, regions: Regions, zone: str) -> float:
        """Return what a request to a zone takes longer than one to the own zone."""
        is_far = regions.are_different(zone, self._settings.node.zone)
        return self._settings.places.region_round_trip_ms / 1000 if is_far else 0.0

    def _request_application(self, monitor: WorkerMonitor) -> RequestApplication:
        ledger = self._kernel.registry.find(names.LEDGER, Ledger)  # type: ignore[type-abstract]
        caller_watch = CallerWatch(self._kernel.executors)
        caller_watch.start()
        metrics = self._kernel.registry.find(names.TELEMETRY, MetricsService).metrics
        metrics.add_gauge(
            "bellweir_connections_busy",
            "Connections of clients with a request in hand.",
            lambda: float(self._requests.busy_connections() if self._requests else 0),
        )
        self._room = ObservedCapacity(self._loads.in_flight, self._loads.mean_s, monitor)
        gate = RequestGate(
            self._room,
            self._settings.room,
            metrics.add_counter(
                "bellweir_requests_refused",
                "Requests refused before any worker saw them, by cause.",
                "cause",
            ),
            metrics.add_wait_histogram(),
        )
        metrics.add_gauge(
            "bellweir_requests_waiting",
            "Requests that wait for room at a service.",
            lambda: float(gate.queue_length()),
        )
        metrics.add_gauges(
            "bellweir_service_slots_taken",
            "Requests in hand at a service's workers for each of their slots.",
            "service",
            self._slots_taken,
        )
        forwarder = self._forwarder = Forwarder(
            self._views.workers,
            self._loads,
            self._connections,
            caller_watch,
            metrics,
            self._views.workers_follower.age_s,
            usage=self._kernel.registry.find(names.USAGE_COUNTS, UsageCountsService).counter,
            uses_service_latency=self._settings.sight.patience_of_fellows,
            gate=gate,
            wait_share=self._settings.room.wait_share,
            crashes=self._kernel.registry.find(names.CRASHES, CrashService).guard,
        )
        streams = StreamForwarder(forwarder, self._loads, self._connections, caller_watch)
        ledger.register(BatchJobs)
        batches = BatchApi(
            ledger,
            self._platform.headers,
            self._platform.paths,
            nearby_reads=self._settings.batches.nearby_reads,
            count_deferred=metrics.add_counter(
                "bellweir_readings_put_off",
                "Readings of results answered 503, by what the zone's replica had.",
                "nearby",
            ),
        )
        current = self._current_configuration()
        return RequestApplication(
            self._platform.headers,
            self._views.configuration,
            forwarder,
            streams,
            batches,
            KeyCheck(
                current.age_s,
                metrics.add_counter(
                    "bellweir_keys_refused",
                    "Requests without a key that the configuration in force has, by verdict.",
                    "verdict",
                ),
                max_key_age_s(self._settings.tenants),
                max_refusal_age_s(self._settings.bounds),
            ),
            current,
            sends_urgency=self._settings.room.send_urgency,
            can_be_served=self._can_be_served,
        )

    def _current_configuration(self) -> CurrentConfiguration:
        follower = self._views.configuration_follower
        longest_s = (
            max_refusal_age_s(self._settings.bounds),
            max_key_age_s(self._settings.tenants),
        )
        return CurrentConfiguration(
            self._views.configuration,
            follower.age_s,
            follower.confirm,
            min(longest_s),
            partial(self._kernel.executors.submit, WorkKind.INTERACTIVE),
        )

    def _slots_taken(self) -> dict[str, float]:
        """Return the fraction of slots in use by service, as known to this gateway."""
        table = self._views.configuration.table()
        services = table.services if table is not None else ()
        workers = self._views.workers
        return {name: self._room.utilization(workers.ready(name)) for name in services}

    def _serve_at(self, address: str | None, application: WsgiApplication) -> None:
        if address is not None:
            self._serve(application, bind_address(address), threads=AUXILIARY_THREADS)

    def _serve(
        self, application: Any, listener: Any, threads: int = REQUEST_THREADS
    ) -> HttpServer | None:
        if listener is None:
            return None
        limits = ServerLimits(threads, DEFAULT_MAX_BODY_BYTES)
        server = HttpServer(application, listener, limits)
        self._servers.append(server)
        run = self._kernel.executors.run_task("http", server.run_until_closed)
        self._loops.append(run)
        return server

    def _is_serving(self) -> bool:
        return not self._draining.is_set() and self._views.configuration.known.is_set()

    def _readiness(self, request: Request) -> Response:
        if self._is_serving():
            return json_response(200, {"ready": True})
        return json_response(503, {"ready": False})

    def _apply_limits(self, table: RouteTable) -> None:
        """Apply the configuration's client limits, to open connections as well."""
        server = self._requests
        if server is None:
            return
        limits = table.configuration.limits
        server.adj.channel_timeout = limits.idle_timeout_ms / 1000 + IDLE_MARGIN_S
        server.adj.max_request_header_size = limits.max_header_bytes
        server.adj.max_request_body_size = limits.max_body_bytes + 1
        server.limits = ServerLimits(
            server.limits.threads,
            limits.max_body_bytes,
            idle_timeout_s=int(limits.idle_timeout_ms / 1000 + IDLE_MARGIN_S),
            header_timeout_s=max(1, int(limits.header_timeout_ms / 1000 + 0.999)),
            maximum_header_bytes=limits.max_header_bytes,
        )

    def _prune(self, stopping: threading.Event) -> None:
        """Drop the state of workers that no longer exist."""
        while not stopping.wait(PRUNE_INTERVAL_S):
            workers = self._views.workers.all()
            self._loads.retain({worker.incarnation for worker in workers})
            self._room.retain({worker.incarnation for worker in workers})
            self._connections.retain({worker.address for worker in workers})

    def drain(self, deadline_s: float) -> None:
        """Serve until cached addresses have expired and nothing is in hand, or to the deadline."""
        server = self._requests
        if server is None:
            return
        began_s = elapsed_s()
        end_s = began_s + deadline_s
        accept_s = min(ADDRESS_TTL_FACTOR * TTL_S, LONGEST_ACCEPT_SHARE * deadline_s)
        self._draining.set()
        for each in self._servers:
            each.closing_connections = True
        emit(PROCESS_DRAINING, in_flight=server.busy_connections())
        _sleep_until(began_s + LATE_SHARE * accept_s)
        self._serve_until_s = end_s
        _sleep_until(began_s + accept_s)
        for each in self._servers:
            each.stop_accepting(min(CLOSE_TIMEOUT_S, max(0.0, end_s - elapsed_s())))
        # Requests on the connections accepted last must be read before they count as busy.
        _sleep_until(min(end_s, elapsed_s() + DRAIN_POLL_INTERVAL_S))
        while self._in_flight() and elapsed_s() < end_s:
            _sleep_until(min(end_s, elapsed_s() + DRAIN_POLL_INTERVAL_S))
        self._end_unfinished()
        emit(PROCESS_DRAINED, in_flight=self._in_flight(), seconds=round(elapsed_s() - began_s, 3))

    def _end_unfinished(self) -> None:
        """Answer the requests that did not end in time, before their connections are closed."""
        if self._forwarder is None:
            return
        self._forwarder.end_all()
        until_s = elapsed_s() + LAST_ANSWERS_S
        while self._in_flight() and elapsed_s() < until_s:
            _sleep_until(min(until_s, elapsed_s() + LAST_POLL_INTERVAL_S))

    def _in_flight(self) -> int:
        """Connections of all listeners with a request in hand."""
        return sum(server.busy_connections() for server in self._servers)

    def _can_be_served(self, deadline_s: float) -> bool:
        """Whether a request that comes now will surely have ended before this process does."""
        return deadline_s <= self._serve_until_s

    def stop(self) -> None:
        """Close all connections; threads that don't end soon are left to the process's end."""
        servers, self._servers = self._servers, []
        for server in servers:
            server.close_all(CLOSE_TIMEOUT_S)
        wait_for_futures(self._loops, CLOSE_TIMEOUT_S)
        for server in servers:
            server.release()


def _sleep_until(time_s: float) -> None:
    """Sleep until a time of `elapsed_s`."""
    threading.Event().wait(max(0.0, time_s - elapsed_s()))
