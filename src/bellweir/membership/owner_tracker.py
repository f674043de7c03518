"""Follows members and workers, and answers which node owns which worker; safe for threads."""

import threading
from collections.abc import Iterable, Mapping

from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.membership.interface import Member
from bellweir.membership.owner_choice import OwnerChoice, WorkerPlace


class OwnerTracker:
    """Ownership as one node sees it."""

    def __init__(self, own_node: str, start_s: float) -> None:
        self._own_node = own_node
        self._lock = threading.Lock()
        self._choice = OwnerChoice(own_node, start_s)
        self._places: Mapping[str, WorkerPlace] = {}
        self._owned: frozenset[str] | None = None
        self._owned_version = -1

    def see(self, member: Member, now_s: float) -> None:
        """Take a member's new state."""
        with self._lock:
            self._choice.see(member, now_s)

    def take_places(self, places: Mapping[str, WorkerPlace]) -> None:
        """Take the workers of a new configuration."""
        with self._lock:
            if places == self._places:
                return
            self._places = places
            self._owned = None
            self._choice.keep_only(places)

    def owner_of(self, worker: str, now_s: float) -> str | None:
        """Return the name of the worker's owner; None without any member."""
        with self._lock:
            return self._choice.owner_of(worker, self._place(worker), now_s)

    def owned(self, workers: Iterable[str], now_s: float) -> list[str]:
        """Return those of the workers that this node owns.

        All known workers are placed once after a change of members or workers; between changes
        a question costs one set look-up for each worker.
        """
        with self._lock:
            owned = self._owned_now(now_s)
            return [
                worker
                for worker in workers
                if worker in owned or (worker not in self._places and self._is_own(worker, now_s))
            ]

    def _owned_now(self, now_s: float) -> frozenset[str]:
        version = self._choice.version(now_s)
        if self._owned is None or self._owned_version != version:
            self._owned = frozenset(w for w in self._places if self._is_own(w, now_s))
            self._owned_version = version
        return self._owned

    def _is_own(self, worker: str, now_s: float) -> bool:
        return self._choice.owner_of(worker, self._place(worker), now_s) == self._own_node

    def _place(self, worker: str) -> WorkerPlace:
        return self._places.get(worker, WorkerPlace())


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
