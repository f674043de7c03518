"""Ledger nodes over a transport in memory, in one process, with real threads and files."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from features.support.memory_store import MemoryStore
from returns.result import Failure, Result, Success

from bellweir.clients.interface import (
    ObjectStore,
    PlatformClients,
    PlatformError,
    StoredObject,
)
from bellweir.kernel import names
from bellweir.kernel.executors import Executors
from bellweir.kernel.listeners import bind_listeners
from bellweir.kernel.node import Kernel
from bellweir.kernel.service import Service
from bellweir.ledger.claims_service import ClaimsService
from bellweir.ledger.interface import Command, Query, Reply, StateMachine
from bellweir.ledger.segments_service import SegmentsService
from bellweir.ledger.service import LedgerService
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.settings.models import LedgerSettings, NodeIdentity, PlatformSettings, Settings
from bellweir.wire.interface import (
    LEVEL,
    Message,
    Sender,
    Transport,
    WireError,
    WireErrorKind,
)


class AppendItem(Command, frozen=True, tag=True):
    item: int


class ReadItems(Query, frozen=True, tag=True):
    pass


class Items(Reply, frozen=True, tag=True):
    items: tuple[int, ...]


class ItemList(StateMachine):
    """A list; the oracle of the ledger's properties. A command applied twice shows."""

    def __init__(self) -> None:
        self.items: list[int] = []

    def command_types(self) -> tuple[type[Command], ...]:
        return (AppendItem,)

    def query_types(self) -> tuple[type[Query], ...]:
        return (ReadItems,)

    def reply_types(self) -> tuple[type[Reply], ...]:
        return (Items,)

    def apply(self, command: Any) -> Reply:
        self.items.append(command.item)
        return Items(tuple(self.items))

    def answer(self, query: Query) -> Reply:
        return Items(tuple(self.items))

    def save(self) -> bytes:
        return ",".join(map(str, self.items)).encode()

    def load(self, state: bytes) -> None:
        self.items = [int(item) for item in state.decode().split(",") if item]


class HangingStore(MemoryStore):
    """Used by the tasks of many nodes at once, which wait for ever while it hangs."""

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.RLock()
        self.answers = threading.Event()
        """While cleared, every call waits."""
        self.answers.set()

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        self.answers.wait()
        with self._lock:
            return super().get(kind, name)

    def put(
        self, document: Any, expected_version: int | None, mutation_id: str
    ) -> Result[StoredObject, PlatformError]:
        self.answers.wait()
        with self._lock:
            return super().put(document, expected_version, mutation_id)


class MemoryPlatform(Service, PlatformClients):
    name = names.PLATFORM

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def start(self) -> None: ...
    def stop(self) -> None: ...
    def close(self) -> None: ...

    def object_store(self) -> ObjectStore:
        return self._store

    def machine_list(self) -> Any:
        raise NotImplementedError

    def weight_store(self) -> Any:
        raise NotImplementedError

    def engine(self, address: str) -> Any:
        raise NotImplementedError

    def application(self, address: str) -> Any:
        raise NotImplementedError

    def scorer(self, address: str) -> Any:
        raise NotImplementedError


@dataclass
class MemoryNetwork:
    """Who can reach whom; addresses are node names."""

    transports: dict[str, "MemoryTransport"] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    """Nodes that nobody reaches and that reach nobody."""
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    """Pairs of nodes that don't reach each other."""
    delays: dict[str, float] = field(default_factory=dict)
    """Seconds by which one-way messages are late, by the name of their type."""

    levels: dict[str, int] = field(default_factory=dict)
    """Levels of nodes whose builds are not this one."""

    def reaches(self, origin: str, target: str) -> bool:
        is_cut = frozenset((origin, target)) in self.cut_pairs
        is_there = origin not in self.cut and target not in self.cut and target in self.transports
        return is_there and not is_cut


class MemoryTransport(Service, Transport):
    name = names.TRANSPORT

    def __init__(self, node: str, network: MemoryNetwork) -> None:
        self._node = node
        self._network = network
        self.handlers: dict[type[Message], Callable[[Sender, Any], Message | None]] = {}
        self._pool = ThreadPoolExecutor(8, thread_name_prefix=f"memory-{node}")

    def start(self) -> None:
        self._network.transports[self._node] = self

    def stop(self) -> None:
        self._network.transports.pop(self._node, None)
        self._pool.shutdown(wait=True, cancel_futures=True)

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handlers[message_type] = handler

    def handle(self, origin: str, message: Message) -> Message | None:
        return self.handlers[type(message)](Sender(origin, origin), message)

    def handle_late(self, delay_s: float, origin: str, message: Message) -> None:
        threading.Event().wait(delay_s)
        self.handle(origin, message)

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        if not self._network.reaches(self._node, address):
            return Failure(WireError(WireErrorKind.NOT_SENT, "cut"))
        if message.level > self.peer_level(address):
            return Failure(WireError(WireErrorKind.REFUSED, "of a later level"))
        peer = self._network.transports[address]
        if type(message) not in peer.handlers:
            return Failure(WireError(WireErrorKind.REFUSED, "no handler"))
        try:
            answer = peer.handle(self._node, message)
        except Exception as failure:
            # As over a real connection: the peer may have handled it in part.
            return Failure(WireError(WireErrorKind.NO_ANSWER, repr(failure)))
        if not self._network.reaches(self._node, address) or answer is None:
            return Failure(WireError(WireErrorKind.NO_ANSWER, "lost"))
        return Success(answer)

    def peer_level(self, address: str) -> int:
        return self._network.levels.get(address, LEVEL)

    def send(self, address: str, message: Message) -> bool:
        if self._network.reaches(self._node, address):
            peer = self._network.transports[address]
            if type(message) in peer.handlers:
                try:
                    delay_s = self._network.delays.get(type(message).__name__, 0.0)
                    peer._pool.submit(peer.handle_late, delay_s, self._node, message)
                except RuntimeError:
                    return False
        return True


class MemoryMembership(Service, Membership):
    name = names.MEMBERSHIP

    def __init__(self, member: Member, network: MemoryNetwork) -> None:
        self._member = member
        self._network = network

    def start(self) -> None:
        self._network.members[self._member.node] = self._member

    def stop(self) -> None: ...
    def subscribe(self, listener: Any) -> None: ...
    def announce_leaving(self) -> None: ...

    def self_member(self) -> Member:
        return self._network.members[self._member.node]

    def members(self) -> tuple[Member, ...]:
        return tuple(sorted(self._network.members.values(), key=lambda member: member.node))

    def member(self, node: str) -> Member | None:
        return self._network.members.get(node)


class ItemsService(Service):
    """Registers the list as a state machine."""

    name = "items"
    dependencies = (names.LEDGER,)

    def __init__(self, kernel: Kernel, machine: type[ItemList]) -> None:
        self._kernel = kernel
        self._machine = machine

    def start(self) -> None:
        self._kernel.registry.find(names.LEDGER, LedgerService).register(self._machine)

    def stop(self) -> None: ...


class MemoryNode:
    """One node with a ledger and claims."""

    def __init__(
        self,
        name: str,
        folder: Path | None,
        network: MemoryNetwork,
        store: ObjectStore,
        ledger: LedgerSettings,
        machine: type[ItemList] = ItemList,
    ) -> None:
        identity = NodeIdentity(name=name, zone=f"zone-{name}", data_folder=folder)
        settings = Settings(
            node=identity, ledger=ledger, platform=PlatformSettings(object_api="127.0.0.1:1")
        )
        self.name = name
        self.kernel = Kernel(bind_listeners("127.0.0.1", 0, 0), executors=Executors())
        member = Member(
            name, name, name, identity.zone, "region", folder is not None, MemberState.ALIVE, 1
        )
        self.ledger = LedgerService(self.kernel, settings)
        self.claims = ClaimsService(self.kernel, settings)
        self.segments = SegmentsService(self.kernel, settings)
        for service in (
            MemoryTransport(name, network),
            MemoryMembership(member, network),
            MemoryPlatform(store),
            self.ledger,
            self.claims,
            self.segments,
            ItemsService(self.kernel, machine),
        ):
            self.kernel.registry.register(service)
        self.kernel.registry.start()

    def stop(self) -> None:
        self.kernel.registry.stop()
        self.kernel.executors.stop()
        self.kernel.listeners.close()
