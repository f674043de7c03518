"""The workers of a pool and the selection of the subset that a node routes over."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bellweir.clients.interface import Machine, MachineState
from bellweir.resources.models import BackendKind, Pool
from bellweir.routing.rendezvous import score

NEAR_SHARE = 2 / 3
"""Share of the nearest workers in a subset; the others are in other zones if possible, so that a
node still has back ends after the loss of a zone."""

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


@dataclass(frozen=True)
class PoolWorker:
    """A worker of a pool, from the pool's spec or from the machine list."""

    name: str
    address: str
    pool: str
    kind: BackendKind
    zone: str
    region: str
    leaving: bool
    """Marked as leaving by an operator or by the machine list."""

    @property
    def key(self) -> str:
        """`pool/worker`, unique over all pools."""
        return f"{self.pool}/{self.name}"


@dataclass(frozen=True)
class Location:
    """Zone and region of a node."""

    node: str
    zone: str
    region: str

    def distance(self, zone: str, region: str) -> int:
        """Return `SAME_ZONE`, `SAME_REGION` or `OTHER_REGION`."""
        if zone == self.zone:
            return SAME_ZONE
        return SAME_REGION if region == self.region else OTHER_REGION


def workers_of_pool(pool: Pool, machines: Mapping[str, Machine]) -> tuple[PoolWorker, ...]:
    """Return all workers of a pool by name; the spec takes precedence over the machine list."""
    found: dict[str, PoolWorker] = {}
    if pool.spec.from_machine_list:
        for machine in machines.values():
            if machine.pool == pool.metadata.name and machine.role == pool.spec.kind.value:
                found[machine.name] = _from_machine(pool, machine)
    for worker in pool.spec.workers:
        listed = machines.get(worker.name)
        leaving = listed is not None and listed.state is MachineState.LEAVING
        found[worker.name] = PoolWorker(
            name=worker.name,
            address=worker.address,
            pool=pool.metadata.name,
            kind=pool.spec.kind,
            zone=worker.zone,
            region=worker.region,
            leaving=worker.leaving or leaving,
        )
    return tuple(found[name] for name in sorted(found))


def _from_machine(pool: Pool, machine: Machine) -> PoolWorker:
    return PoolWorker(
        name=machine.name,
        address=machine.address,
        pool=pool.metadata.name,
        kind=pool.spec.kind,
        zone=machine.zone,
        region=machine.region,
        leaving=machine.state is MachineState.LEAVING,
    )


def select_subset(
    workers: Iterable[PoolWorker], location: Location, size: int
) -> tuple[PoolWorker, ...]:
    """Select at most `size` workers that are not leaving, mostly near ones."""
    staying = [worker for worker in workers if not worker.leaving]
    by_hash = sorted(staying, key=lambda worker: -score(location.node, worker.name))
    nearest = sorted(by_hash, key=lambda worker: location.distance(worker.zone, worker.region))
    chosen = nearest[: max(1, round(size * NEAR_SHARE))]
    elsewhere = [worker for worker in by_hash if worker not in set(chosen)]
    elsewhere.sort(key=lambda worker: worker.zone == location.zone)
    return tuple(chosen + elsewhere[: size - len(chosen)])
