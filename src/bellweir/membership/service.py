"""Membership of this node. Service `membership`."""

import select
import socket
import threading
from typing import TYPE_CHECKING, ClassVar

from bellweir.events.log import emit
from bellweir.kernel import names
from bellweir.kernel.executors import ExecutorSaturatedError, WorkKind
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.membership.exchange import (
    Now,
    exchange_pause_s,
    exchange_with,
    register_handlers,
)
from bellweir.membership.interface import Member, Membership, MembershipListener, MemberState
from bellweir.membership.log_events import (
    LISTENER_FAILED,
    MEMBER_DEAD,
    MEMBER_JOINED,
    MEMBER_LEAVING,
    MEMBER_SUSPECTED,
)
from bellweir.membership.node import MembershipNode
from bellweir.membership.records import MemberRecord, MemberStatus
from bellweir.wire.interface import Transport
from bellweir.wire.service import TransportService
from bellweir.wire.traffic import TrafficTotals

if TYPE_CHECKING:
    from bellweir.settings.models import Settings


MAXIMUM_DATAGRAMS_AT_ONCE = 64
RECEIVE_BYTES = 65_536
LONGEST_WAIT_S = 0.2
"""The task wakes at least this often, to see a stop and to deliver changes."""

EVENT_OF_STATE = {
    MemberState.ALIVE: MEMBER_JOINED,
    MemberState.SUSPECT: MEMBER_SUSPECTED,
    MemberState.LEAVING: MEMBER_LEAVING,
    MemberState.DEAD: MEMBER_DEAD,
}


class MembershipService(Service, Membership):
    """Runs one `MembershipNode` on the node's UDP socket by one task."""

    name: ClassVar[str] = names.MEMBERSHIP
    dependencies: ClassVar[tuple[str, ...]] = (names.TRANSPORT,)

    def __init__(self, kernel: Kernel, settings: "Settings") -> None:
        self._kernel = kernel
        self._settings = settings
        self._socket = kernel.listeners.peer_datagram
        self._listeners: list[MembershipListener] = []
        self._listeners_lock = threading.Lock()
        self._node: MembershipNode | None = None
        self._transport: Transport | None = None
        self._exchanging = threading.Event()

    def start(self) -> None:
        """Join through the seeds."""
        transport = self._kernel.registry.find(names.TRANSPORT, TransportService)
        self._socket.setblocking(False)
        self._node = MembershipNode(
            own=own_record(self._kernel, self._settings),
            settings=self._settings.membership,
            keys=transport.keys,
            channel=self._socket,
            faults=transport.faults,
            start_s=self._now_s(),
        )
        self._transport = transport
        register_handlers(transport, self._node, self._now_s)
        self._kernel.executors.run_loop("membership", self._run)

    def stop(self) -> None:
        """Tell others that this node has stopped."""
        if self._node is not None:
            self._node.end(self._now_s())

    def self_member(self) -> Member:
        """Return the member that stands for this node."""
        return self._protocol().own()

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not dead, sorted by name."""
        return self._protocol().members()

    def member(self, node: str) -> Member | None:
        """Return a member by name, also a dead one."""
        return self._protocol().member(node)

    def subscribe(self, listener: MembershipListener) -> None:
        """Call `listener` after each change, on the membership's task."""
        with self._listeners_lock:
            self._listeners.append(listener)

    def announce_leaving(self) -> None:
        """Spread at once that this node is leaving."""
        self._protocol().leave(self._now_s())

    def refused_datagrams(self) -> int:
        """Return how many datagrams were malformed or from strangers."""
        return self._protocol().refused

    def traffic(self) -> TrafficTotals:
        """Return the datagrams and their bytes since the start, both directions."""
        return self._protocol().traffic.totals()

    def suggest_seeds(self, addresses: tuple[str, ...]) -> None:
        """Try these `host:port` besides the seeds of the settings."""
        self._protocol().suggest_seeds(addresses)

    def _protocol(self) -> MembershipNode:
        if self._node is None:
            raise RuntimeError("the membership service has not been started")
        return self._node

    def _now_s(self) -> float:
        return self._kernel.clock.monotonic_s()

    def _run(self, stopping: threading.Event) -> None:
        node = self._protocol()
        started_s = next_exchange_s = self._now_s()
        period_s = self._settings.membership.exchange_period_s
        while not stopping.is_set():
            wait_s = min(LONGEST_WAIT_S, max(0.0, node.next_wake_s - self._now_s()))
            try:
                ready, _, _ = select.select([self._socket], [], [], wait_s)
            except (OSError, ValueError):
                return  # The socket was closed by the stop.
            if ready:
                receive_waiting(self._socket, node, self._now_s)
            if self._now_s() >= node.next_wake_s:
                node.tick(self._now_s())
            self._deliver(node)
            due = self._now_s() >= next_exchange_s
            if self._begin_exchange(node, due):
                age_s = self._now_s() - started_s
                next_exchange_s = self._now_s() + exchange_pause_s(period_s, age_s)

    def _begin_exchange(self, node: MembershipNode, due: bool) -> bool:
        if self._exchanging.is_set():
            return False
        address = node.wants_exchange_with() or (
            node.partner_address(self._now_s()) if due else None
        )
        if address is None:
            return False
        self._exchanging.set()
        try:
            self._kernel.executors.submit(WorkKind.BACKGROUND, self._exchange, node, address)
        except (ExecutorSaturatedError, RuntimeError):
            self._exchanging.clear()
            return False
        return True

    def _exchange(self, node: MembershipNode, address: str) -> None:
        try:
            if self._transport is not None:
                exchange_with(address, self._transport, node, self._now_s)
        finally:
            self._exchanging.clear()

    def _deliver(self, node: MembershipNode) -> None:
        for member in node.take_changes():
            emit(
                EVENT_OF_STATE[member.state],
                member=member.node,
                zone=member.zone,
                incarnation=member.incarnation,
            )
            with self._listeners_lock:
                listeners = tuple(self._listeners)
            for listener in listeners:
                try:
                    listener(member)
                except Exception as failure:
                    # One listener's fault must not end the failure detector.
                    emit(LISTENER_FAILED, error=repr(failure))


def own_record(kernel: Kernel, settings: "Settings") -> MemberRecord:
    """Return the first record of a starting node.

    Its incarnation is the wall clock in milliseconds, so that a restarted node beats what is
    remembered of its former process; should the clock have gone back, it refutes as usual.
    """
    node = settings.node
    return MemberRecord(
        node=node.name,
        peer_address=kernel.listeners.peer_address,
        gateway_address=kernel.listeners.gateway_address,
        zone=node.zone,
        region=node.region,
        has_data_folder=node.data_folder is not None,
        leaving=False,
        status=MemberStatus.ALIVE,
        incarnation=int(kernel.clock.wall_s() * 1000),
    )


def receive_waiting(datagrams: socket.socket, node: MembershipNode, now: Now) -> None:
    """Hand the datagrams that wait in the socket to the node, a bounded number at once."""
    for _ in range(MAXIMUM_DATAGRAMS_AT_ONCE):
        try:
            data, (host, port) = datagrams.recvfrom(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            continue  # An earlier send was refused by its target's host.
        node.receive(data, f"{host}:{port}", now())
