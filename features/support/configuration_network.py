"""Nodes that consist of a configuration core, joined by a network that a test rules over."""

import random
import threading
from collections import deque
from dataclasses import dataclass, field

from returns.result import Failure, Success

from bellweir.configuration import placement
from bellweir.configuration.core import ConfigurationCore
from bellweir.configuration.machine_reader import MachineListReader
from bellweir.configuration.reader import StoreReader
from bellweir.kernel.clock import ManualClock
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.settings.models import ConfigurationSettings
from bellweir.wire.codec import MessageCodec
from bellweir.wire.frames import decode_plain, encode_plain
from bellweir.wire.interface import Sender, Transport, WireError, WireErrorKind


@dataclass
class Queued:
    source: str
    target: str
    message: object
    size: int


@dataclass
class MemoryNetwork:
    """One-way messages wait until a test delivers them; requests are answered at once."""

    transports: dict[str, "MemoryTransport"] = field(default_factory=dict)
    queue: deque = field(default_factory=deque)
    cut: set = field(default_factory=set)
    codec: MessageCodec = field(default_factory=MessageCodec)
    largest: int = 0

    def connected(self, source, target):
        return target in self.transports and frozenset((source, target)) not in self.cut

    def over_the_wire(self, message):
        encoded = encode_plain(self.codec.to_plain(message))
        self.largest = max(self.largest, len(encoded))
        return self.codec.from_plain(decode_plain(encoded))

    def size_of(self, message):
        return len(encode_plain(self.codec.to_plain(message)))

    def handle(self, source, target, message):
        handlers = self.transports[target].handlers
        return handlers[type(message)](Sender(source, source), message)

    def deliver(self, index=0):
        self.queue.rotate(-index)
        queued = self.queue.popleft()
        self.queue.rotate(index)
        if self.connected(queued.source, queued.target):
            self.handle(queued.source, queued.target, queued.message)

    def deliver_all(self):
        while self.queue:
            self.deliver()


class MemoryTransport(Transport):
    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}
        network.transports[address] = self

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def request(self, address, message, timeout_s):
        if not self.network.connected(self.address, address):
            return Failure(WireError(WireErrorKind.NOT_SENT, "cut"))
        answer = self.network.handle(self.address, address, self.network.over_the_wire(message))
        return Success(self.network.over_the_wire(answer))

    def send(self, address, message):
        carried = self.network.over_the_wire(message)
        size = self.network.size_of(message)
        self.network.queue.append(Queued(self.address, address, carried, size))
        return True


class ListedMembership(Membership):
    """Membership that is told who is there."""

    def __init__(self, own, everyone):
        self.own = own
        self.everyone = everyone
        self.listeners = []
        self.fixed = None
        """All members, where they do not change: spares large clusters the sorting."""

    def self_member(self):
        return self.own

    def members(self):
        if self.fixed is not None:
            return self.fixed
        return tuple(self.everyone[name] for name in sorted(self.everyone))

    def member(self, node):
        return self.everyone.get(node)

    def subscribe(self, listener):
        self.listeners.append(listener)

    def announce_leaving(self):
        raise NotImplementedError


def member(name, zone, region="region-1", state=MemberState.ALIVE):
    return Member(name, name, f"{name}:http", zone, region, False, state, 0)


class ConfigurationNode:
    """A core and, when it is its zone's reader, a store reader, stepped by a test."""

    def __init__(self, own, everyone, network, store, seed=0, fanout=2):
        self.clock = ManualClock()
        self.own = own
        self.everyone = everyone
        self.transport = MemoryTransport(network, own.peer_address)
        self.membership = ListedMembership(own, everyone)
        self.core = ConfigurationCore(
            self.transport,
            self.membership,
            self.clock,
            ConfigurationSettings(fanout=fanout),
            random.Random(f"{own.node}{seed}"),
        )
        self.core.register_handlers()
        self.reader = StoreReader(
            own.node, own.zone, store, self.core.state, self.clock, lambda: True
        )
        self.machines = MachineListReader(
            own.node, None, self.core.state, self.clock, lambda: True, lambda: 1.0
        )
        self.seen = []
        self.core.subscribe(lambda snapshot: self.seen.append(snapshot.revision))

    @property
    def revision(self):
        return self.core.state.positions()[0].revision

    def is_reader(self):
        reader = placement.reader_of(self.everyone.values(), self.own.zone)
        return reader is not None and reader.node == self.own.node

    def read(self):
        if self.is_reader():
            self.reader.read_once(threading.Event())

    def take_machines(self, snapshot):
        self.machines._take_over(snapshot)

    def step(self):
        self.clock.advance(2.0)
        self.core.step()

    def names_in_force(self):
        """Names and models of the policies in force."""
        policies = self.core.state.current().policies
        return {name: policy.spec.model for name, policy in policies.items()}
