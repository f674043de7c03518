"""Follows members and workers, and answers which node owns which worker; safe for threads."""

import threading
from collections.abc import Iterable, Mapping

from bellweir.clients.interface import Machine
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.membership.interface import Member
from bellweir.membership.owner_choice import Group, OwnerChoice, WorkerPlace
from bellweir.resources.models import Pool


class OwnerTracker:
    """Ownership as one node sees it."""

    def __init__(self, own_node: str, start_s: float) -> None:
        self._own_node = own_node
        self._lock = threading.Lock()
        self._choice = OwnerChoice(own_node, start_s)
        self._machines: Mapping[str, Machine] = {}
        self._pools: Mapping[str, Pool] = {}
        self._places: Mapping[str, WorkerPlace] = {}
        self._workers_at: dict[WorkerPlace, list[str]] = {}
        self._owned_at: dict[WorkerPlace, tuple[Group, frozenset[str]]] = {}
        self._owned: frozenset[str] = frozenset()
        """Union of the owned workers of all places."""

    def see(self, member: Member, now_s: float) -> None:
        """Take a member's new state."""
        with self._lock:
            self._choice.see(member, now_s)

    def take_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        """Take the workers of a new configuration; cheap when only other resources changed."""
        with self._lock:
            unchanged = snapshot.machines is self._machines and snapshot.pools is self._pools
            if unchanged:
                return
            self._machines, self._pools = snapshot.machines, snapshot.pools
            self._take_places(worker_places(snapshot))

    def take_places(self, places: Mapping[str, WorkerPlace]) -> None:
        """Take the places of all workers."""
        with self._lock:
            self._take_places(places)

    def owner_of(self, worker: str, now_s: float) -> str | None:
        """Return the name of the worker's owner; None without any member."""
        with self._lock:
            return self._choice.owner_of(worker, self._place(worker), now_s)

    def owned(self, workers: Iterable[str], now_s: float) -> list[str]:
        """Return those of the workers that this node owns.

        The workers of a zone are placed once after a change of its members; between changes a
        question costs two look-ups for each worker.
        """
        with self._lock:
            owned = self._all_owned(now_s)
            return [
                worker
                for worker in workers
                if worker in owned or (worker not in self._places and self._is_own(worker, now_s))
            ]

    def _take_places(self, places: Mapping[str, WorkerPlace]) -> None:
        if places == self._places:
            return
        self._places = places
        self._workers_at = {}
        for worker, place in places.items():
            self._workers_at.setdefault(place, []).append(worker)
        self._owned_at = {}
        self._owned = frozenset()
        self._choice.keep_only(places)

    def _all_owned(self, now_s: float) -> frozenset[str]:
        changed = False
        for place, workers in self._workers_at.items():
            group = self._choice.group_of(place, now_s)
            known = self._owned_at.get(place)
            if known is not None and known[0] is group:
                continue
            owned = frozenset(worker for worker in workers if self._is_own(worker, now_s))
            self._owned_at[place] = (group, owned)
            changed = True
        if changed:
            self._owned = frozenset[str]().union(*(owned for _, owned in self._owned_at.values()))
        return self._owned

    def _is_own(self, worker: str, now_s: float) -> bool:
        if self._own_node not in self._choice.group_of(self._place(worker), now_s):
            return False
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
