"""Service `peer_records`: publishes node addresses in the store for peer discovery.

Records are read only by a node that knows no peer, because its seeds are down or stale. A few
records per zone suffice, so only the first live nodes of each zone by rank register.
"""

import math
import threading
from collections.abc import Sequence
from typing import Any

from returns.result import Success

from bellweir.hosted.entries import invalid_reason
from bellweir.hosted.interface import RecordKind, RecordStore, StoreErrorKind
from bellweir.hosted.zone_ranking import first_of_zone
from bellweir.kernel import names
from bellweir.kernel.clock import elapsed_s
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member
from bellweir.membership.service import MembershipService

MIN_RECORDS = 3
"""Minimum number of registered nodes over all zones, at least one in each; old records stay."""
JOIN_TIMEOUT_S = 0.3
"""Time for the seeds to respond before records are read."""
FIRST_JOIN_TIMEOUT_S = 2.0
"""The same at the bootstrap of a deployment, when there are no records yet."""
SETTLING_TIME_S = 3.0
"""Time after the start when the membership view suffices to compute a node's rank."""
CHECK_INTERVAL_S = 5.0
ISOLATED_CHECK_INTERVAL_S = 1.0
"""Interval while no other node is known."""


def should_register(members: Sequence[Member], own: Member) -> bool:
    """Whether a node is among those of its zone that publish their address."""
    zones = len({member.zone for member in members})
    first = first_of_zone(members, own.zone, math.ceil(MIN_RECORDS / zones))
    return own.node in {member.node for member in first}


class PeerRecords(Service):
    """Registers this node and suggests the registered nodes as seeds."""

    name = names.PEER_RECORDS
    dependencies = (names.MEMBERSHIP,)

    def __init__(self, kernel: Kernel, store: RecordStore, *, is_first_start: bool = False) -> None:
        self._kernel = kernel
        self._store = store
        self._join_timeout_s = FIRST_JOIN_TIMEOUT_S if is_first_start else JOIN_TIMEOUT_S
        self._is_registered = False

    def start(self) -> None:
        """Start the background task."""
        self._membership = self._kernel.registry.find(names.MEMBERSHIP, MembershipService)
        self._kernel.executors.run_loop("peer-records", self._run)

    def stop(self) -> None:
        """The task ends with the executors; the record stays."""

    def _run(self, stopping: threading.Event) -> None:
        started_s = elapsed_s()
        stopping.wait(self._join_timeout_s)
        while not stopping.is_set():
            is_settled = elapsed_s() - started_s >= SETTLING_TIME_S
            if self._is_isolated():
                self._suggest_seeds()
            if not self._is_registered and (
                self._is_isolated() or (is_settled and self._should_register())
            ):
                self._is_registered = self._register()
            is_waiting = self._is_isolated() or not is_settled
            stopping.wait(ISOLATED_CHECK_INTERVAL_S if is_waiting else CHECK_INTERVAL_S)

    def _should_register(self) -> bool:
        return should_register(self._membership.members(), self._membership.self_member())

    def _is_isolated(self) -> bool:
        return len(self._membership.members()) <= 1

    def _register(self) -> bool:
        own = self._membership.self_member()
        spec: dict[str, Any] = {"peerAddress": own.peer_address, "zone": own.zone}
        created = self._store.create(RecordKind.NODES, own.node, spec)
        if isinstance(created, Success):
            return True
        if created.failure().kind is not StoreErrorKind.CONFLICT:
            return False
        found = self._store.read(RecordKind.NODES, own.node)
        if not isinstance(found, Success):
            return False
        record = found.unwrap()
        if record.spec == spec:
            return True
        written = self._store.replace(RecordKind.NODES, own.node, spec, record.revision)
        return isinstance(written, Success)

    def _suggest_seeds(self) -> None:
        found = self._store.list_kind(RecordKind.NODES)
        if not isinstance(found, Success):
            return
        own = self._membership.self_member().peer_address
        addresses = {
            str(record.spec["peerAddress"])
            for record in found.unwrap().records
            if invalid_reason(record) is None
        }
        self._membership.suggest_seeds(tuple(addresses - {own}))
