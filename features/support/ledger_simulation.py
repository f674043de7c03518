"""Ledger nodes on a simulated network, clock and disks, driven from one thread: deterministic."""

import random
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from features.support.ledger_nodes import ItemList
from features.support.memory_store import MemoryStore
from returns.result import Failure, Result, Success

from bellweir.kernel.clock import ManualClock
from bellweir.ledger.entries import Entry, ReplicaId
from bellweir.ledger.journal import (
    AppendEntries,
    ForgetShard,
    Journal,
    Operation,
    SaveSnapshot,
    SaveTerm,
    StoredShard,
    TruncateLog,
)
from bellweir.ledger.keeper import PlacementKeeper
from bellweir.ledger.node import LedgerNode, NodeTiming
from bellweir.ledger.placement import PlacementStore
from bellweir.ledger.store_sync import StoreSync
from bellweir.membership.interface import Member, Membership, MemberState
from bellweir.settings.models import LedgerSettings
from bellweir.wire.interface import Message, Sender, Transport, WireError, WireErrorKind

SHARD = 0
STEP_S = 0.05
ELECTION_TIMEOUT_S = 0.5
SETTINGS = LedgerSettings(
    shards=1,
    heartbeat_s=0.05,
    election_timeout_s=ELECTION_TIMEOUT_S,
    snapshot_entries=16,
    creation_wait_s=0.0,
    replace_after_s=20.0,
)


@dataclass
class Disk:
    """What a node's journal made durable."""

    name: str
    shards: dict[int, StoredShard] = field(default_factory=dict)

    def write(self, operation: Operation) -> None:
        shard = operation.shard
        held = self.shards.get(shard, StoredShard(shard, 1, 0, None, None, ()))
        match operation:
            case AppendEntries(_, entries):
                behind = held.entries[-1].index if held.entries else _snapshot_index(held)
                assert entries[0].index == behind + 1, "the journal would have a gap"
                self.shards[shard] = _with(held, entries=(*held.entries, *entries))
            case SaveTerm(_, generation, term, voted_for):
                self.shards[shard] = _with(
                    held, generation=generation, term=term, voted_for=voted_for
                )
            case SaveSnapshot(_, snapshot):
                kept = tuple(one for one in held.entries if one.index > snapshot.index)
                self.shards[shard] = _with(held, snapshot=snapshot, entries=kept)
            case TruncateLog(_, from_index):
                self.shards[shard] = _with(held, entries=_before(held.entries, from_index))
            case ForgetShard(_):
                self.shards.pop(shard, None)


def _before(entries: Sequence[Entry], index: int) -> tuple[Entry, ...]:
    return tuple(one for one in entries if one.index < index)


def _snapshot_index(held: StoredShard) -> int:
    return held.snapshot.index if held.snapshot else 0


def _with(held: StoredShard, **changes: Any) -> StoredShard:
    return StoredShard(**{**held.__dict__, **changes})


class SimulatedJournal(Journal):
    def __init__(self, disk: Disk) -> None:
        super().__init__()
        self._held = disk

    @property
    def disk(self) -> str:
        return self._held.name

    def load(self) -> tuple[StoredShard, ...]:
        return tuple(self._held.shards.values())

    def _release(self) -> None: ...

    def _write(self, operations: Sequence[Operation]) -> None:
        for operation in operations:
            self._held.write(operation)


@dataclass
class Weather:
    """Chances of what happens to a message, each in 0..1."""

    drop: float = 0.0
    lose_answer: float = 0.0
    delay: float = 0.0
    duplicate: float = 0.0


class SimulatedTransport(Transport):
    def __init__(self, simulation: "Simulation", node: str) -> None:
        self._simulation = simulation
        self._node = node
        self.handlers: dict[type[Message], Any] = {}

    def register(self, message_type: type[Any], handler: Any) -> None:
        self.handlers[message_type] = handler

    def request(
        self, address: str, message: Message, timeout_s: float
    ) -> Result[Message, WireError]:
        return self._simulation.request(self._node, address, message)

    def send(self, address: str, message: Message) -> bool:
        self._simulation.send(self._node, address, message)
        return True


class SimulatedMembership(Membership):
    def __init__(self, simulation: "Simulation", node: str) -> None:
        self._simulation = simulation
        self._node = node

    def _member(self, node: str) -> Member:
        state = self._simulation.state_of(node)
        return Member(node, node, node, f"zone-{node}", "region", True, state, 1)

    def self_member(self) -> Member:
        return self._member(self._node)

    def members(self) -> tuple[Member, ...]:
        return tuple(self._member(node) for node in self._simulation.names)

    def member(self, node: str) -> Member | None:
        return self._member(node) if node in self._simulation.names else None

    def subscribe(self, listener: Any) -> None: ...
    def announce_leaving(self) -> None: ...


@dataclass
class SimulatedNode:
    node: LedgerNode
    keeper: PlacementKeeper
    store: StoreSync
    transport: SimulatedTransport


class Simulation:
    """A cluster whose every step, message and fault is drawn from one seeded generator."""

    def __init__(
        self,
        names: Sequence[str],
        seed: int,
        snapshot_entries: int = 8,
        started: Sequence[str] | None = None,
        timing: LedgerSettings = SETTINGS,
    ) -> None:
        """Nodes of `names` that are not among `started` may be started later."""
        self._snapshot_entries = snapshot_entries
        self._timing = timing
        self.names = tuple(names)
        self.random = random.Random(seed)
        # Threads of other scenarios may draw from the global generator meanwhile.
        self._keepers_random = random.Random(seed)
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.weather = Weather()
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.nodes: dict[str, SimulatedNode] = {}
        self.in_flight: list[tuple[str, str, Message]] = []
        self._folder = tempfile.TemporaryDirectory(prefix="ledger-simulation-")
        self._disks_made = 0
        self.disks = {name: self.new_disk(name) for name in names}
        for name in names if started is None else started:
            self.start(name)

    def close(self) -> None:
        self._folder.cleanup()

    def new_disk(self, name: str) -> Disk:
        self._disks_made += 1
        placement = Path(self._folder.name) / name
        for file in placement.glob("*") if placement.exists() else ():
            file.unlink()
        return Disk(f"disk-{self._disks_made}")

    # --- nodes --------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        transport = SimulatedTransport(self, name)
        node = LedgerNode(
            name,
            SimulatedJournal(self.disks[name]),
            [ItemList],
            transport,
            lambda other: other,
            self.clock,
            NodeTiming(
                self._timing.election_timeout_s,
                self._timing.election_timeout_s,
                self._snapshot_entries,
            ),
        )
        node.load()
        folder = Path(self._folder.name) / name
        folder.mkdir(exist_ok=True)
        keeper = PlacementKeeper(
            node,
            SimulatedMembership(self, name),
            transport,
            self.clock,
            folder,
            self._timing,
            has_store=True,
            generator=self._keepers_random,
        )
        sync = StoreSync(
            node,
            keeper,
            PlacementStore(self.store),
            self.clock,
            generator=self._keepers_random,
        )
        node.register_handlers()
        self.nodes[name] = SimulatedNode(node, keeper, sync, transport)

    def kill(self, name: str) -> None:
        """End a process; what its journal had not made durable is gone."""
        self.nodes.pop(name, None)
        self.paused.discard(name)

    def leaders(self) -> list[LedgerNode]:
        found = []
        for running in self.nodes.values():
            replica = running.node.replica(SHARD)
            if replica is not None and replica.leader == running.node.own:
                found.append(running.node)
        return found

    def state_of(self, name: str) -> MemberState:
        """State of a node in the other nodes' membership."""
        return MemberState.ALIVE if name in self.nodes else MemberState.SUSPECT

    def has_disk(self, replica: ReplicaId) -> bool:
        return self.disks[replica.node].name == replica.disk

    # --- messages -----------------------------------------------------------------------------

    def _reaches(self, origin: str, target: str) -> bool:
        return frozenset((origin, target)) not in self.cut and target in self.nodes

    def _happens(self, chance: float) -> bool:
        return self.random.random() < chance

    def request(self, origin: str, target: str, message: Message) -> Result[Message, WireError]:
        if not self._reaches(origin, target):
            return Failure(WireError(WireErrorKind.NOT_SENT, "cut"))
        lost = Failure(WireError(WireErrorKind.NO_ANSWER, "lost"))
        if target in self.paused or self._happens(self.weather.delay):
            self.in_flight.append((origin, target, message))
            return lost
        if self._happens(self.weather.drop):
            return lost
        if self._happens(self.weather.duplicate):
            self.in_flight.append((origin, target, message))
        answer = self._handle(origin, target, message)
        if answer is None or self._happens(self.weather.lose_answer):
            return lost
        return Success(answer)

    def send(self, origin: str, target: str, message: Message) -> None:
        if self._reaches(origin, target) and not self._happens(self.weather.drop):
            self.in_flight.append((origin, target, message))
            if self._happens(self.weather.duplicate):
                self.in_flight.append((origin, target, message))

    def _handle(self, origin: str, target: str, message: Message) -> Message | None:
        handler = self.nodes[target].transport.handlers.get(type(message))
        answer: Message | None = handler(Sender(origin, origin), message) if handler else None
        return answer

    def deliver_some(self) -> None:
        """Deliver messages in flight, in any order; some stay for later."""
        waiting, self.in_flight = self.in_flight, []
        self.random.shuffle(waiting)
        for origin, target, message in waiting:
            held = target in self.paused or self._happens(self.weather.delay)
            if held and target in self.nodes:
                self.in_flight.append((origin, target, message))
            elif self._reaches(origin, target):
                self._handle(origin, target, message)

    # --- time ---------------------------------------------------------------------------------

    def step(self) -> None:
        """Move the clock a little and let every running node do its tasks' work once."""
        self.clock.advance(STEP_S)
        self.deliver_some()
        for name in self.random.sample(self.names, len(self.names)):
            running = self.nodes.get(name)
            if running is None or name in self.paused:
                continue
            self._work(running)

    def _work(self, running: SimulatedNode) -> None:
        """Each task once, in any order: a node that was paused may wake in any of them."""
        node = running.node
        work = [node.tick, node.compact]
        work += [partial(node.replicate, peer) for peer in sorted(node.peers())]
        if self._happens(0.6):
            work.append(node.flush)
        if self.keeps_now(running):
            work += [partial(self.keep, running), running.store.step]
        self.random.shuffle(work)
        for task in work:
            task()

    def keeps_now(self, running: SimulatedNode) -> bool:
        """Whether a node looks after its placement in this step."""
        return self._happens(0.2)

    def keep(self, running: SimulatedNode) -> None:
        """Have a node look after its placement."""
        running.keeper.step()

    def heal(self) -> None:
        """End every fault, and start what was killed."""
        self.weather = Weather()
        self.cut.clear()
        self.paused.clear()
        self.start_stopped()

    def start_stopped(self) -> None:
        """Start every node that was killed."""
        for name in self.names:
            if name not in self.nodes:
                self.start(name)
