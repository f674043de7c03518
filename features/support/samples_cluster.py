"""Nodes with only the service `samples` and stand-ins around it."""

from bellweir.kernel.executors import ExecutorLimits, Executors, WorkKind
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.samples.service import SamplesService
from bellweir.settings.models import (
    LedgerSettings,
    NodeIdentity,
    SamplesSettings,
    Settings,
)
from support.fake_nodes import FakeMembership, FakeTransport, Network
from support.fake_services import (
    FakeConfiguration,
    FakeDispatcher,
    FakePlatform,
    ScriptedEngines,
)
from support.memory_ledger import MemoryLedger, MemorySegments, SharedLog

LIMITS = {kind: ExecutorLimits(threads=24, queued=256) for kind in WorkKind}


class SamplesNode:
    """One node of a `SamplesCluster`."""

    def __init__(self, cluster: "SamplesCluster", node: str, concurrency: int) -> None:
        settings = Settings(
            node=NodeIdentity(name=node),
            ledger=LedgerSettings(shards=cluster.log.shards),
            samples=SamplesSettings(
                concurrency=concurrency,
                lease_s=1.0,
                drain_patience_s=0.3,
                duplicate_budget=cluster.duplicate_budget,
            ),
        )
        self.name = node
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0), executors=Executors(LIMITS))
        self.samples = SamplesService(self.kernel, settings)
        for service in (
            MemoryLedger(cluster.log, node),
            cluster.segments,
            cluster.configuration,
            FakeDispatcher(cluster.engines, node),
            cluster.platform,
            FakeTransport(cluster.network, node),
            FakeMembership(node, cluster.alive, cluster.leaving),
            self.samples,
        ):
            self.kernel.registry.register(service)
        self.kernel.registry.start()

    def stop(self) -> None:
        self.kernel.executors.stopping.set()
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()


class SamplesCluster:
    """Nodes that share a ledger, a configuration, engines and scorers."""

    def __init__(self, nodes: int = 1, concurrency: int = 8, duplicate_budget: float = 0.0) -> None:
        self.duplicate_budget = duplicate_budget
        self.log = SharedLog()
        self.segments = MemorySegments()
        self.configuration = FakeConfiguration()
        self.engines = ScriptedEngines()
        self.platform = FakePlatform()
        self.network = Network()
        self.leaving: set[str] = set()
        self.alive = [f"node-{n + 1}" for n in range(nodes)]
        self.configuration.publish("writer", 1)
        self.log.lead_all("node-1")
        self.nodes = [SamplesNode(self, node, concurrency) for node in self.alive]

    @property
    def any(self) -> SamplesService:
        return self.nodes[-1].samples

    def stop(self) -> None:
        if self.engines.hold is not None:
            self.engines.hold.set()
        for node in self.nodes:
            node.stop()
