"""Service `peer_records`: nodes leave their addresses in the store, so that others find them.

Membership itself runs between the nodes. The records only help a node whose seeds are down or
stale, which reads them while it knows nobody. A few records a zone are enough for that, so only
the few nodes of a zone that rank first among its live ones write theirs; when one of them goes,
the next one by rank writes its own.
"""

import math
import threading
import time
from collections.abc import Sequence
from typing import Any

from returns.result import Success

from bellweir.hosted.entries import invalid_reason
from bellweir.hosted.interface import RecordKind, RecordStore, StoreErrorKind
from bellweir.hosted.zone_ranking import first_of_zone
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.interface import Member
from bellweir.membership.service import MembershipService

FEWEST_RECORDS = 3
"""Nodes that leave their address at least, one or more of each zone; when one goes, the next one
by rank leaves its own, and older records stay."""
JOIN_PATIENCE_S = 0.3
"""Time for the seeds to answer a node that starts, before it looks for records."""
FIRST_JOIN_PATIENCE_S = 2.0
"""The same at the first start of all: nobody has left a record yet."""
SETTLED_AFTER_S = 3.0
"""Time from the start after which a node's rank among its zone's is taken as known."""
LOOK_PERIOD_S = 5.0
ALONE_PERIOD_S = 1.0
"""Time between two looks while no other node is known."""


def should_register(members: Sequence[Member], own: Member) -> bool:
    """Whether a node is one of those of its zone that leave their address in the store."""
    zones = len({one.zone for one in members})
    first = first_of_zone(members, own.zone, math.ceil(FEWEST_RECORDS / zones))
    return own.node in {one.node for one in first}


class PeerRecords(Service):
    """Registers this node and suggests the registered ones as seeds."""

    name = names.PEER_RECORDS
    dependencies = (names.MEMBERSHIP,)

    def __init__(self, kernel: Kernel, store: RecordStore, *, is_first_start: bool = False) -> None:
        self._kernel = kernel
        self._store = store
        self._join_patience_s = FIRST_JOIN_PATIENCE_S if is_first_start else JOIN_PATIENCE_S
        self._is_registered = False

    def start(self) -> None:
        """Register in the background; nothing waits for it."""
        self._membership = self._kernel.registry.find(names.MEMBERSHIP, MembershipService)
        self._kernel.executors.run_task("peer-records", self._run)

    def stop(self) -> None:
        """The task ends with the executors; a stale record does no harm."""

    def _run(self, stopping: threading.Event) -> None:
        began_s = time.monotonic()
        stopping.wait(self._join_patience_s)
        while not stopping.is_set():
            is_settled = time.monotonic() - began_s >= SETTLED_AFTER_S
            if self._is_alone():
                self._suggest()
            if not self._is_registered and (self._is_alone() or (is_settled and self._ranks())):
                self._is_registered = self._register()
            is_waiting = self._is_alone() or not is_settled
            stopping.wait(ALONE_PERIOD_S if is_waiting else LOOK_PERIOD_S)

    def _ranks(self) -> bool:
        return should_register(self._membership.members(), self._membership.self_member())

    def _is_alone(self) -> bool:
        return len(self._membership.members()) <= 1

    def _register(self) -> bool:
        own = self._membership.self_member()
        spec: dict[str, Any] = {"peerAddress": own.peer_address, "zone": own.zone}
        made = self._store.create(RecordKind.NODES, own.node, spec)
        if isinstance(made, Success):
            return True
        if made.failure().kind is not StoreErrorKind.CONFLICT:
            return False
        found = self._store.read(RecordKind.NODES, own.node)
        if not isinstance(found, Success):
            return False
        record = found.unwrap()
        if record.spec == spec:
            return True
        written = self._store.replace(RecordKind.NODES, own.node, spec, record.revision)
        return isinstance(written, Success)

    def _suggest(self) -> None:
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
