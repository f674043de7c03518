"""Service `peer_records`: nodes leave their addresses in the store, so that others find them.

Membership itself runs between the nodes. The records only help a node whose seeds are down or
stale; they are read at its start and while it knows nobody.
"""

import threading
from typing import Any

from returns.result import Success

from bellweir.hosted.interface import RecordKind, RecordStore, StoreErrorKind
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.service import MembershipService

RETRY_S = 0.5
LOOK_PERIOD_S = 5.0
ALONE_PERIOD_S = 1.0
"""Time between two looks while no other node is known."""


class PeerRecords(Service):
    """Registers this node and suggests the registered ones as seeds."""

    name = names.PEER_RECORDS
    dependencies = (names.MEMBERSHIP,)

    def __init__(self, kernel: Kernel, store: RecordStore) -> None:
        self._kernel = kernel
        self._store = store

    def start(self) -> None:
        """Register in the background; nothing waits for it."""
        self._membership = self._kernel.registry.find(names.MEMBERSHIP, MembershipService)
        self._kernel.executors.run_task("peer-records", self._run)

    def stop(self) -> None:
        """The task ends with the executors; a stale record does no harm."""

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.is_set() and not self._register():
            stopping.wait(RETRY_S)
        while not stopping.is_set():
            if self._is_alone():
                self._suggest()
            stopping.wait(ALONE_PERIOD_S if self._is_alone() else LOOK_PERIOD_S)

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
            if isinstance(record.spec, dict) and "peerAddress" in record.spec
        }
        self._membership.suggest_seeds(tuple(addresses - {own}))
