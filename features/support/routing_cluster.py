"""Routing-only nodes over shared fake back ends and configuration."""

import itertools
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field

from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.kernel.clock import Clock, SystemClock
from bellweir.kernel.executors import Executors
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.resources.models import (
    BackendKind,
    Metadata,
    Policy,
    PolicySpec,
    Pool,
    PoolSpec,
    RequestClass,
    Worker,
)
from bellweir.routing.interface import ApplicationRequest, GenerationRequest
from bellweir.routing.service import DispatcherService
from bellweir.routing.views_service import BackendViewsService
from bellweir.settings.models import NodeIdentity, RoutingSettings, Settings
from support.routing_claims import DeferredExecutors, InlineExecutors
from support.routing_fakes import (
    FakeApplication,
    FakeConfiguration,
    FakeEngine,
    FakePlatform,
    token_of,
)
from support.routing_peers import FakeBus, FakeOwnership, FakeTransport
from support.waiting import wait_until

POLICY = "policy"
ENGINE_POOL = "engines"
APPLICATION_POOL = "shop"
REQUEST_TIMEOUT_S = 20.0


@dataclass
class RoutingCluster:
    """Fake back ends, their configuration and the nodes that route to them."""

    cleanup: ExitStack
    platform: FakePlatform = field(default_factory=FakePlatform)
    nodes: list = field(default_factory=list)
    configurations: list = field(default_factory=list)
    pool_options: dict = field(default_factory=dict)
    extra_services: list = field(default_factory=list)
    late_services: list = field(default_factory=list)
    """Service classes created with a kernel and settings."""
    comparisons: dict = field(default_factory=dict)
    leaving: set = field(default_factory=set)
    make_executors: type[Executors] = Executors
    clock: Clock = field(default_factory=SystemClock)
    bus: FakeBus = field(default_factory=FakeBus)
    owners: dict = field(default_factory=dict)
    """Owner node's number by worker; a worker not listed is owned by every node."""
    routing: RoutingSettings = field(default_factory=lambda: RoutingSettings(report_period_s=0.05))
    _revisions: itertools.count = field(default_factory=lambda: itertools.count(1))
    _requests: itertools.count = field(default_factory=itertools.count)

    def add_engines(self, count: int) -> None:
        for number in range(count):
            self.platform.engines[f"engine-{number}"] = FakeEngine(f"engine-{number}")

    def add_applications(self, count: int) -> None:
        for number in range(count):
            self.platform.applications[f"app-{number}"] = FakeApplication(f"app-{number}")

    @property
    def engines(self) -> list[FakeEngine]:
        return list(self.platform.engines.values())

    @property
    def applications(self) -> list[FakeApplication]:
        return list(self.platform.applications.values())

    def snapshot(self) -> ConfigurationSnapshot:
        pools = {
            ENGINE_POOL: self._pool(ENGINE_POOL, BackendKind.ENGINE, self.platform.engines),
            APPLICATION_POOL: self._pool(
                APPLICATION_POOL, BackendKind.APPLICATION, self.platform.applications
            ),
        }
        policy = Policy(metadata=Metadata(name=POLICY), spec=PolicySpec(model="model"))
        return ConfigurationSnapshot(
            next(self._revisions), {POLICY: policy}, {}, pools, self.comparisons
        )

    def _pool(self, name, kind, addresses) -> Pool:
        workers = tuple(
            Worker(name=address, address=address, zone="zone-1", leaving=address in self.leaving)
            for address in addresses
        )
        policies = (POLICY,) if kind is BackendKind.ENGINE else ()
        options = self.pool_options.get(name, {})
        spec = PoolSpec(kind=kind, policies=policies, workers=workers, **options)
        return Pool(metadata=Metadata(name=name), spec=spec)

    def configure(self) -> None:
        snapshot = self.snapshot()
        for configuration in self.configurations:
            configuration.set(snapshot)

    def add_node(self) -> DispatcherService:
        kernel = Kernel(
            bind_listeners("127.0.0.1", 0, 0), executors=self.make_executors(), clock=self.clock
        )
        settings = Settings(
            node=NodeIdentity(name=f"node-{len(self.nodes)}", zone="zone-1", region="default"),
            routing=self.routing,
        )
        configuration = FakeConfiguration(self.snapshot())
        dispatcher = DispatcherService(kernel, settings)
        views = BackendViewsService(kernel, settings)
        address = f"peer-{len(self.nodes)}"
        context = (FakeTransport(address, self.bus), FakeOwnership(settings.node.name, self.owners))
        services = (self.platform, configuration, views, dispatcher, *context)
        for service in (*services, *self.extra_services):
            kernel.registry.register(service)
        for make in self.late_services:
            kernel.registry.register(make(kernel, settings))
        kernel.registry.start()

        def stop() -> None:
            kernel.registry.stop()
            kernel.executors.stop()
            kernel.listeners.close()

        self.cleanup.callback(stop)
        self.configurations.append(configuration)
        self.nodes.append(dispatcher)
        if issubclass(self.make_executors, InlineExecutors):
            views._tick(self.clock.monotonic_s())
            if issubclass(self.make_executors, DeferredExecutors):
                kernel.executors.run_deferred()
        self.await_ready(views)
        dispatcher.backend_views = views
        return dispatcher

    def await_ready(self, views: BackendViewsService) -> None:
        pools = (ENGINE_POOL, APPLICATION_POOL)
        wait_until(
            lambda: all(view.ready for pool in pools for view in views.views(pool)),
            "all back ends are ready",
        )

    def generation_request(self, max_tokens=8, **fields) -> GenerationRequest:
        given = {
            "request_id": f"request-{next(self._requests)}",
            "policy": POLICY,
            "prompt": "a prompt",
            "max_tokens": max_tokens,
            "request_class": RequestClass.INTERACTIVE,
            "deadline_monotonic_s": time.monotonic() + REQUEST_TIMEOUT_S,
        }
        return GenerationRequest(**(given | fields))

    def application_request(self, body=b"body", **fields) -> ApplicationRequest:
        given = {
            "request_id": f"request-{next(self._requests)}",
            "pool": APPLICATION_POOL,
            "method": "POST",
            "path": "/price",
            "headers": (),
            "body": body,
            "body_length": len(body),
            "request_class": RequestClass.LOOKUP,
            "deadline_monotonic_s": time.monotonic() + REQUEST_TIMEOUT_S,
        }
        return ApplicationRequest(**(given | fields))


def body_of(answer) -> bytes:
    return b"".join(answer.body)


def tokens_of(request) -> tuple[int, ...]:
    """Expected tokens of a complete answer."""
    return tuple(token_of(request.prompt, position) for position in range(request.max_tokens))


def chunks_of(generation) -> list:
    """Return all chunks; raises if the generation ends with a refusal."""
    return [item.unwrap() for item in generation]


def held_generation(context):
    """Start a generation whose engine waits for `context.gate` before each token."""
    context.gate = threading.Event()
    for engine in context.cluster.engines:
        engine.gate = context.gate
    context.request = context.cluster.generation_request()
    return context.node.generate(context.request).unwrap()
