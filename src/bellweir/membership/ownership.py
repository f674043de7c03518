"""Which node owns which worker. Service `ownership`."""

from collections.abc import Iterable
from typing import ClassVar

from bellweir.configuration.interface import Configuration, ConfigurationSnapshot
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member, Membership, Ownership
from bellweir.membership.owner_tracker import OwnerTracker
from bellweir.settings.models import Settings


class OwnershipService(Service, Ownership):
    """Follows the membership, and the configuration for the places of workers."""

    name: ClassVar[str] = names.OWNERSHIP
    dependencies: ClassVar[tuple[str, ...]] = (names.MEMBERSHIP, names.CONFIGURATION)

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        self._kernel = kernel
        self._own_node = settings.node.name
        self._tracker = OwnerTracker(self._own_node, kernel.clock.monotonic_s())
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
        owner = self._tracker.owner_of(worker, self._now_s())
        found = membership.member(owner) if owner is not None else None
        return found or membership.self_member()

    def owns(self, worker: str) -> bool:
        """Tell whether this node owns the worker."""
        return self._tracker.owner_of(worker, self._now_s()) == self._own_node

    def owned(self, workers: Iterable[str]) -> list[str]:
        """Return those of the workers that this node owns."""
        return self._tracker.owned(workers, self._now_s())

    def _now_s(self) -> float:
        return self._kernel.clock.monotonic_s()

    def _members(self) -> Membership:
        if self._membership is None:
            raise RuntimeError("the ownership service has not been started")
        return self._membership

    def _on_member(self, member: Member) -> None:
        self._tracker.see(member, self._now_s())

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        self._tracker.take_snapshot(snapshot)
