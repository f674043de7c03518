import random
import threading
from collections import Counter

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry, generate_latest
from returns.result import Success

from bellweir.clients.interface import PREFIX_BLOCK_CHARACTERS, CacheEventBatch
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.resources.models import (
    Arm,
    BackendKind,
    Comparison,
    ComparisonSpec,
    Metadata,
    Pool,
    PoolSpec,
    Worker,
)
from bellweir.routing.backend import Backend, BackendReport
from bellweir.routing.cache_events import MIN_RESYNC_INTERVAL_S, CacheEventReader
from bellweir.routing.circuit import Circuit
from bellweir.routing.comparisons import assign_arm
from bellweir.routing.hedging import MAX_HEDGE_RATIO, HedgePolicy
from bellweir.routing.metrics import RoutingCollector
from bellweir.routing.pool_table import PoolTable
from bellweir.routing.pool_workers import Location, PoolWorker, select_subset
from bellweir.routing.prefix_index import HASH_MASK, PrefixIndex
from bellweir.routing.strategies import MAX_EXCESS_LOAD, PrefixAware
from bellweir.settings.models import RoutingSettings
from bellweir_rehearsal.standins.prefix_cache import CacheEventLog, PrefixCache, block_hashes
from support.routing_cluster import POLICY, body_of
from support.waiting import wait_until

ZONES = ("a", "b", "c")
SHARES = st.lists(st.floats(0.05, 10.0), min_size=2, max_size=5)
UNITS = [f"unit-{number}" for number in range(400)]
CACHE_BLOCKS = 12
PROMPTS = st.lists(
    st.one_of(
        st.tuples(st.just("store"), st.text("ab", min_size=1, max_size=6)),
        st.tuples(st.just("read"), st.none()),
        st.tuples(st.just("restart"), st.none()),
    ),
    max_size=30,
)


def _worker(number, zone):
    return PoolWorker(f"w-{number}", "", "pool", BackendKind.ENGINE, zone, "region", False)


@then("routing's subsets have the given size, with mostly near workers and some in other zones")
def step_subsets(context):
    @settings(max_examples=60)
    @drawn(count=st.integers(1, 90), size=st.integers(1, 30), node=st.integers(0, 9))
    def subsets(count, size, node):
        workers = [_worker(number, ZONES[number % 3]) for number in range(count)]
        chosen = select_subset(workers, Location(f"node-{node}", "a", "region"), size)
        assert len(chosen) == len(set(chosen)) == min(size, count)
        near = sum(worker.zone == "a" for worker in chosen)
        have = sum(worker.zone == "a" for worker in workers)
        assert near >= min(have, round(size * 2 / 3), len(chosen))
        if size >= 3 and count > have:
            assert near < len(chosen)

    subsets()


@then("routing's subsets change by at most two workers when one is removed")
def step_subset_change(context):
    @settings(max_examples=60)
    @drawn(count=st.integers(2, 60), size=st.integers(1, 20), gone=st.integers(0, 59))
    def stable(count, size, gone):
        workers = [_worker(number, ZONES[number % 3]) for number in range(count)]
        location = Location("node", "a", "region")
        before = set(select_subset(workers, location, size))
        after = set(select_subset([w for w in workers if w.name != f"w-{gone}"], location, size))
        # Removing a near worker may move another near one out of the rest of the subset.
        assert len(before - after) <= 2
        assert len(after - before) <= 2

    stable()


def _comparison(shares):
    arms = tuple(Arm(name=f"arm-{n}", policy=POLICY, share=share) for n, share in enumerate(shares))
    spec = ComparisonSpec(policy=POLICY, arms=arms)
    return Comparison(metadata=Metadata(name="comparison"), spec=spec)


@then("routing moves units only from or to the arm whose share changes")
def step_arms(context):
    @settings(max_examples=60)
    @drawn(shares=SHARES, factor=st.floats(0.1, 10.0))
    def stable(shares, factor):
        before = _comparison(shares)
        after = _comparison([shares[0] * factor, *shares[1:]])
        for unit in UNITS:
            old, new = assign_arm(before, unit).name, assign_arm(after, unit).name
            if old != new:
                assert (new if factor > 1 else old) == "arm-0", (old, new)

    stable()


@then("routing assigns units to arms in proportion to their shares")
def step_shares(context):
    comparison = _comparison([1.0, 2.0, 5.0])
    counts = Counter(assign_arm(comparison, f"unit-{number}").name for number in range(8000))
    for name, expected in (("arm-0", 1000), ("arm-1", 2000), ("arm-2", 5000)):
        assert abs(counts[name] - expected) < 200, counts


@given("routing's comparison of versions 1 and 2 over engines of both")
def step_comparison(context):
    for engine in context.cluster.engines[1:]:
        engine.version = 2
    arms = tuple(Arm(name=f"v{n}", policy=POLICY, version=n, share=1.0) for n in (1, 2))
    spec = ComparisonSpec(policy=POLICY, arms=arms)
    comparison = Comparison(metadata=Metadata(name="versions"), spec=spec)
    context.cluster.comparisons["versions"] = comparison
    context.cluster.configure()
    views = context.node.backend_views
    wait_until(
        lambda: {view.weight_version for view in views.views("engines")} == {1, 2},
        "both versions are reported",
    )
    context.comparison = comparison


@then("routing's generations of a unit all come from the version of its arm")
def step_versions_of_arms(context):
    versions = set()
    for unit in UNITS[:20]:
        expected = assign_arm(context.comparison, unit).version
        request = context.cluster.generation_request(2, unit=unit)
        for chunk in context.node.generate(request).unwrap():
            assert chunk.unwrap().weight_version == expected
        versions.add(expected)
    assert versions == {1, 2}


class CacheEngine:
    """A fake engine that consists of a prefix cache."""

    def __init__(self, gap_probability=0.0):
        self.gap_probability = gap_probability
        self.reads = []
        self.restart()

    def restart(self):
        log = CacheEventLog(0.0, self.gap_probability, 100_000, "seed")
        self.cache = PrefixCache(CACHE_BLOCKS * PREFIX_BLOCK_CHARACTERS // 4, log)

    def read_cache_events(self, after_sequence) -> Success[CacheEventBatch]:
        self.reads.append(after_sequence)
        return Success(self.cache.events_after(after_sequence))

    def held(self):
        return {block & HASH_MASK for block in self.cache._blocks}


def _read(reader, engine, index, now_s=0.0):
    change = reader.read(engine, now_s)
    if change is None:
        return
    if change.reset:
        index.reset("engine")
    index.remove("engine", change.removed)
    index.add("engine", change.added)


@then("routing's prefix index equals the engine's cache for any prompts, evictions and restarts")
def step_index(context):
    @settings(max_examples=80)
    @drawn(actions=PROMPTS)
    def follows(actions):
        engine, reader, index = CacheEngine(), CacheEventReader(), PrefixIndex()
        now_s, restarted = 0.0, False
        for action, letters in actions:
            now_s += MIN_RESYNC_INTERVAL_S
            if action == "store":
                prompt = "".join(letter * PREFIX_BLOCK_CHARACTERS for letter in letters)
                engine.cache.store(block_hashes(prompt))
            elif action == "restart":
                engine.restart()
                restarted = True
            else:
                _read(reader, engine, index, now_s)
                held = set(index._held.get("engine", ()))
                # After a restart, sequence numbers may denote other events, so hints may be wrong.
                assert restarted or held == engine.held()

    follows()


@then("routing's cache event reader resyncs after gaps, at most once per interval")
def step_gaps(context):
    engine, reader, index = CacheEngine(gap_probability=0.3), CacheEventReader(), PrefixIndex()
    for number in range(40):
        engine.cache.store(block_hashes(str(number) * PREFIX_BLOCK_CHARACTERS * 2))
        _read(reader, engine, index, number * 1.0)
    whole = [number for number, after in enumerate(engine.reads) if after == 0]
    assert 2 <= len(whole) <= 2 + 40 / MIN_RESYNC_INTERVAL_S, engine.reads


def _backends(loads):
    backends = []
    for number, load in enumerate(loads):
        backend = Backend(_worker(number, "a"), 0, Circuit(3, 1.0))
        backend.update_report(BackendReport(True, False, load, 1.0))
        backends.append(backend)
    return backends


@then("routing's prefix-aware strategy sends a new prefix to the same engine from all nodes")
def step_one_engine(context):
    for start in range(20):
        prompt = str(start) * 200
        chosen = {
            PrefixAware(PrefixIndex()).choose(_backends([0] * 6), f"{prompt} {node}").name
            for node in range(4)
        }
        assert len(chosen) == 1, chosen


@then("routing's prefix-aware strategy never chooses an engine much busier than the least loaded")
def step_no_hot_spot(context):
    @settings(max_examples=100)
    @drawn(loads=st.lists(st.integers(0, 60), min_size=1, max_size=8), held=st.integers(0, 7))
    def bounded(loads, held):
        index = PrefixIndex()
        strategy = PrefixAware(index)
        backends = _backends(loads)
        prompt = "x" * 500
        index.add(backends[held % len(backends)].key, [b & HASH_MASK for b in block_hashes(prompt)])
        chosen = strategy.choose(backends, prompt)
        assert chosen.load() <= min(loads) + MAX_EXCESS_LOAD
        holder = backends[held % len(backends)]
        if holder.load() <= min(loads) + MAX_EXCESS_LOAD:
            assert chosen is holder

    bounded()


@given("routing has recorded fast lookups")
def step_fast(context):
    for _ in range(64):
        answer = context.node.forward(context.cluster.application_request()).unwrap()
        body_of(answer)
    runtimes = context.node._runtimes._runtimes
    assert runtimes["shop"].hedging.delay_s is not None
    context.attempts = context.node.statistics().attempts


@when("routing forwards a lookup while one worker hangs")
def step_hang(context):
    context.hang = threading.Event()
    context.cleanup.callback(context.hang.set)
    hanging = threading.Lock()

    def hang_first(call):
        if hanging.acquire(blocking=False):
            context.hang.wait(60)

    for application in context.cluster.applications:
        application.on_run = hang_first
    context.answer = context.node.forward(context.cluster.application_request(b"slow")).unwrap()


@then("routing's lookup was answered by another worker while the first still hangs")
def step_hedged(context):
    assert body_of(context.answer) == b"answer to slow"
    assert not context.hang.is_set()
    assert context.node.statistics().attempts == context.attempts + 2
    context.hang.set()


@then("routing's hedges stay within the hedge ratio for any number of requests")
def step_budget(context):
    @settings(max_examples=60)
    @drawn(seed=st.integers(0, 1000), count=st.integers(1, 2000))
    def bounded(seed, count):
        policy, chooser = HedgePolicy(), random.Random(seed)
        hedges = 0
        for _ in range(count):
            policy.record_latency(chooser.random())
            hedges += chooser.random() < 0.5 and policy.withdraw()
        assert hedges <= 1 + MAX_HEDGE_RATIO * count

    bounded()


@when("routing generates for {count:d} units")
def step_generate_units(context, count):
    for unit in UNITS[:count]:
        list(context.node.generate(context.cluster.generation_request(2, unit=unit)).unwrap())


@then(
    "routing's counts by arm add up to {completed:d} completed, {tokens:d} tokens"
    " and {firsts:d} first tokens"
)
def step_counts(context, completed, tokens, firsts):
    arms = context.node.statistics().by_arm
    assert {arm.arm for arm in arms} == {"v1", "v2"}
    assert sum(arm.completed for arm in arms) == sum(arm.started for arm in arms) == completed
    assert sum(arm.tokens for arm in arms) == tokens
    assert sum(arm.first_tokens for arm in arms) == firsts


@then("routing's metrics show them")
def step_metrics(context):
    registry = CollectorRegistry()
    node = context.node
    pools = node.backend_views.pools
    registry.register(RoutingCollector(node.statistics, node._runtimes, pools))
    text = generate_latest(registry).decode()
    arm = next(arm for arm in node.statistics().by_arm if arm.arm == "v1")
    line = 'bellweir_arm_tokens_total{arm="v1",comparison="versions"} '
    assert f"{line}{float(arm.tokens)}" in text, text
    assert 'bellweir_gate_limit{class="interactive",pool="engines"} 64.0' in text
    assert 'bellweir_backend_ready{pool="engines",worker="engine-0"} 1.0' in text


@then("routing's tables of {nodes:d} nodes cover all workers of a pool larger than their subsets")
def step_coverage(context, nodes):
    @settings(max_examples=20)
    @drawn(count=st.integers(20, 80), leaving=st.sets(st.integers(0, 79), max_size=5))
    def covered(count, leaving):
        workers = tuple(
            Worker(name=f"w{n}", address=f"w{n}", zone=ZONES[n % 3], leaving=n in leaving)
            for n in range(count)
        )
        spec = PoolSpec(kind=BackendKind.APPLICATION, workers=workers, subset_size=4)
        pool = Pool(metadata=Metadata(name="large"), spec=spec)
        snapshot = ConfigurationSnapshot(1, pools={"large": pool})
        found = set()
        for node in range(nodes):
            table = PoolTable(Location(f"node-{node}", "a", "region"), RoutingSettings())
            table.apply(snapshot, lambda name, node=node: int(name[1:]) % nodes == node)
            found |= {backend.name for backend in table.pools()["large"].backends}
        assert found == {worker.name for worker in workers if not worker.leaving}

    covered()
