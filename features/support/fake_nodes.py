"""Stand-ins for transport, membership and ownership between nodes of one test."""

import threading
from collections.abc import Callable
from dataclasses import replace

import xxhash
from returns.result import Failure, Result, Success

from bellweir.kernel import names
from bellweir.membership.interface import (
    Member,
    Membership,
    MembershipListener,
    MemberState,
    Ownership,
)
from bellweir.wire.interface import (
    AnyMessage,
    Handler,
    Message,
    Sender,
    Transport,
    WireError,
    WireErrorKind,
)
from support.fake_services import Idle
from support.memory_ledger import over_the_wire

CUT = WireError(WireErrorKind.NO_ANSWER, "cut by the test")


class Network:
    """Nodes by address; a node's address is its name."""

    def __init__(self) -> None:
        self.nodes: dict[str, FakeTransport] = {}
        self.lock = threading.Lock()
        self.is_cut: Callable[[str, str], bool] = lambda _sender, _receiver: False
        self.sent = 0


class FakeTransport(Idle, Transport):
    """Hands messages over at once, encoded and decoded as on the wire."""

    name = names.TRANSPORT

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node
        self._handlers: dict[type[Message], Handler] = {}
        network.nodes[node] = self

    def register(self, message_type: type[AnyMessage], handler: Handler) -> None:
        self._handlers[message_type] = handler

    def request(self, address: str, message: Message, timeout_s: float) -> Result:
        self._network.sent += 1
        receiver = self._network.nodes.get(address)
        if receiver is None or self._network.is_cut(self._node, address):
            return Failure(CUT)
        handler = receiver._handlers.get(type(message))
        if handler is None:
            return Failure(WireError(WireErrorKind.REFUSED, "no handler"))
        answer = handler(Sender(self._node, self._node), over_the_wire(message))
        if self._network.is_cut(address, self._node):
            return Failure(CUT)
        return Success(over_the_wire(answer))

    def send(self, address: str, message: Message) -> bool:
        return isinstance(self.request(address, message, 1.0), Success)


def member(node: str) -> Member:
    return Member(node, node, node, "zone-1", "region-1", True, MemberState.ALIVE, 0)


class FakeMembership(Idle, Membership):
    """A fixed list of members that the test may change."""

    name = names.MEMBERSHIP

    def __init__(self, node: str, alive: list[str], leaving: set[str] | None = None) -> None:
        self._node = node
        self._alive = alive
        self._leaving = leaving if leaving is not None else set()

    def _member(self, node: str) -> Member:
        state = MemberState.LEAVING if node in self._leaving else MemberState.ALIVE
        return replace(member(node), state=state)

    def self_member(self) -> Member:
        return member(self._node)

    def members(self) -> tuple[Member, ...]:
        return tuple(self._member(node) for node in sorted(self._alive))

    def member(self, node: str) -> Member | None:
        return self._member(node) if node in self._alive else None

    def subscribe(self, listener: MembershipListener) -> None:
        pass

    def announce_leaving(self) -> None:
        pass


class FakeOwnership(Idle, Ownership):
    """Rendezvous hash over the members; `also` makes this node believe it owns a worker too."""

    name = names.OWNERSHIP

    def __init__(self, node: str, alive: list[str]) -> None:
        self._node = node
        self._alive = alive
        self.also: set[str] = set()

    def owner_of(self, worker: str) -> Member:
        return member(
            max(self._alive, key=lambda n: xxhash.xxh64_intdigest(f"{n}/{worker}".encode()))
        )

    def owns(self, worker: str) -> bool:
        return worker in self.also or self.owner_of(worker).node == self._node
