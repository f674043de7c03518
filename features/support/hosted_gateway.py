"""A hosted gateway's request interface in this process, with stand-in workers."""

import http.client
import itertools
import socket
import threading
import time
from functools import partial
from types import SimpleNamespace

import msgspec

from bellweir.hosted.interface import Listing, StoredRecord
from bellweir.hosted.queueing.gate import RequestGate
from bellweir.hosted.room.observed import ObservedCapacity
from bellweir.hosted.serving.application import RequestApplication
from bellweir.hosted.serving.attempt import WorkerConnections
from bellweir.hosted.serving.forwarding import Forwarder
from bellweir.hosted.serving.metrics import RequestMetrics
from bellweir.hosted.serving.selection import WorkerLoads
from bellweir.hosted.serving.streams import StreamForwarder
from bellweir.hosted.settings import BoundSettings, RoomSettings
from bellweir.hosted.sight.interface import WorkerStats
from bellweir.hosted.tenants.admission import KeyCheck
from bellweir.hosted.usage.counter import UsageCounter
from bellweir.hosted.usage.wall_clock import StableWallClock
from bellweir.hosted.views.configuration import ConfigurationView
from bellweir.hosted.views.current_configuration import CurrentConfiguration, max_refusal_age_s
from bellweir.hosted.views.workers import WorkersView
from bellweir.http_server.caller_watch import CallerWatch
from bellweir.http_server.server import HttpServer
from bellweir.http_server.server_limits import ServerLimits
from bellweir.kernel.executors import Executors, WorkKind
from bellweir.kernel.listeners import address_of
from bellweir_platform.headers import HEADERS

HOST = "shop.example"
USAGE_WINDOW_S = 5.0
ROUTES = (
    ("/idempotent/", "idempotent", {"maxAttempts": 2, "timeoutMs": 5000}),
    ("/single/", "non_idempotent", {"maxAttempts": 2, "timeoutMs": 5000}),
    ("/short/", "idempotent", {"maxAttempts": 2, "timeoutMs": 300, "targetMs": 200}),
    ("/stream/", "streaming", {"maxAttempts": 3, "canResume": False}),
    ("/resumable/", "streaming", {"maxAttempts": 3, "canResume": True}),
)


def configuration(version=1, tenants=(), public=()):
    """`tenants` are pairs of name and keys; `public` holds path prefixes of public routes."""
    routes = [
        {"host": HOST, "pathPrefix": prefix, "kind": kind, "service": "app"}
        | {"timeoutMs": 10_000, "targetMs": 2_000}
        | fields
        | {"public": prefix in public}
        for prefix, kind, fields in ROUTES
    ]
    found = {"version": version, "routes": routes, "services": [{"name": "app"}]}
    if tenants:
        found["tenants"] = [{"name": name, "apiKeys": list(keys)} for name, keys in tenants]
    return found


class NoBatches:
    def is_job_request(self, request):
        return False


class SharedWorkerStats:
    """Fake statistics shared by other gateways, by incarnation."""

    def __init__(self):
        self.stats_by_worker = {}

    def stats(self, incarnation):
        return self.stats_by_worker.get(incarnation, WorkerStats(incarnation))


class GatewayUnderTest:
    """A gateway listening on loopback until `close` is called."""

    def __init__(self, workers, sight=None, room_settings=None, eligibility=None):
        self.executors = Executors()
        self.view, self.workers = ConfigurationView(), WorkersView()
        self.view.apply(configuration(), "test")
        self.show_workers({worker.instance: worker.entry("app") for worker in workers})
        self.loads = WorkerLoads("a", monitor=sight, eligibility=eligibility)
        connections = self._connections = (
            WorkerConnections(HEADERS, sight.record_load) if sight else WorkerConnections(HEADERS)
        )
        self.workers.subscribe_address_changes(connections.renew)
        self.caller_watch = CallerWatch(self.executors)
        self.caller_watch.start()
        self.metrics = RequestMetrics()
        self.usage = UsageCounter(USAGE_WINDOW_S, StableWallClock())
        self.shared_stats = SharedWorkerStats()
        room = ObservedCapacity(self.loads.in_flight, self.loads.mean_s, sight or self.shared_stats)
        self.room_settings = room_settings or RoomSettings()
        self.refused = []
        self.gate = RequestGate(room, self.room_settings, self.refused.append)
        forwarder = self.forwarder = Forwarder(
            self.workers,
            self.loads,
            connections,
            self.caller_watch,
            self.metrics,
            usage=self.usage,
            gate=self.gate,
            wait_share=self.room_settings.wait_share,
        )
        streams = self.streams = StreamForwarder(
            forwarder, self.loads, connections, self.caller_watch
        )
        self.can_be_served = lambda _deadline_s: True
        self.configuration_age_s = 0.0
        self.store_configuration = None
        self.confirm = self._confirm_by_store
        self.confirmations = 0
        current = CurrentConfiguration(
            self.view,
            lambda: self.configuration_age_s,
            lambda: self.confirm(),
            max_refusal_age_s(BoundSettings()),
            partial(self.executors.submit, WorkKind.INTERACTIVE),
        )
        key_check = KeyCheck(current.age_s)
        self.application = RequestApplication(
            HEADERS,
            self.view,
            forwarder,
            streams,
            NoBatches(),
            key_check,
            current,
            sends_urgency=self.room_settings.send_urgency,
            can_be_served=lambda deadline_s: self.can_be_served(deadline_s),
        )
        listener = socket.create_server(("127.0.0.1", 0))
        self.address = address_of(listener)
        self.server = HttpServer(self.application, listener, ServerLimits(16, 32 << 20))
        self.executors.run_task("http", self.server.run_until_closed)
        self._numbers = itertools.count(1)

    def _confirm_by_store(self):
        """Take what the store has, `store_configuration`; without one it does not answer."""
        self.confirmations += 1
        time.sleep(0.02)
        if self.store_configuration is None:
            return False
        self.view.apply(self.store_configuration, "store")
        self.configuration_age_s = 0.0
        return True

    def show_workers(self, entries):
        records = tuple(
            StoredRecord("servers", name, 1, msgspec.json.decode(msgspec.json.encode(entry)))
            for name, entry in entries.items()
        )
        self.workers.apply_listing(Listing(1, records))

    def forget_configuration(self):
        self.application._configuration = ConfigurationView()

    def close(self):
        self.caller_watch.stop()
        self.server.close_all()
        self.executors.stop()
        self._connections.retain(set())

    def connect(self):
        """Return an open connection of a client."""
        connection = http.client.HTTPConnection(self.address, timeout=20.0)
        connection.connect()
        return connection

    def send(self, path, body=b"body", deadline_ms=5_000, host=HOST, more=(), connection=None):
        """Send one request; return status, headers, body and whether the body is complete.

        Without a `connection` it is sent on a new one.
        """
        request_id = f"request-{next(self._numbers)}"
        connection = connection or self.connect()
        headers = {
            "Host": host,
            HEADERS.request_id: request_id,
            HEADERS.deadline_ms: str(deadline_ms),
            **dict(more),
        }
        connection.request("POST", path, body, headers, encode_chunked=not isinstance(body, bytes))
        answer = connection.getresponse()
        try:
            content, whole = answer.read(), True
        except http.client.IncompleteRead as failure:
            content, whole = failure.partial, False
        except OSError:
            content, whole = b"", False
        connection.close()
        return SimpleNamespace(
            request_id=request_id,
            status=answer.status,
            headers=answer.headers,
            body=content,
            whole=whole,
        )

    def send_and_leave(self, path):
        """Send a request and close its connection shortly after."""
        request_id = f"request-{next(self._numbers)}"
        host, port = self.address.split(":")
        connection = socket.create_connection((host, int(port)))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{HEADERS.request_id}: {request_id}\r\n"
            f"{HEADERS.deadline_ms}: 5000\r\nContent-Length: 0\r\n\r\n"
        )
        connection.sendall(head.encode())
        threading.Event().wait(0.1)
        connection.close()
        return request_id
