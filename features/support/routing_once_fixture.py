"""Fixture of nodes, shared claims and back ends for tests of at-most-once requests."""

from contextlib import ExitStack
from dataclasses import dataclass

from bellweir.ledger.claims import TOMBSTONE_WINDOWS
from bellweir.ledger.claims_service import ClaimsService
from bellweir.routing.views_service import BackendViewsService
from support.routing_claims import (
    DeferredExecutors,
    EmptyMembership,
    NodeLedger,
    OffsetClock,
    PointHooks,
    RequestPoint,
    SharedLedger,
)
from support.routing_cluster import APPLICATION_POOL, RoutingCluster

LONG_TIMEOUT_S = 2000.0
CLAIM_WINDOW_S = 100.0
KEY_RETENTION_WINDOWS = 1 + TOMBSTONE_WINDOWS
"""Number of claim windows after which a key may be claimed again."""


@dataclass(frozen=True)
class Run:
    """Execution of a request, as recorded by a back end."""

    at_s: float
    request_number: int
    """Number in the order of sending."""
    path: str
    body: bytes


class OnceFixture:
    """Nodes and back ends shared by all examples, each of which uses its own keys."""

    def __init__(self, cleanup: ExitStack, nodes: int = 3) -> None:
        self.clock = OffsetClock()
        self.ledger = SharedLedger()
        self.hooks = PointHooks()
        self.runs: dict[str, list[Run]] = {}
        self.faults: list = []
        self.cluster = RoutingCluster(cleanup, clock=self.clock, make_executors=DeferredExecutors)
        self.cluster.pool_options[APPLICATION_POOL] = {
            "once_paths": ("/orders",),
            "claim_window_s": CLAIM_WINDOW_S,
        }
        self.cluster.add_applications(3)
        self.node_ledgers = []
        for _ in range(nodes):
            self.node_ledgers.append(NodeLedger(self.ledger, self.hooks))
            self.cluster.extra_services = [self.node_ledgers[-1], EmptyMembership()]
            self.cluster.late_services = [ClaimsService]
            stop_probes(self.cluster.add_node().backend_views)
        for application in self.cluster.applications:
            application.faults = self.faults
            application.on_run = self._record_run
            application.on_written = lambda: self.hooks.trigger(RequestPoint.BEFORE_RUN)

    def _record_run(self, call) -> None:
        key = dict(call.headers)["Idempotency-Key"]
        number = int(call.attempt_id.split("/")[0].rpartition("-")[2])
        run = Run(self.clock.monotonic_s(), number, call.path, call.body)
        self.runs.setdefault(key, []).append(run)
        self.hooks.trigger(RequestPoint.AFTER_RUN)

    def runs_of(self, key: str, path: str, body: bytes, since_s: float) -> list[Run]:
        """Return the runs of a request in the last `since_s` seconds."""
        after_s = self.clock.monotonic_s() - since_s
        runs = self.runs.get(key, [])
        return [run for run in runs if (run.path, run.body) == (path, body) and run.at_s >= after_s]

    def deadline_s(self) -> float:
        return self.clock.monotonic_s() + LONG_TIMEOUT_S

    def kill(self, node: int) -> None:
        self.node_ledgers[node].killed = True
        self.node_ledgers[node].check()

    def is_killed(self, node: int) -> bool:
        return self.node_ledgers[node].killed

    def run_deferred_calls(self) -> None:
        """Run the deferred calls of every running node."""
        for ledger, node in zip(self.node_ledgers, self.cluster.nodes, strict=True):
            if not ledger.killed:
                node._kernel.executors.run_deferred()

    def reset(self) -> None:
        self.restore()
        for node in self.cluster.nodes:
            node._runtimes._runtimes.clear()  # resets the retry budgets

    def restore(self) -> None:
        """Restart killed nodes, clear faults and make every worker usable."""
        self.hooks.at = {}
        self.faults.clear()
        self.ledger.faults.clear()
        for ledger, node in zip(self.node_ledgers, self.cluster.nodes, strict=True):
            if ledger.killed:
                node._recorder._pending.clear()
                node._kernel.executors.later.clear()
            ledger.killed = False
            node._kernel.executors.run_deferred()
            node._recorder.flush()
        for node in self.cluster.nodes:
            recover(node.backend_views)


def stop_probes(views: BackendViewsService) -> None:
    """Disable probes, except those of `recover`."""
    views._start_probe = lambda _: None


def recover(views: BackendViewsService) -> None:
    """Probe all back ends, clear their leaving state and close their circuits."""
    for pool in views.pools().values():
        for backend in pool.backends:
            views._probe(backend.worker)
            backend._leaving_announced = False
            backend._circuit.record_success()
