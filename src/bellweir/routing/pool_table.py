"""The back ends of each pool that this node routes over, kept in line with the configuration."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bellweir.clients.interface import Machine
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.resources.models import Pool
from bellweir.routing.backend import Backend
from bellweir.routing.circuit import Circuit
from bellweir.routing.pool_workers import Location, PoolWorker, select_subset, workers_of_pool
from bellweir.settings.models import RoutingSettings


@dataclass(frozen=True)
class PoolBackends:
    """One pool's spec and the back ends of the node's subset."""

    pool: Pool
    backends: tuple[Backend, ...]


@dataclass(frozen=True)
class _Drawn:
    """A pool's workers as divided into the node's subset and the others that stay."""

    pool: Pool
    machines: Mapping[str, Machine]
    workers: tuple[PoolWorker, ...]
    subset: tuple[PoolWorker, ...]
    others: tuple[PoolWorker, ...]


class PoolTable:
    """Immutable lists of back ends by pool, replaced as a whole at each change."""

    def __init__(self, location: Location, settings: RoutingSettings) -> None:
        self._location = location
        self._settings = settings
        self._lock = threading.Lock()
        self._pools: dict[str, PoolBackends] = {}
        self._by_key: dict[str, Backend] = {}
        self._has_large_pools = False
        self._drawn: dict[str, _Drawn] = {}

    def pools(self) -> dict[str, PoolBackends]:
        """The pools as of the last change; not to be modified."""
        return self._pools

    @property
    def has_large_pools(self) -> bool:
        """Whether a pool has more workers than this node routes over."""
        return self._has_large_pools

    def by_key(self) -> dict[str, Backend]:
        """The back ends of all pools by `pool/worker`; not to be modified."""
        return self._by_key

    def apply(self, snapshot: ConfigurationSnapshot, owns: Callable[[str], bool]) -> None:
        """Take over a snapshot; back ends that stay keep what is known of them.

        `owns` tells whether this node owns a worker, by name.
        """
        with self._lock:
            held = self._pools
            self._has_large_pools = False
            self._pools = {
                name: PoolBackends(pool, self._backends_of(pool, snapshot, owns, held.get(name)))
                for name, pool in snapshot.pools.items()
            }
            self._drawn = {name: self._drawn[name] for name in self._pools}
            self._by_key = {
                backend.key: backend for found in self._pools.values() for backend in found.backends
            }

    def _backends_of(
        self,
        pool: Pool,
        snapshot: ConfigurationSnapshot,
        owns: Callable[[str], bool],
        held: PoolBackends | None,
    ) -> tuple[Backend, ...]:
        drawn = self._draw(pool, snapshot.machines)
        known = {backend.name: backend for backend in held.backends} if held else {}
        chosen = list(drawn.subset)
        if drawn.others:
            # Subsets that nodes draw on their own leave some workers of a large pool to nobody
            # (428 of 3,800 at 340 nodes and 24); every worker has an owner, who routes over it.
            self._has_large_pools = True
            chosen += [worker for worker in drawn.others if owns(worker.name)]
        by_name = {worker.name: worker for worker in drawn.workers}
        chosen += self._leaving_with_work(by_name, known, {worker.name for worker in chosen})
        return tuple(self._backend(worker, known.get(worker.name)) for worker in chosen)

    def _draw(self, pool: Pool, machines: Mapping[str, Machine]) -> _Drawn:
        """Draw the subset, or take the one drawn before from the same objects."""
        name = pool.metadata.name
        before = self._drawn.get(name)
        if before is not None and before.pool is pool and before.machines is machines:
            return before
        workers = workers_of_pool(pool, machines)
        subset = select_subset(workers, self._location, pool.spec.subset_size)
        names = {worker.name for worker in subset}
        others = tuple(
            worker for worker in workers if worker.name not in names and not worker.leaving
        )
        self._drawn[name] = _Drawn(pool, machines, workers, subset, others)
        return self._drawn[name]

    def _leaving_with_work(
        self, by_name: dict[str, PoolWorker], known: dict[str, Backend], chosen: set[str]
    ) -> list[PoolWorker]:
        """Back ends that left the subset but still have requests of this node in hand."""
        return [
            by_name.get(name, backend.worker)
            for name, backend in known.items()
            if name not in chosen and backend.in_flight > 0
        ]

    def _backend(self, worker: PoolWorker, known: Backend | None) -> Backend:
        distance = self._location.distance(worker.zone, worker.region)
        if known is not None and known.address == worker.address:
            known.reconfigure(worker, distance)
            return known
        circuit = Circuit(self._settings.circuit_failures, self._settings.circuit_open_s)
        return Backend(worker, distance, circuit)
