"""Objects of the store that the operator and the workers write, as this service reads them."""

from enum import Enum

import msgspec


class RouteKind(Enum):
    """What may be done with a route's requests."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once for each attempt of a client."""
    STREAMING = "streaming"
    """Answers with a series of events."""
    ROLLOUT = "rollout"
    """Takes batch jobs of a trainer."""
    BATCH = "batch"
    """Takes batch jobs without a trainer."""


JOB_KINDS = frozenset({RouteKind.ROLLOUT, RouteKind.BATCH})


class Backend(msgspec.Struct, frozen=True, rename="camel"):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """How the requests of a host and path prefix are served."""

    host: str
    path_prefix: str
    kind: RouteKind = RouteKind.NON_IDEMPOTENT
    name: str = ""
    timeout_ms: float = 60_000.0
    """Longest time for which a client's attempt is held."""
    target_ms: float = 1_000.0
    """Time within which an answer has its full worth."""
    max_attempts: int = 1
    """Most workers that one client attempt may go to."""
    priority: int = 5
    can_resume: bool = False
    """Whether a stream may continue at another worker."""
    service: str = ""
    backends: tuple[Backend, ...] = ()
    due_ms: float | None = None
    """Batch jobs: when all results are due."""
    max_wait_s: float | None = None
    """Batch jobs: when an item may be given up."""
    single_version: bool = False
    """Batch jobs: whether all events of an item must come from one version."""
    public: bool = False
    """Whether its requests need no tenant's key."""

    @property
    def effective_backends(self) -> tuple[Backend, ...]:
        """The services and their shares."""
        return self.backends or (Backend(self.service),)

    @property
    def accepts_jobs(self) -> bool:
        """Whether requests under it are batch jobs."""
        return self.kind in JOB_KINDS


class EngineModel(msgspec.Struct, frozen=True, rename="camel"):
    """A model that a service's workers can hold."""

    name: str


class Engine(msgspec.Struct, frozen=True, rename="camel"):
    """What a service's workers are as model engines."""

    slots: int = 1
    kv_capacity: int = 0
    models: tuple[EngineModel, ...] = ()


class Autoscale(msgspec.Struct, frozen=True, rename="camel"):
    """How many workers of a service may be ordered, in each of its zones."""

    min: int = 0
    max: int = 0
    boot_s: float = 0.0
    """Time from an order to the worker's service."""
    zone_prices: dict[str, float] = {}
    """Price of a second of a worker, by zone."""


class ServiceEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A service whose workers requests go to."""

    name: str
    health_path: str = "/health"
    max_conns: int = 64
    engine: Engine | None = None
    autoscale: Autoscale | None = None


class ClientLimits(msgspec.Struct, frozen=True, rename="camel"):
    """What a client may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 32 << 20
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class TenantEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A tenant and the keys by which its requests are known."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    """Rank of its requests, 0 first; goes before the route's."""


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """One whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceEntry, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[TenantEntry, ...] = ()
    """With any, each request needs a key, unless its route is public."""


class WorkerState(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerModel(msgspec.Struct, frozen=True, rename="camel"):
    """A model held by a worker."""

    name: str
    version: int


class WorkerEntry(msgspec.Struct, frozen=True, rename="camel"):
    """A worker's own entry, under its instance id."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: WorkerState = WorkerState.READY
    born: int = 0
    """Unix millisecond of its start; 0 where it does not tell it."""
    models: tuple[WorkerModel, ...] = ()


class NamedVersion(msgspec.Struct, frozen=True, rename="camel"):
    """The newest version of a model's weights that its trainer has named."""

    model: str
    version: int


class Retirement(msgspec.Struct, frozen=True, rename="camel"):
    """The operator's wish to empty a store machine."""

    duration_s: float = 0.0
