"""Paces the swaps of one pool: capacity stays above the floor, and weights spread as a tree.

One node paces a pool, chosen like the owner of a worker. Two that both believe so for a moment
may swap more engines at once than the floor allows; which weights an engine holds is decided by
the fence of its orders alone.
"""

import math
from dataclasses import dataclass, field

from bellweir.weights.messages import PoolReport, SwapPermit, WorkerReport


@dataclass(frozen=True)
class RolloutLimits:
    """Settings of a pool's rollout."""

    floor: float
    """Share of the pool's engines that stays ready."""
    pool_size: int
    """Engines of the pool, also those that no owner has reported yet."""
    targets: int
    """Engines of the pool that a version is declared for: those that are not leaving."""
    store_readers: int
    """Engines that read one version from the weight store at once."""
    fanout: int
    """Engines that fetch one version from the same engine at once."""
    permit_s: float
    """Time after which a permit that came to nothing is given to another engine."""
    patience_s: float
    """Time without any swap after which one engine may go below the floor: else a pool that
    has lost half its engines would never get another version."""
    forget_s: float
    """Time after which an engine that nobody reports counts no more."""


@dataclass(frozen=True)
class RolloutSummary:
    """How far a pool is."""

    engines: int
    """Engines of the pool that are not leaving."""
    holding: int
    """Engines that serve what is declared."""
    failing: tuple[str, ...]
    """Engines whose last swap failed, by name."""

    @property
    def is_rolled_out(self) -> bool:
        """Whether every engine serves what is declared."""
        return self.holding == self.engines


@dataclass
class _Permit:
    model: str
    version: int
    source: str | None
    """Engine fetched from; None for the store."""
    expires_s: float


@dataclass
class _Known:
    report: WorkerReport
    heard_s: float
    permit: _Permit | None = None


@dataclass
class PoolRollout:
    """State of one pool's rollout; not shared between threads."""

    limits: RolloutLimits
    store_address: str | None
    _workers: dict[str, _Known] = field(default_factory=dict)
    _blocked_since_s: float | None = None
    """Since when the floor has kept every swap back."""

    def take_report(self, report: PoolReport, now_s: float) -> tuple[SwapPermit, ...]:
        """Take up an owner's report and return the permits for its engines."""
        for worker in report.workers:
            self._take_worker(worker, now_s)
        self._forget_silent(now_s)
        permits: list[SwapPermit] = []
        # Engines out of service come first: swapping them costs no capacity.
        for worker in sorted(report.workers, key=lambda entry: (entry.is_ready, entry.worker)):
            permit = self._permit(worker, now_s)
            if permit is not None:
                permits.append(permit)
        return tuple(permits)

    def summary(self) -> RolloutSummary:
        """How far the pool is, by the owners' newest reports."""
        holding = 0
        failing: list[str] = []
        for name, known in self._workers.items():
            report = known.report
            held = (report.held_model, report.held_version)
            holding += report.is_ready and held == (report.wanted_model, report.wanted_version)
            if report.has_failed:
                failing.append(name)
        engines = max(len(self._workers), self.limits.targets)
        return RolloutSummary(engines, holding, tuple(sorted(failing)))

    def _take_worker(self, worker: WorkerReport, now_s: float) -> None:
        known = self._workers.get(worker.worker)
        permit = known.permit if known is not None else None
        if permit is not None and self._is_over(permit, worker, now_s):
            permit = None
        self._workers[worker.worker] = _Known(worker, now_s, permit)

    def _is_over(self, permit: _Permit, worker: WorkerReport, now_s: float) -> bool:
        if now_s >= permit.expires_s:
            return True
        if (worker.wanted_model, worker.wanted_version) != (permit.model, permit.version):
            return True
        holds = (worker.held_model, worker.held_version) == (permit.model, permit.version)
        return holds and worker.is_ready and not worker.wants_swap

    def _forget_silent(self, now_s: float) -> None:
        silent = [
            name
            for name, known in self._workers.items()
            if now_s - known.heard_s > self.limits.forget_s
        ]
        for name in silent:
            del self._workers[name]

    def _permit(self, worker: WorkerReport, now_s: float) -> SwapPermit | None:
        known = self._workers[worker.worker]
        if known.permit is not None:
            # The answer that carried it may have been lost: say it again.
            return SwapPermit(worker.worker, self._sources(known.permit.source))
        if not worker.wants_swap or not self._may_go(worker, now_s):
            return None
        source = self._choose_source(worker)
        if source is None and not self._may_read_store(worker):
            return None
        known.permit = _Permit(
            worker.wanted_model, worker.wanted_version, source, now_s + self.limits.permit_s
        )
        return SwapPermit(worker.worker, self._sources(source))

    def _sources(self, engine: str | None) -> tuple[str, ...]:
        return tuple(source for source in (engine, self.store_address) if source is not None)

    def _is_serving(self, known: _Known) -> bool:
        return known.report.is_ready and known.permit is None

    def _may_go(self, worker: WorkerReport, now_s: float) -> bool:
        """Whether the floor allows this swap, or has kept all of them back for too long."""
        is_swapping = any(known.permit is not None for known in self._workers.values())
        if is_swapping or self._keeps_floor(worker):
            self._blocked_since_s = None
            return self._keeps_floor(worker)
        if self._blocked_since_s is None:
            self._blocked_since_s = now_s
        if now_s - self._blocked_since_s < self.limits.patience_s:
            return False
        self._blocked_since_s = None
        return True

    def _keeps_floor(self, worker: WorkerReport) -> bool:
        """Whether enough engines serve when this one doesn't.

        A floor that leaves no room for a single swap is taken as all but one engine. An engine
        that nobody has reported counts as not serving.
        """
        if not worker.is_ready:
            return True
        total = max(self.limits.pool_size, len(self._workers))
        must_serve = min(math.ceil(self.limits.floor * total), total - 1)
        serving = sum(self._is_serving(known) for known in self._workers.values())
        return serving - 1 >= must_serve

    def _choose_source(self, worker: WorkerReport) -> str | None:
        """A ready engine with the version and room for another reader, near ones first."""
        wanted = (worker.wanted_model, worker.wanted_version)
        readers = self._readers_by_source()
        candidates = [
            (known.report.zone != worker.zone, readers.get(known.report.address, 0), name)
            for name, known in self._workers.items()
            if self._is_serving(known)
            and name != worker.worker
            and (known.report.held_model, known.report.held_version) == wanted
            and readers.get(known.report.address, 0) < self.limits.fanout
        ]
        if not candidates:
            return None
        return self._workers[min(candidates)[2]].report.address

    def _readers_by_source(self) -> dict[str, int]:
        readers: dict[str, int] = {}
        for known in self._workers.values():
            if known.permit is not None and known.permit.source is not None:
                readers[known.permit.source] = readers.get(known.permit.source, 0) + 1
        return readers

    def _may_read_store(self, worker: WorkerReport) -> bool:
        """Whether few enough read this version from the store, and no engine could soon give it."""
        wanted = (worker.wanted_model, worker.wanted_version)
        holders = 0
        reading = 0
        for known in self._workers.values():
            held = (known.report.held_model, known.report.held_version)
            holders += self._is_serving(known) and held == wanted
            permit = known.permit
            if permit is not None and permit.source is None:
                reading += (permit.model, permit.version) == wanted
        return holders == 0 and reading < self.limits.store_readers
