"""Weight orders against what engines hold: two owners, each with a configuration of its own.

Nodes hear of configurations late, go their rounds in any order, and may both believe that they
own every engine. Engines finish swaps, fail them, stop answering and come back.
"""

import math

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bellweir.clients.interface import EngineOrder
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.kernel.clock import ManualClock
from bellweir.kernel.executors import ExecutorLimits, Executors, WorkKind
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.resources.models import (
    BackendKind,
    Metadata,
    Policy,
    PolicySpec,
    Pool,
    PoolSpec,
    Worker,
)
from bellweir.settings.models import NodeIdentity, Settings, WeightsSettings
from bellweir.weights.service import WeightsService
from support.fake_engine import FakeEngine, FakeStore
from support.fake_nodes import FakeOwnership, FakeTransport, Network
from support.fake_services import FakeConfiguration, FakePlatform

ENGINES = 4
FLOOR = 0.5
LIMITS = {kind: ExecutorLimits(threads=4, queued=16) for kind in WorkKind}


class OwnerNode:
    """A node whose rounds the test runs one by one."""

    def __init__(self, name, network, platform, clock, alive):
        settings = Settings(
            node=NodeIdentity(name=name), weights=WeightsSettings(floor_patience_s=10_000)
        )
        self.kernel = Kernel(
            bind_listeners("127.0.0.1", 0, 0), executors=Executors(LIMITS), clock=clock
        )
        self.configuration = FakeConfiguration()
        self.ownership = FakeOwnership(name, alive)
        self.service = WeightsService(self.kernel, settings)
        for service in (
            self.configuration,
            self.ownership,
            platform,
            FakeTransport(network, name),
            self.service,
        ):
            self.kernel.registry.register(service)
        self.service.connect()

    def stop(self):
        self.kernel.executors.stop()
        self.kernel.listeners.close()


class OrdersAgainstEngines(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.network = Network()
        self.platform = FakePlatform()
        self.platform.store = FakeStore()
        self.engines = [FakeEngine(f"engine-{n}", "writer", 1) for n in range(ENGINES)]
        self.platform.engines = {f"{e.state.engine}:1": e for e in self.engines}
        for engine in self.engines:
            engine.reads_for_fetch = engine.reads_for_swap = 1
            engine.before_swap = self.check_floor
        self.is_calm = True
        self.below_floor: list[int] = []
        self.history: list[ConfigurationSnapshot] = []
        self.nodes: list[OwnerNode] = []

    @initialize(is_calm=st.booleans())
    def begin(self, is_calm):
        """In a calm run engines do what they are told, so that the floor must hold throughout."""
        self.is_calm = is_calm
        alive = ["node-1", "node-2"]
        self.declare(1)
        self.nodes = [
            OwnerNode(name, self.network, self.platform, self.clock, alive) for name in alive
        ]
        for node in self.nodes:
            node.configuration.put(self.history[0])

    def declare(self, version):
        revision = 10 * (len(self.history) + 1)
        workers = tuple(
            Worker(
                name=engine.state.engine,
                address=f"{engine.state.engine}:1",
                zone="zone-1",
            )
            for engine in self.engines
        )
        spec = PoolSpec(kind=BackendKind.ENGINE, policies=("writer",), workers=workers, floor=FLOOR)
        pool = Pool(metadata=Metadata(name="writers", resource_version=5), spec=spec)
        policy = Policy(
            metadata=Metadata(name="writer", resource_version=revision),
            spec=PolicySpec(model="writer", version=version),
        )
        self.history.append(
            ConfigurationSnapshot(revision, {"writer": policy}, {}, {"writers": pool})
        )

    @rule(version=st.integers(1, 3))
    def operator_declares(self, version):
        self.declare(version)

    @rule(version=st.integers(1, 3), rounds=st.lists(st.integers(0, 1), max_size=4))
    def operator_declares_and_all_hear(self, version, rounds):
        self.declare(version)
        for node in self.nodes:
            node.configuration.put(self.history[-1])
        for node in rounds:
            self.nodes[node].service.go_round()

    @rule(node=st.integers(0, 1), steps=st.integers(1, 3))
    def node_hears(self, node, steps):
        known = self.nodes[node].configuration.current().revision
        at = next(n for n, snapshot in enumerate(self.history) if snapshot.revision == known)
        self.nodes[node].configuration.put(self.history[min(at + steps, len(self.history) - 1)])

    @rule(node=st.integers(0, 1))
    def node_goes_round(self, node):
        self.nodes[node].service.go_round()

    @rule(node=st.integers(0, 1), believes=st.booleans())
    def node_believes_it_owns_all(self, node, believes):
        names = {engine.state.engine for engine in self.engines} if believes else set()
        self.nodes[node].ownership.also = names

    @rule(engine=st.integers(0, ENGINES - 1))
    def next_swap_fails(self, engine):
        self.engines[engine].fail_swaps = 0 if self.is_calm else 1

    @rule(engine=st.integers(0, ENGINES - 1), is_frozen=st.booleans())
    def swap_hangs(self, engine, is_frozen):
        self.engines[engine].is_frozen = is_frozen and not self.is_calm

    @rule(engine=st.integers(0, ENGINES - 1), is_down=st.booleans())
    def engine_stops_answering(self, engine, is_down):
        self.engines[engine].is_down = is_down and not self.is_calm

    @rule(seconds=st.sampled_from([0.3, 2.0]))
    def time_passes(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def long_time_passes(self):
        """Long enough for the pacing node to forget what it knew; too long for a calm run."""
        if not self.is_calm:
            self.clock.advance(40.0)

    def check_floor(self, _order: EngineOrder):
        """Called before an engine that serves begins a swap."""
        if self.is_calm:
            serving = sum(engine.serves for engine in self.engines)
            if serving - 1 < math.ceil(FLOOR * ENGINES):
                self.below_floor.append(serving - 1)

    @invariant()
    def enough_engines_serve(self):
        assert not self.below_floor

    @invariant()
    def orders_follow_from_their_revision(self):
        versions = {s.revision: s.policies["writer"].spec.version for s in self.history}
        for engine in self.engines:
            for order in engine.accepted:
                assert order.weight_version == versions[order.fence[0]]
            revisions = [order.fence[0] for order in engine.accepted]
            assert revisions == sorted(revisions), "an older order undid a newer one"

    @invariant()
    def engines_in_doubt_serve_nothing(self):
        for engine in self.engines:
            if engine.state.swap_error is not None:
                assert not engine.serves

    def teardown(self):
        """Once all is quiet, every engine holds what was declared last, and keeps it."""
        if not self.nodes:
            return
        try:
            self.settle()
        finally:
            for node in self.nodes:
                node.stop()

    def settle(self):
        wanted = self.history[-1].policies["writer"].spec.version
        for engine in self.engines:
            engine.is_frozen = engine.is_down = False
            engine.fail_swaps = 0
        for node in self.nodes:
            node.ownership.also = set()
            node.configuration.put(self.history[-1])
        for _ in range(40):
            self.clock.advance(5.0)
            for node in self.nodes:
                node.service.go_round()
            if all(
                engine.serves and engine.state.weight_version == wanted for engine in self.engines
            ):
                break
        held = [engine.state.weight_version for engine in self.engines]
        assert held == [wanted] * ENGINES, f"{held} instead of {wanted}"
        self.enough_engines_serve()
        for node in self.nodes:
            node.service.go_round()
        for snapshot in self.history[:-1]:
            self.wake_paused(snapshot)
            assert [engine.state.weight_version for engine in self.engines] == held

    def wake_paused(self, snapshot):
        """A node that was paused with an old configuration believes that it owns all engines."""
        self.nodes[0].configuration.put(snapshot)
        self.nodes[0].ownership.also = {engine.state.engine for engine in self.engines}
        for _ in range(2):
            self.clock.advance(15.0)
            self.nodes[0].service.go_round()
