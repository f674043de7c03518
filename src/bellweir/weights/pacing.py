"""The rollouts of the pools that this node paces."""

import threading
from collections.abc import Callable

from bellweir.configuration.interface import Configuration
from bellweir.kernel.clock import Clock
from bellweir.settings.models import WeightsSettings
from bellweir.weights.messages import PoolReport, SwapPermit
from bellweir.weights.plan import PlanCache
from bellweir.weights.rollout import PoolRollout, RolloutLimits, RolloutSummary

DEFAULT_FLOOR = 0.5
FORGET_S = 20.0
"""An engine that nobody has reported for so long counts no more."""


class RolloutPacer:
    """Takes owners' reports and gives out permits, one pool at a time."""

    def __init__(
        self,
        settings: WeightsSettings,
        clock: Clock,
        configuration: Configuration,
        store_address: str | None,
        plans: PlanCache,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        self._store_address = store_address
        self._plans = plans
        self._lock = threading.Lock()
        self._rollouts: dict[str, PoolRollout] = {}

    def take_report(self, report: PoolReport) -> tuple[SwapPermit, ...]:
        """Permits for the engines of a report."""
        snapshot = self._configuration.current()
        pools = snapshot.pools
        pool = pools.get(report.pool)
        floor = pool.spec.floor if pool is not None else DEFAULT_FLOOR
        limits = self._limits(
            floor,
            self._plans.pool_size(snapshot, report.pool),
            self._plans.targets_in(snapshot, report.pool),
        )
        with self._lock:
            for name in [name for name in self._rollouts if name not in pools]:
                del self._rollouts[name]
            rollout = self._rollouts.setdefault(
                report.pool, PoolRollout(limits, self._store_address)
            )
            rollout.limits = limits
            return rollout.take_report(report, self._clock.monotonic_s())

    def summaries(self, is_paced: Callable[[str], bool]) -> dict[str, RolloutSummary]:
        """How far the pools are that `is_paced` says this node still paces."""
        with self._lock:
            return {
                pool: rollout.summary()
                for pool, rollout in self._rollouts.items()
                if is_paced(pool)
            }

    def _limits(self, floor: float, pool_size: int, targets: int) -> RolloutLimits:
        return RolloutLimits(
            floor=floor,
            pool_size=pool_size,
            targets=targets,
            store_readers=self._settings.store_readers,
            fanout=self._settings.fanout,
            permit_s=self._settings.permit_s,
            patience_s=self._settings.floor_patience_s,
            forget_s=FORGET_S,
        )
