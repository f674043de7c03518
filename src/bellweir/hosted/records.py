"""Schemas of the store objects written by the operator, the workers and the trainers."""

from enum import Enum

import msgspec


class RouteKind(Enum):
    """How the requests of a route may be executed."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once for each attempt of a client."""
    STREAMING = "streaming"
    """Responds with an event stream."""
    ROLLOUT = "rollout"
    """Accepts batch jobs of a trainer."""
    BATCH = "batch"
    """Accepts batch jobs without a trainer."""


JOB_KINDS = frozenset({RouteKind.ROLLOUT, RouteKind.BATCH})


class Backend(msgspec.Struct, frozen=True, rename="camel"):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """How the requests of a host and path prefix are served."""

    host: str
    path_prefix: str
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    name: str = ""
    timeout_ms: float = 60_000.0
    """Maximum duration of a client's attempt."""
    target_ms: float = 1_000.0
    """Latency target of a response."""
    max_attempts: int = 1
    """Maximum number of workers tried per client attempt."""
    priority: int = 5
    can_resume: bool = False
    """Whether a stream may be resumed on another worker."""
    service: str = ""
    backends: tuple[Backend, ...] = ()
    due_ms: float | None = None
    """Batch jobs: time until all results are due."""
    max_wait_s: float | None = None
    """Batch jobs: time after which an item may be abandoned."""
    single_version: bool = False
    """Batch jobs: whether all events of an item must come from one version."""
    public: bool = False
    """Whether its requests need no tenant key."""
    allowed_regions: tuple[str, ...] = ()
    """Regions whose workers may serve its requests; empty: all."""

    @property
    def effective_backends(self) -> tuple[Backend, ...]:
        """The weighted backends, or the single service."""
        return self.backends or (Backend(self.service),)

    @property
    def accepts_jobs(self) -> bool:
        """Whether its requests are batch jobs."""
        return self.kind in JOB_KINDS


class EngineModel(msgspec.Struct, frozen=True, rename="camel"):
    """A model that a service's workers can hold."""

    name: str


class Engine(msgspec.Struct, frozen=True, rename="camel"):
    """Properties of a service's workers as model engines."""

    slots: int = 1
    kv_capacity: int = 0
    models: tuple[EngineModel, ...] = ()


class Autoscale(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on the number of workers of a service, per zone."""

    min: int = 0
    max: int = 0
    boot_s: float = 0.0
    """Time from the order of a worker until it is ready."""
    zone_prices: dict[str, float] = {}
    """Price per worker-second, by zone."""


class ServiceEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A service whose workers handle requests."""

    name: str
    health_path: str = "/health"
    max_conns: int = 64
    engine: Engine | None = None
    autoscale: Autoscale | None = None
    cold_start_s: float = 0.0
    """Seconds for which a worker is cold after a start."""
    cold_per_s: float = 0.0
    """Requests a second that a cold worker bears; 0: cold workers need no limit."""


class ClientLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on the size and duration of client requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 << 20
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class TenantEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A tenant and the API keys that identify its requests."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    """Priority of its requests, 0 first; overrides the route's."""
    allowed_regions: tuple[str, ...] = ()
    """Regions whose workers may serve its requests, beside those of the route; empty: all."""


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """A complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[TenantEntry, ...] = ()
    """If there are any, each request needs a key unless its route is public."""


class WorkerState(Enum):
    """State that a worker reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerModel(msgspec.Struct, frozen=True, rename="camel"):
    """A model held by a worker."""

    name: str
    version: int


class WorkerEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A worker's entry, stored under its instance id."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: WorkerState = WorkerState.READY
    born: int = 0
    """Start time in Unix milliseconds; 0 if unknown."""
    models: tuple[WorkerModel, ...] = ()


class NamedVersion(msgspec.Struct, frozen=True, rename="camel"):
    """The latest version of a model's weights published by its trainer."""

    model: str
    version: int


class Retirement(msgspec.Struct, frozen=True, rename="camel"):
    """The operator's request to decommission a store machine."""

    duration_s: float = 0.0
