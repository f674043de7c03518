"""Status, health, readiness and metrics of this node."""

import dataclasses
from collections.abc import Callable

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from bellweir.configuration.interface import Configuration
from bellweir.gateway.admission import ThreadUse
from bellweir.gateway.context import Context
from bellweir.gateway.problems import Problem, problem_response
from bellweir.gateway.router import Router
from bellweir.http_server.http import Request, Response, json_response
from bellweir.ledger.interface import Ledger
from bellweir.membership.interface import Member, Membership
from bellweir.routing.interface import BackendView, BackendViews, Dispatcher, DispatchStatistics

INTERFACE = "status"
KEYS_TRIED_FOR_EACH_SHARD = 32
"""Enough that a shard without a key is out of the question at an even hash."""


@dataclasses.dataclass(frozen=True)
class PoolStatus:
    """A pool as this node routes over it."""

    name: str
    backends: tuple[BackendView, ...]


class NodeStatus(msgspec.Struct, frozen=True):
    """Body of `GET /status`."""

    node: str
    zone: str
    region: str
    draining: bool
    configuration_ready: bool
    revision_in_force: int
    """Store revision of the configuration in force on this node."""
    members: tuple[Member, ...]
    pools: tuple[PoolStatus, ...]
    dispatch: DispatchStatistics
    threads: ThreadUse
    ledger_shards_led: tuple[int, ...] | None
    """None where the node runs without a ledger."""


@dataclasses.dataclass(frozen=True)
class StatusSources:
    """The services that status is read from."""

    configuration: Configuration
    membership: Membership
    backend_views: BackendViews
    dispatcher: Dispatcher
    ledger: Ledger | None
    ledger_shards: int


class StatusApi:
    """Serves what this node knows of itself."""

    def __init__(
        self, context: Context, sources: StatusSources, is_draining: Callable[[], bool]
    ) -> None:
        self._context = context
        self._sources = sources
        self._is_draining = is_draining
        self._shard_keys = _shard_keys(sources.ledger, sources.ledger_shards)

    def add_routes(self, router: Router) -> None:
        """Add the paths of this interface."""
        router.add(INTERFACE, "GET", "/healthz", self.health)
        router.add(INTERFACE, "GET", "/readyz", self.ready)
        router.add(INTERFACE, "GET", "/metrics", self.metrics)
        router.add(INTERFACE, "GET", "/status", self.status)

    def health(self, request: Request) -> Response:
        """`GET /healthz`: the process serves HTTP."""
        return json_response(200, {"healthy": True})

    def ready(self, request: Request) -> Response:
        """`GET /readyz`: new requests should come here."""
        if self._is_draining():
            return _not_ready(request, "the node is stopping")
        if not self._sources.configuration.is_ready():
            return _not_ready(request, "no configuration has arrived, from the store or a peer")
        return json_response(200, {"ready": True})

    def metrics(self, request: Request) -> Response:
        """`GET /metrics` in the Prometheus text format."""
        return Response(
            200, [("Content-Type", CONTENT_TYPE_LATEST)], self._context.telemetry.render()
        )

    def status(self, request: Request) -> Response:
        """`GET /status`."""
        sources = self._sources
        own = sources.membership.self_member()
        snapshot = sources.configuration.current()
        pools = [PoolStatus(name, sources.backend_views.views(name)) for name in snapshot.pools]
        return json_response(
            200,
            NodeStatus(
                node=own.node,
                zone=own.zone,
                region=own.region,
                draining=self._is_draining(),
                configuration_ready=sources.configuration.is_ready(),
                revision_in_force=snapshot.revision,
                members=sources.membership.members(),
                pools=tuple(pools),
                dispatch=sources.dispatcher.statistics(),
                threads=self._context.shares.use(),
                ledger_shards_led=self._shards_led(),
            ),
        )

    def _shards_led(self) -> tuple[int, ...] | None:
        ledger = self._sources.ledger
        if ledger is None:
            return None
        led = {ledger.shard_of(key) for key in self._shard_keys if ledger.leads(key)}
        return tuple(sorted(led))


def _shard_keys(ledger: Ledger | None, shards: int) -> tuple[str, ...]:
    """A key of each shard; the ledger tells of leadership by key only."""
    if ledger is None:
        return ()
    keys: dict[int, str] = {}
    for number in range(shards * KEYS_TRIED_FOR_EACH_SHARD):
        key = f"status-{number}"
        keys.setdefault(ledger.shard_of(key), key)
    return tuple(keys.values())


def _not_ready(request: Request, why: str) -> Response:
    return problem_response(Problem(503, "not_ready", why), request.request_id)
