"""A hollow node: the real membership, configuration and ownership code, without callers."""

import random
import socket
import time
from pathlib import Path

import xxhash

from bellweir.configuration.core import ConfigurationCore
from bellweir.configuration.interface import ConfigurationSnapshot
from bellweir.kernel.clock import SystemClock
from bellweir.kernel.listeners import bind_listeners
from bellweir.membership.exchange import exchange_pause_s, exchange_with, register_handlers
from bellweir.membership.interface import Member, Membership, MembershipListener
from bellweir.membership.node import MembershipNode
from bellweir.membership.owner_tracker import OwnerTracker
from bellweir.membership.records import MemberRecord, MemberStatus
from bellweir.membership.service import receive_waiting
from bellweir.settings.models import ConfigurationSettings, MembershipSettings
from bellweir.wire.faults import NetworkFaults, Place
from bellweir.wire.handshake import LocalNode
from bellweir.wire.keys import ClusterKeys
from bellweir_rehearsal.scale.commands import NodeSpec, RevisionSeen, StateSeen, View
from bellweir_rehearsal.scale.hollow_transport import HollowTransport, SharedThreads

HOST = "127.0.0.1"
SERVE_TIMEOUT_S = 5.0
OWNERSHIP_PERIOD_S = 0.5
"""How often a node asks which workers it owns, as the rollout of weights does."""


class HollowMembership(Membership):
    """The membership interface over one `MembershipNode` that the process's loop runs."""

    def __init__(self, protocol: MembershipNode) -> None:
        self.protocol = protocol
        self.listeners: list[MembershipListener] = []

    def self_member(self) -> Member:
        """Return the node's own member."""
        return self.protocol.own()

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not dead."""
        return self.protocol.members()

    def member(self, node: str) -> Member | None:
        """Return a member by name."""
        return self.protocol.member(node)

    def subscribe(self, listener: MembershipListener) -> None:
        """Call `listener` after each change, on the process's loop."""
        self.listeners.append(listener)

    def announce_leaving(self) -> None:
        """Spread a planned stop."""
        self.protocol.leave(time.monotonic())


class HollowNode:
    """One hollow node. The process's loop calls `receive`, `tick` and `begin_due_work`."""

    def __init__(
        self,
        spec: NodeSpec,
        settings: MembershipSettings,
        faults: Path,
        keys: ClusterKeys,
        threads: SharedThreads,
    ) -> None:
        self.spec = spec
        self.states: list[StateSeen] = []
        self.revisions: list[RevisionSeen] = []
        self.running = True
        self._threads = threads
        listeners = bind_listeners(HOST, 0, 0)
        if listeners.gateway is not None:
            listeners.gateway.close()
        self.address = listeners.peer_address
        self.stream: socket.socket = listeners.peer_stream
        self.datagrams: socket.socket = listeners.peer_datagram
        self.stream.setblocking(False)
        self.datagrams.setblocking(False)
        network = NetworkFaults(faults, Place(spec.name, self.address, spec.zone, spec.region))
        self.transport = HollowTransport(LocalNode(spec.name, self.address), keys, network, threads)
        self._settings = settings
        now_s = time.monotonic()
        self.protocol = MembershipNode(
            own=_own_record(spec, self.address),
            settings=self._settings,
            keys=keys,
            channel=self.datagrams,
            faults=network,
            start_s=now_s + random.uniform(0.0, self._settings.probe_period_s),
        )
        register_handlers(self.transport, self.protocol, time.monotonic)
        self.membership = HollowMembership(self.protocol)
        self.owners = OwnerTracker(spec.name, now_s)
        self.membership.subscribe(lambda member: self.owners.see(member, time.monotonic()))
        self.configuration = ConfigurationCore(
            self.transport, self.membership, SystemClock(), ConfigurationSettings()
        )
        self.configuration.register_handlers()
        self.configuration.subscribe(self._on_configuration)
        self._workers: tuple[str, ...] = ()
        self._stepping = False
        self._exchanging = False
        self._next_step_s = now_s
        self._started_s = self._next_exchange_s = now_s
        self._next_ownership_s = now_s + random.uniform(0.0, OWNERSHIP_PERIOD_S)
        self.owned = 0
        self.owners.see(self.protocol.own(), now_s)

    def receive(self) -> None:
        """Take the datagrams that wait."""
        receive_waiting(self.datagrams, self.protocol, time.monotonic)
        self._deliver()

    def accept(self) -> socket.socket | None:
        """Take a waiting connection."""
        try:
            connection, _ = self.stream.accept()
        except OSError:
            return None
        connection.settimeout(SERVE_TIMEOUT_S)
        return connection

    def begin_due_work(self, now_s: float) -> None:
        """Do what is due on the loop, and hand to the shared threads what waits for peers."""
        if now_s >= self.protocol.next_wake_s:
            self.protocol.tick(now_s)
            self._deliver()
        if not self._stepping and (self.configuration.take_wake() or now_s >= self._next_step_s):
            self._stepping = True
            self._threads.requests.submit(self._step)
        if not self._exchanging:
            self._begin_exchange(now_s)
        if now_s >= self._next_ownership_s:
            self.transport.close_idle(now_s)
            self._next_ownership_s = now_s + OWNERSHIP_PERIOD_S
            self.owned = len(self.owners.owned(self._workers, now_s))

    def view(self) -> View:
        """Return what this node sees."""
        names = sorted(member.node for member in self.protocol.members())
        digest = xxhash.xxh32_intdigest("\n".join(names).encode())
        snapshot = self.configuration.state.current()
        revision = snapshot.revision if snapshot.machines_revision else 0
        return View(len(names), digest, revision)

    def close(self) -> None:
        """End the node without a word to others."""
        self.running = False
        self.transport.close()
        self.stream.close()
        self.datagrams.close()

    def _deliver(self) -> None:
        now_s = time.monotonic()
        for member in self.protocol.take_changes():
            self.states.append(StateSeen(now_s, self.spec.name, member.node, member.state.value))
            for listener in self.membership.listeners:
                listener(member)

    def _begin_exchange(self, now_s: float) -> None:
        address = self.protocol.wants_exchange_with()
        if address is None and now_s >= self._next_exchange_s:
            address = self.protocol.partner_address(now_s)
        if address is None:
            return
        self._exchanging = True
        age_s = now_s - self._started_s
        pause_s = exchange_pause_s(self._settings.exchange_period_s, age_s)
        self._next_exchange_s = now_s + pause_s
        self._threads.requests.submit(self._exchange, address)

    def _exchange(self, address: str) -> None:
        try:
            exchange_with(address, self.transport, self.protocol, time.monotonic)
        finally:
            self._exchanging = False

    def _step(self) -> None:
        delay_s = 1.0
        try:
            if self.running:
                delay_s = self.configuration.step()
        finally:
            self._next_step_s = time.monotonic() + delay_s
            self._stepping = False

    def _on_configuration(self, snapshot: ConfigurationSnapshot) -> None:
        self.revisions.append(RevisionSeen(time.monotonic(), self.spec.name, snapshot.revision))
        self.owners.take_snapshot(snapshot)
        self._workers = tuple(snapshot.machines)


def _own_record(spec: NodeSpec, address: str) -> MemberRecord:
    return MemberRecord(
        node=spec.name,
        peer_address=address,
        gateway_address=address,
        zone=spec.zone,
        region=spec.region,
        has_data_folder=False,
        leaving=False,
        status=MemberStatus.ALIVE,
        incarnation=int(time.time() * 1000),
    )
