"""Membership nodes on a simulated network and clock: every run is the same."""

import itertools
import random

from returns.result import Failure, Success

from bellweir.membership.exchange import exchange_pause_s, exchange_with, register_handlers
from bellweir.membership.interface import MemberState
from bellweir.membership.node import MembershipNode
from bellweir.membership.records import MemberRecord, MemberStatus
from bellweir.settings.models import MembershipSettings
from bellweir.wire.faults import NetworkFaults, Place
from bellweir.wire.interface import Sender, Transport, WireError, WireErrorKind
from bellweir.wire.keys import ClusterKeys

STEP_S = 0.1
START_WALL_S = 1_000.0


class SimulatedNode(Transport):
    """One process: its membership, and a transport that calls the peer directly."""

    def __init__(self, network: "SimulatedNetwork", name: str, address: str, seeds) -> None:
        self.network, self.name, self.address = network, name, address
        self.alive, self.paused, self.leaving = True, False, False
        self.inbox = []
        self._handlers = {}
        record = MemberRecord(
            name, address, address, "zone", "region", False, False, MemberStatus.ALIVE,
            int((START_WALL_S + network.now_s) * 1000),
        )  # fmt: skip
        self.settings = MembershipSettings(seeds=seeds)
        self.protocol = MembershipNode(
            record,
            self.settings,
            ClusterKeys([]),
            self,
            NetworkFaults(None, Place(name, address, "zone", "region")),
            network.now_s,
            random.Random(f"{name}{address}"),
        )
        self.started_s = self.next_exchange_s = network.now_s
        register_handlers(self, self.protocol, lambda: network.now_s)

    def sendto(self, data, address):
        self.network.carry(self, f"{address[0]}:{address[1]}", data)
        return len(data)

    def register(self, message_type, handler):
        self._handlers[message_type] = handler

    def request(self, address, message, timeout_s):
        peer = self.network.reach(self, address)
        if peer is None or peer.paused:
            return Failure(WireError(WireErrorKind.NO_ANSWER, "not reached"))
        return Success(peer._handlers[type(message)](Sender(self.name, self.address), message))

    def send(self, address, message):
        peer = self.network.reach(self, address)
        if peer is not None and not peer.paused:
            peer._handlers[type(message)](Sender(self.name, self.address), message)
        return True

    def run(self):
        now_s = self.network.now_s
        waiting, self.inbox = self.inbox, []
        for data, address in waiting:
            self.protocol.receive(data, address, now_s)
        if now_s >= self.protocol.next_wake_s:
            self.protocol.tick(now_s)
        address = self.protocol.wants_exchange_with()
        if address is None and now_s >= self.next_exchange_s:
            address = self.protocol.partner_address(now_s)
        if address is not None:
            pause_s = exchange_pause_s(self.settings.exchange_period_s, now_s - self.started_s)
            self.next_exchange_s = now_s + pause_s
            exchange_with(address, self, self.protocol, lambda: now_s)

    def states(self):
        return {member.node: member.state for member in self.protocol.members()}


class SimulatedNetwork:
    """Delivers within a step, unless the two sides are parted or the datagram is lost."""

    def __init__(self, keep_seeds=True) -> None:
        self._keep_seeds = keep_seeds
        self.now_s = 0.0
        self.loss = 0.0
        self.side = {}
        self.by_address = {}
        self.by_name = {}
        self.chance = random.Random(7)
        self._ports = itertools.count(1)

    def start(self, name, same_address=False):
        before = self.by_name.get(name)
        address = before.address if before and same_address else f"10.0.0.1:{next(self._ports)}"
        seeds = tuple(node.address for node in list(self.by_name.values())[:2])
        node = SimulatedNode(self, name, address, seeds if self._keep_seeds else ())
        self.by_address[address] = self.by_name[name] = node
        if seeds and not self._keep_seeds:
            # Introduced once, as by a seed that is gone afterwards.
            exchange_with(seeds[0], node, node.protocol, lambda: self.now_s)
        return node

    def reach(self, sender, address):
        peer = self.by_address.get(address)
        if peer is None or not peer.alive or not sender.alive:
            return None
        parted = self.side.get(sender.name, 0) != self.side.get(peer.name, 0)
        return None if parted else peer

    def carry(self, sender, address, data):
        peer = self.reach(sender, address)
        if peer is not None and self.chance.random() >= self.loss:
            peer.inbox.append((data, sender.address))

    def live(self):
        return [node for node in self.by_name.values() if node.alive]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for node in self.live():
                if not node.paused:
                    node.run()

    def expected(self):
        return {
            node.name: MemberState.LEAVING if node.leaving else MemberState.ALIVE
            for node in self.live()
        }

    def agrees(self):
        expected = self.expected()
        return all(node.states() == expected for node in self.live())

    def heal_and_wait(self, limit_s):
        """Heal everything and run until all views are right; the simulated seconds taken."""
        self.side, self.loss = {}, 0.0
        for node in self.live():
            node.paused = False
        began_s = self.now_s
        while not self.agrees():
            assert self.now_s - began_s < limit_s, {n.name: n.states() for n in self.live()}
            self.run(1.0)
        return self.now_s - began_s
