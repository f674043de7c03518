"""What each engine should hold, worked out from the declared configuration alone.

Two nodes with the same configuration revision work out the same plan, so that two owners of one
engine send it the same order.
"""

import threading
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from bellweir.clients.interface import EngineRole, MachineState
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.resources.models import BackendKind, Comparison, Policy, Pool

ROLE_LABEL = "bellweir.dev/role"
"""Label of a pool that names the role of its engines: `mixed`, `interactive` or `draft`."""


@dataclass(frozen=True)
class WorkerTarget:
    """What one engine should hold."""

    pool: str
    worker: str
    address: str
    zone: str
    policy: str
    model: str
    version: int
    adapters: tuple[str, ...]
    role: EngineRole
    declared_at: int
    """Newest store revision of the policy and the comparison that this follows from. The pool's
    does not count: its status is written during rollouts."""


@dataclass(frozen=True)
class _Share:
    policy: Policy
    version: int
    weight: float
    declared_at: int


@dataclass(frozen=True)
class _Place:
    name: str
    address: str
    zone: str
    leaving: bool


def plan_targets(snapshot: ConfigurationSnapshot) -> dict[str, WorkerTarget]:
    """Targets by worker name, for every engine pool whose policies name a version.

    Engines that are leaving get none: they keep what they have until they are gone.
    """
    targets: dict[str, WorkerTarget] = {}
    for name in sorted(snapshot.pools):
        pool = snapshot.pools[name]
        if pool.spec.kind is BackendKind.ENGINE:
            targets.update((target.worker, target) for target in _plan_pool(snapshot, pool))
    return targets


class PlanCache:
    """The plan of the newest snapshot, worked out once for each; safe from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._snapshot: ConfigurationSnapshot | None = None
        self._targets: dict[str, WorkerTarget] = {}
        self._sizes: dict[str, int] = {}
        self._targets_in: Counter[str] = Counter()

    def targets(self, snapshot: ConfigurationSnapshot) -> dict[str, WorkerTarget]:
        """Targets by worker name; not to be changed."""
        with self._lock:
            self._refresh(snapshot)
            return self._targets

    def pool_size(self, snapshot: ConfigurationSnapshot, pool: str) -> int:
        """Engines of a pool, leaving ones included: these are capacity that the pool lacks."""
        with self._lock:
            self._refresh(snapshot)
            return self._sizes.get(pool, 0)

    def targets_in(self, snapshot: ConfigurationSnapshot, pool: str) -> int:
        """Engines of a pool that have a target."""
        with self._lock:
            self._refresh(snapshot)
            return self._targets_in[pool]

    def _refresh(self, snapshot: ConfigurationSnapshot) -> None:
        if snapshot is not self._snapshot:
            self._snapshot = snapshot
            self._targets = plan_targets(snapshot)
            self._targets_in = Counter(target.pool for target in self._targets.values())
            self._sizes = {
                name: len(_places(snapshot, pool)) for name, pool in snapshot.pools.items()
            }


def _plan_pool(snapshot: ConfigurationSnapshot, pool: Pool) -> Iterator[WorkerTarget]:
    shares = list(_shares(snapshot, pool))
    places = [place for place in _places(snapshot, pool) if not place.leaving]
    for place, share in zip(places, _allocate(shares, len(places)), strict=False):
        yield WorkerTarget(
            pool=pool.metadata.name,
            worker=place.name,
            address=place.address,
            zone=place.zone,
            policy=share.policy.metadata.name,
            model=share.policy.spec.model,
            version=share.version,
            adapters=share.policy.spec.adapters,
            role=_role(pool),
            declared_at=share.declared_at,
        )


def _role(pool: Pool) -> EngineRole:
    try:
        return EngineRole(pool.metadata.labels.get(ROLE_LABEL, EngineRole.MIXED.value))
    except ValueError:
        return EngineRole.MIXED


def _places(snapshot: ConfigurationSnapshot, pool: Pool) -> list[_Place]:
    """Engines of a pool by name."""
    places = {
        worker.name: _Place(worker.name, worker.address, worker.zone, worker.leaving)
        for worker in pool.spec.workers
    }
    if pool.spec.from_machine_list:
        for machine in snapshot.machines.values():
            if machine.pool == pool.metadata.name and machine.role == "engine":
                leaving = machine.state is MachineState.LEAVING
                place = _Place(machine.name, machine.address, machine.zone, leaving)
                places.setdefault(machine.name, place)
    return [places[name] for name in sorted(places)]


def _shares(snapshot: ConfigurationSnapshot, pool: Pool) -> Iterator[_Share]:
    """The versions that a pool's engines are divided over, with their weights."""
    for name in pool.spec.policies:
        policy = snapshot.policies.get(name)
        if policy is None:
            continue
        comparison = _comparison_of(snapshot, name)
        if comparison is not None:
            yield from _arm_shares(snapshot, pool, comparison)
        elif policy.spec.version is not None:
            yield _Share(policy, policy.spec.version, 1.0, policy.metadata.resource_version or 0)


def _comparison_of(snapshot: ConfigurationSnapshot, policy: str) -> Comparison | None:
    named = [entry for entry in snapshot.comparisons.values() if entry.spec.policy == policy]
    return min(named, key=lambda entry: entry.metadata.name, default=None)


def _arm_shares(
    snapshot: ConfigurationSnapshot, pool: Pool, comparison: Comparison
) -> Iterator[_Share]:
    total = sum(arm.share for arm in comparison.spec.arms)
    for arm in comparison.spec.arms:
        policy = snapshot.policies.get(arm.policy)
        is_other = arm.policy != comparison.spec.policy
        if policy is None or (is_other and arm.policy in pool.spec.policies):
            continue
        version = arm.version if arm.version is not None else policy.spec.version
        if version is not None:
            revisions = (policy.metadata.resource_version, comparison.metadata.resource_version)
            declared_at = max(revision or 0 for revision in revisions)
            yield _Share(policy, version, arm.share / total, declared_at)


def _allocate(shares: list[_Share], count: int) -> list[_Share]:
    """Divide `count` places by weight: one for each share first, the rest by largest remainder."""
    if not shares:
        return []
    first = shares[:count]
    total = sum(share.weight for share in first)
    rest = count - len(first)
    quotas = [rest * share.weight / total for share in first]
    counts = [1 + int(quota) for quota in quotas]
    by_remainder = sorted(range(len(first)), key=lambda n: (int(quotas[n]) - quotas[n], n))
    for number in by_remainder[: count - sum(counts)]:
        counts[number] += 1
    return [share for share, places in zip(first, counts, strict=True) for _ in range(places)]
