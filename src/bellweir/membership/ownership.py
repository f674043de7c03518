"""Which node owns which worker. Service `ownership`."""

import threading
from typing import ClassVar

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member, Membership, Ownership
from bellweir.membership.owner_choice import OwnerChoice, WorkerPlace
from bellweir.settings.models import Settings


class OwnershipService(Service, Ownership):
    """Follows the membership, and the configuration for the places of workers."""

    name: ClassVar[str] = names.OWNERSHIP
    dependencies: ClassVar[tuple[str, ...]] = (names.MEMBERSHIP, names.CONFIGURATION)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._lock = threading.Lock()
        self._choice = OwnerChoice(settings.node.name, kernel.clock.monotonic_s())
        self._places: dict[str, WorkerPlace] = {}
        self._membership: Membership | None = None

    def start(self) -> None:
        """Begin to follow members and configuration."""
        registry = self._kernel.registry
        membership = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        self._membership = membership
        membership.subscribe(self._on_member)
        for member in membership.members():
            self._on_member(member)
        configuration = registry.find(names.CONFIGURATION, Configuration)  # type: ignore[type-abstract]
        configuration.subscribe(self._on_configuration)

    def stop(self) -> None:
        """Nothing runs of its own."""

    def owner_of(self, worker: str) -> Member:
        """Return the worker's owner; this node when it knows no better."""
        membership = self._members()
        now_s = self._kernel.clock.monotonic_s()
        with self._lock:
            place = self._places.get(worker, WorkerPlace())
            owner = self._choice.owner_of(worker, place, now_s)
        found = membership.member(owner) if owner is not None else None
        return found or membership.self_member()

    def owns(self, worker: str) -> bool:
        """Tell whether this node owns the worker."""
        return self.owner_of(worker).node == self._members().self_member().node

    def _members(self) -> Membership:
        if self._membership is None:
            raise RuntimeError("the ownership service has not been started")
        return self._membership

    def _on_member(self, member: Member) -> None:
        with self._lock:
            self._choice.see(member, self._kernel.clock.monotonic_s())

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        places = worker_places(snapshot)
        with self._lock:
            self._places = places
            self._choice.keep_only(places)


def worker_places(snapshot: ConfigurationSnapshot) -> dict[str, WorkerPlace]:
    """Return the place of every worker that the configuration names."""
    places = {
        machine.name: WorkerPlace(machine.zone, machine.region)
        for machine in snapshot.machines.values()
        if machine.role != "node"
    }
    for pool in snapshot.pools.values():
        for worker in pool.spec.workers:
            places[worker.name] = WorkerPlace(worker.zone, worker.region)
    return places
