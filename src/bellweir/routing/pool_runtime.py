"""Per-pool state of the dispatcher apart from back ends: strategy, class gates, budgets."""

import threading

from bellweir.kernel.clock import Clock
from bellweir.resources.models import BackendKind, ClassLimits, Pool, RequestClass
from bellweir.routing.class_gate import APPLICATION_DRAFT_LIMITS, DEFAULT_CLASS_LIMITS, ClassGate
from bellweir.routing.draft_waiters import DraftWaiters
from bellweir.routing.hedging import HedgePolicy
from bellweir.routing.prefix_index import PrefixIndex
from bellweir.routing.retry_budget import RetryBudget
from bellweir.routing.strategies import make_strategy


class PoolRuntime:
    """Strategy, class gates, retry and hedging budgets, and waiting drafts of one pool."""

    def __init__(self, pool: Pool, clock: Clock, index: PrefixIndex) -> None:
        self.pool = pool
        self._index = index
        self.strategy = make_strategy(pool.spec.strategy, index)
        self.budget = RetryBudget(pool.spec.retry_budget, clock.monotonic_s())
        self.hedging = HedgePolicy()
        self.draft_waiters = DraftWaiters(clock)
        self.gates = {kind: ClassGate(class_limits(pool, kind), clock) for kind in RequestClass}

    def reconfigure(self, pool: Pool) -> None:
        """Apply a changed spec; requests in flight keep their slots."""
        if pool.spec.strategy != self.pool.spec.strategy:
            self.strategy = make_strategy(pool.spec.strategy, self._index)
        self.budget.ratio = pool.spec.retry_budget
        for kind, gate in self.gates.items():
            gate.reconfigure(class_limits(pool, kind))
        self.pool = pool


class PoolRuntimes:
    """The runtimes of all pools, created on first use; thread-safe."""

    def __init__(self, clock: Clock, index: PrefixIndex) -> None:
        self._clock = clock
        self._index = index
        self._lock = threading.Lock()
        self._runtimes: dict[str, PoolRuntime] = {}

    def all(self) -> tuple[PoolRuntime, ...]:
        """Return the runtimes created so far."""
        with self._lock:
            return tuple(self._runtimes.values())

    def of(self, pool: Pool) -> PoolRuntime:
        """Return the runtime of a pool, reconfigured if the spec has changed."""
        name = pool.metadata.name
        runtime = self._runtimes.get(name)
        if runtime is not None and runtime.pool is pool:
            return runtime
        with self._lock:
            runtime = self._runtimes.get(name)
            if runtime is None:
                runtime = PoolRuntime(pool, self._clock, self._index)
                self._runtimes[name] = runtime
            elif runtime.pool is not pool:
                runtime.reconfigure(pool)
            return runtime


def class_limits(pool: Pool, kind: RequestClass) -> ClassLimits:
    """Return the pool's limits for a request class, or the defaults."""
    named = pool.spec.limits.get(kind)
    if named is not None:
        return named
    if kind is RequestClass.DRAFT and pool.spec.kind is BackendKind.APPLICATION:
        return APPLICATION_DRAFT_LIMITS
    return DEFAULT_CLASS_LIMITS[kind]
