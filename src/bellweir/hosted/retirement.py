"""Service `retirement`: decommissions store machines on the operator's request.

The leader of the jobs shard watches the requests, applies them and writes their status. A machine
is released only once other responsive machines hold the full number of replicas, so that the loss
of another disk stays tolerable.
"""

import threading

import msgspec
from returns.result import Success

from bellweir.events.log import emit
from bellweir.hosted.batches.state import JOBS_KEY
from bellweir.hosted.interface import (
    HostingPlatform,
    Listing,
    RecordChange,
    RecordKind,
    StoredRecord,
)
from bellweir.hosted.log_events import RETIREMENT_COMPLETED, RETIREMENT_STARTED
from bellweir.hosted.settings import HostedSettings
from bellweir.hosted.views.follower import KindFollower
from bellweir.hosted.views.service import ViewsService
from bellweir.hosted.weights.lease_messages import StepAside
from bellweir.kernel import names
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.service import LedgerService
from bellweir.membership.interface import Membership, MemberState
from bellweir.wire.interface import Transport

RUNNING = "running"
COMPLETED = "completed"
POLL_INTERVAL_S = 0.3


class RetirementStatus(msgspec.Struct, frozen=True):
    """Status of a retirement, read by the operator."""

    state: str


class RetirementService(Service):
    """Watches retirement requests in one task and reports their progress in another."""

    name = names.RETIREMENT
    dependencies = (names.LEDGER, names.VIEWS, names.TRANSPORT, names.MEMBERSHIP)

    def __init__(self, kernel: Kernel, settings: HostedSettings, platform: HostingPlatform) -> None:
        self._kernel = kernel
        self._store = platform.store
        self._lock = threading.Lock()
        self._requests: dict[str, StoredRecord] = {}

    def start(self) -> None:
        """Start the tasks."""
        registry = self._kernel.registry
        self._ledger = registry.find(names.LEDGER, LedgerService)
        self._transport = registry.find(names.TRANSPORT, Transport)  # type: ignore[type-abstract]
        self._members = registry.find(names.MEMBERSHIP, Membership)  # type: ignore[type-abstract]
        follower = KindFollower(
            self._store,
            RecordKind.RETIREMENTS,
            self._apply_listing,
            self._apply_change,
            is_wanted=lambda: self._ledger.leads(JOBS_KEY),
            is_relayable=False,
        )
        registry.find(names.VIEWS, ViewsService).add_checked_follower(follower)
        self._kernel.executors.run_loop("follow-retirements", follower.run)
        self._kernel.executors.run_loop("retirement", self._run)

    def stop(self) -> None:
        """The tasks end with the executors."""

    def _apply_listing(self, listing: Listing) -> None:
        with self._lock:
            self._requests = {record.name: record for record in listing.records}
        self._update_ledger()

    def _apply_change(self, change: RecordChange) -> None:
        with self._lock:
            self._requests.pop(change.record.name, None)
            if not change.deleted:
                self._requests[change.record.name] = change.record
        self._update_ledger()

    def _update_ledger(self) -> None:
        self._ledger.retire(frozenset(self._requests))

    def _run(self, stopping: threading.Event) -> None:
        while not stopping.wait(POLL_INTERVAL_S):
            if not self._ledger.leads(JOBS_KEY):
                continue
            with self._lock:
                requests = list(self._requests.values())
            self._update_ledger()
            for record in requests:
                self._report(record)

    def _report(self, record: StoredRecord) -> None:
        state = _state_of(record)
        if state == COMPLETED:
            return
        if self._has_successor():
            self._request_lease_release(record.name)
        if self._ledger.release(record.name):
            self._request_lease_release(record.name)
            self._write(record, COMPLETED)
        elif state != RUNNING:
            self._write(record, RUNNING)

    def _has_successor(self) -> bool:
        """Whether a machine that is to stay can hold a lease.

        Machines that have nowhere to go stay for as long as they are asked to go. If all of them
        kept off a lease meanwhile, nobody would hold it.
        """
        with self._lock:
            leaving = set(self._requests)
        return any(
            one.has_data_folder and one.state is MemberState.ALIVE and one.node not in leaving
            for one in self._members.members()
        )

    def _request_lease_release(self, node: str) -> None:
        """Ask a machine to release its leases before it is removed."""
        member = self._members.member(node)
        if member is not None:
            self._transport.send(member.peer_address, StepAside())

    def _write(self, record: StoredRecord, state: str) -> None:
        status = msgspec.to_builtins(RetirementStatus(state))
        written = self._store.replace_status(
            RecordKind.RETIREMENTS, record.name, status, record.revision
        )
        if not isinstance(written, Success):
            return
        with self._lock:
            if record.name in self._requests:
                self._requests[record.name] = written.unwrap()
        event = RETIREMENT_COMPLETED if state == COMPLETED else RETIREMENT_STARTED
        emit(event, machine=record.name)


def _state_of(record: StoredRecord) -> str | None:
    status = record.status
    return status.get("state") if isinstance(status, dict) else None
