"""Nodes with only the service `weights`, and engines that hold weights."""

from bellweir.kernel.executors import ExecutorLimits, Executors, WorkKind
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.resources.models import BackendKind, Pool, PoolSpec, Worker
from bellweir.settings.models import NodeIdentity, Settings, WeightsSettings
from bellweir.weights.service import WeightsService
from support.fake_engine import STORE, FakeEngine, FakeStore
from support.fake_nodes import FakeOwnership, FakeTransport, Network
from support.fake_services import FakeConfiguration, FakePlatform, FakeResources, engine_pool
from support.waiting import wait_until

POOL = "writers"
POLICY = "writer"
LIMITS = {kind: ExecutorLimits(threads=8, queued=64) for kind in WorkKind}


class WeightsNode:
    """One node of a `WeightsCluster`, with a configuration of its own."""

    def __init__(self, cluster: "WeightsCluster", node: str) -> None:
        settings = Settings(
            node=NodeIdentity(name=node), weights=WeightsSettings(order_period_s=0.02, permit_s=5)
        )
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0), executors=Executors(LIMITS))
        self.configuration = FakeConfiguration()
        self.ownership = FakeOwnership(node, cluster.alive)
        self.weights = WeightsService(self.kernel, settings)
        for service in (
            self.configuration,
            self.ownership,
            cluster.platform,
            FakeTransport(cluster.network, node),
            cluster.resources,
            self.weights,
        ):
            self.kernel.registry.register(service)

    def stop(self) -> None:
        self.kernel.executors.stopping.set()
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()


class WeightsCluster:
    """Engines of one pool that hold version 1, and the nodes that own them."""

    def __init__(self, nodes: int, engines: int, floor: float = 0.5) -> None:
        self.network = Network()
        self.resources = FakeResources()
        self.platform = FakePlatform()
        self.store = FakeStore()
        self.platform.store = self.store
        self.engines = {f"engine-{n}": FakeEngine(f"engine-{n}", POLICY, 1) for n in range(engines)}
        self.platform.engines = {f"{name}:1": engine for name, engine in self.engines.items()}
        self.alive = [f"node-{n + 1}" for n in range(nodes)]
        self.nodes = [WeightsNode(self, node) for node in self.alive]
        self.pool = self._pool(floor)
        self.fewest_serving = engines
        for engine in self.engines.values():
            engine.on_swap = self.sample_serving
        for node in self.nodes:
            node.configuration.publish(POLICY, 1, (self.pool,))
            node.kernel.registry.start()

    def _pool(self, floor: float) -> Pool:
        workers = tuple(
            Worker(name=name, address=f"{name}:1", zone="zone-1") for name in self.engines
        )
        return engine_pool(
            POOL,
            PoolSpec(kind=BackendKind.ENGINE, policies=(POLICY,), workers=workers, floor=floor),
        )

    def publish(self, version: int) -> None:
        for node in self.nodes:
            node.configuration.publish(POLICY, version)

    def sample_serving(self) -> None:
        """Keep the fewest engines that ever served; called at each order they accept."""
        serving = sum(engine.serves for engine in self.engines.values())
        self.fewest_serving = min(self.fewest_serving, serving)

    def wait_for_rounds(self, rounds: int) -> None:
        """Wait until every engine has been looked at so many more times."""
        before = {name: engine.reads for name, engine in self.engines.items()}
        wait_until(
            lambda: all(
                engine.reads >= before[name] + rounds for name, engine in self.engines.items()
            ),
            f"{rounds} more rounds over the engines",
        )

    def all_hold(self, version: int) -> bool:
        return all(
            engine.serves and engine.state.weight_version == version
            for engine in self.engines.values()
        )

    def store_reads(self) -> int:
        return sum(engine.swaps_from.count(STORE) for engine in self.engines.values())

    def stop(self) -> None:
        for node in self.nodes:
            node.stop()
