"""The replicas of one node: what its tasks do at each step, and its messages' handlers.

The service's tasks call `tick`, `flush` and `replicate`; the transport calls the handlers. Tests
call the same methods from one thread over a simulated network, so that a run is deterministic.
"""

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from contextlib import suppress
from dataclasses import dataclass

from returns.result import Failure

from bellweir.events.log import emit
from bellweir.kernel.clock import Clock
from bellweir.ledger.applier import Applier
from bellweir.ledger.entries import EntryKind, ReplicaId, ReplicaSet
from bellweir.ledger.interface import LedgerError, LedgerErrorKind, Query, StateMachine
from bellweir.ledger.journal import (
    ForgetShard,
    Journal,
    JournalClosedError,
    JournalFailedError,
    SaveSnapshot,
    SaveTerm,
    StoredShard,
    StoredSnapshot,
)
from bellweir.ledger.leadership import OutcomeFuture
from bellweir.ledger.log_events import SHARD_FORGOTTEN, SNAPSHOT_INSTALLED
from bellweir.ledger.machines import Codec, ShardMachines
from bellweir.ledger.messages import (
    AppendAnswer,
    AppendRequest,
    ElectNow,
    ShardAppended,
    SnapshotAnswer,
    SnapshotPart,
    VoteAnswer,
    VoteRequest,
)
from bellweir.ledger.replica import Replica
from bellweir.ledger.replica_state import ReplicaTiming
from bellweir.ledger.replicator import Replicator
from bellweir.ledger.snapshots import MAXIMUM_SNAPSHOT_BYTES, IncomingSnapshot
from bellweir.wire.interface import FIRST_LEVEL, Sender, Transport

AddressOf = Callable[[str], str | None]
"""Peer address of a node by its name, as far as membership knows it."""


@dataclass(frozen=True)
class NodeTiming:
    """Times and sizes of a node's replicas."""

    election_timeout_s: float
    request_timeout_s: float
    snapshot_entries: int


class LedgerNode:
    """All replicas of the node `name`."""

    def __init__(
        self,
        name: str,
        journal: Journal,
        machine_types: Iterable[type[StateMachine]],
        transport: Transport,
        address_of: AddressOf,
        clock: Clock,
        timing: NodeTiming,
    ) -> None:
        self.name = name
        self.codec = Codec(machine_types)
        self._machine_types = tuple(machine_types)
        self._journal = journal
        self._transport = transport
        self._address_of = address_of
        self._clock = clock
        self._timing = timing
        self._lock = threading.Lock()
        # Held over the journal's write on purpose: making a replica is rare, and a second maker
        # must find the first one's replica durable.
        self._making = threading.Lock()
        self._replicas: dict[int, Replica] = {}
        self._replicator = Replicator(
            transport, clock, timing.request_timeout_s, self.replica, self.forget
        )
        self._incoming: dict[int, IncomingSnapshot] = {}
        self.wake: Callable[[], None] = lambda: None
        """Called after a proposal or query, so that the tasks need not wait for their period."""
        self.elected: Callable[[], None] = lambda: None
        """Called when a replica may have become leader, so that it is known at once."""

    # --- life ---------------------------------------------------------------------------------

    def load(self) -> None:
        """Read the journal and bring back its replicas."""
        stored = self._journal.load()
        self._replicas = {found.shard: self._make_replica(found.shard, found) for found in stored}

    def register_handlers(self) -> None:
        """Register the handlers of all messages with the transport."""
        self._transport.register(AppendRequest, self.handle_append_request)
        self._transport.register(VoteRequest, self.handle_vote_request)
        self._transport.register(VoteAnswer, self.handle_vote_answer)
        self._transport.register(SnapshotPart, self.handle_snapshot_part)
        self._transport.register(ElectNow, self.handle_elect_now)

    @property
    def own(self) -> ReplicaId:
        """Identity of this node's replicas."""
        return ReplicaId(self.name, self._journal.disk)

    def replica(self, shard: int) -> Replica | None:
        """The replica of a shard here; None when there is none."""
        return self._replicas.get(shard)

    def replicas(self) -> tuple[Replica, ...]:
        """All replicas of this node."""
        return tuple(self._replicas.values())

    def create(self, shard: int, replicas: ReplicaSet) -> None:
        """Create a first replica of a new shard, with an empty state.

        Only for an identity that the shard's first placement names and that never held it.
        """
        with self._making:
            if shard in self._replicas:
                return
            state = ShardMachines(self._machine_types).save()
            snapshot = StoredSnapshot(0, 0, replicas, state)
            self._journal.buffer(SaveTerm(shard, 1, 0, None))
            self._journal.sync(self._journal.buffer(SaveSnapshot(shard, snapshot)))
            stored = StoredShard(shard, 1, 0, None, snapshot, ())
            self._add(self._make_replica(shard, stored))

    def _make_replica(self, shard: int, stored: StoredShard | None) -> Replica:
        applier = Applier(shard, self.codec, self._machine_types)
        timing = ReplicaTiming(self._timing.election_timeout_s, self._timing.snapshot_entries)
        now_s = self._clock.monotonic_s()
        return Replica(
            shard,
            self.own,
            self._journal,
            applier,
            timing,
            self._replicator.newest_round,
            now_s,
            stored,
        )

    def _add(self, replica: Replica) -> None:
        # Replaced, not changed, so that readers need no lock.
        self._replicas = self._replicas | {replica.shard: replica}

    # --- callers ------------------------------------------------------------------------------

    def propose(self, shard: int, payload: bytes) -> OutcomeFuture | None:
        """Append a command as the leader of its shard; None when not leading."""
        replica = self._replicas.get(shard)
        if replica is not None and not self._all_know(replica, self.codec.level_of(payload)):
            return _not_known_by_all()
        future = replica.propose(EntryKind.COMMAND, payload) if replica else None
        if future is not None:
            self.wake()
        return future

    def _all_know(self, replica: Replica, level: int) -> bool:
        """Whether the builds of all of a shard's replicas are known to be of a level."""
        if level == FIRST_LEVEL or replica.leader != self.own:
            return True
        others = {other.node for other in replica.log.replicas.everyone} - {self.name}
        addresses = [self._address_of(node) for node in others]
        levels = [self._transport.peer_level(one) if one else None for one in addresses]
        return all(known is not None and known >= level for known in levels)

    def read(self, shard: int, query: Query) -> OutcomeFuture | None:
        """Answer a query as the leader of its shard; None when not leading."""
        replica = self._replicas.get(shard)
        future = replica.read(query) if replica else None
        if future is not None:
            self.wake()
        return future

    # --- steps of the tasks -------------------------------------------------------------------

    def tick(self) -> None:
        """Start the elections that are due; resign where no majority answers."""
        for replica in self.replicas():
            self._send_votes(replica.tick(self._clock.monotonic_s()))

    def flush(self) -> None:
        """Make everything buffered durable and count it for the shards led here."""
        ticket = self._journal.sync()
        for replica in self.replicas():
            replica.note_durable(ticket)

    def compact(self) -> None:
        """Take the snapshots that are due."""
        for replica in self.replicas():
            replica.compact_when_due()

    def peers(self) -> frozenset[str]:
        """Nodes that hold replicas of the shards led here."""
        led = [replica for replica in self.replicas() if replica.leader == self.own]
        return frozenset(
            other.node for replica in led for other in replica.log.replicas.everyone
        ) - {self.name}

    def has_news(self, peer: str) -> bool:
        """Whether there is something to send to a peer before its next heartbeat."""
        return any(replica.has_news_for(target) for replica, target in self._led_on(peer))

    def replicate(self, peer: str, *, heartbeat: bool = True) -> bool:
        """Send a peer what it lacks, and heartbeats of the other shards if they are due.

        Returns False when it did not answer.
        """
        address = self._address_of(peer)
        if address is None:
            return False
        led = self._led_on(peer)
        if not heartbeat:
            led = [(replica, target) for replica, target in led if replica.has_news_for(target)]
        return self._replicator.send(address, led)

    def stop_standing(self) -> None:
        """Win no election from now on; the node leaves."""
        for replica in self.replicas():
            replica.stands = False

    def hand_over(self, replica: Replica, able: Callable[[str], bool]) -> bool:
        """Ask a follower on an `able` node to take over; False when there is nobody to ask."""
        others = [one for one in replica.log.replicas.voters if one != self.own]
        if not any(able(one.node) for one in others):
            return False
        message = replica.hand_over(able, self._clock.monotonic_s())
        address = self._address_of(message.target.node) if message else None
        if message is not None and address is not None:
            self._transport.send(address, message)
        return True

    def _led_on(self, peer: str) -> list[tuple[Replica, ReplicaId]]:
        return [
            (replica, target)
            for replica in self.replicas()
            if replica.leader == self.own
            for target in replica.log.replicas.everyone
            if target.node == peer and target != self.own
        ]

    def _send_votes(self, requests: list[VoteRequest]) -> None:
        if not requests:
            return
        # The candidate's own term and vote must be durable before anybody hears of them.
        try:
            self._journal.sync()
        except (JournalClosedError, JournalFailedError):
            return
        for request in requests:
            address = self._address_of(request.voter.node)
            if address is not None:
                self._transport.send(address, request)

    # --- handlers -----------------------------------------------------------------------------

    def handle_append_request(self, sender: Sender, request: AppendRequest) -> AppendAnswer:
        """Take every shard's part; one sync for all of them, before the answer."""
        parts: list[ShardAppended] = []
        ticket = 0
        for part in request.parts:
            replica = self._replica_for(part.shard, part.generation, request.target)
            if replica is None:
                continue
            if replica.generation > part.generation:
                parts.append(ShardAppended(part.shard, replica.generation, 0, False, 0))
                continue
            answered = replica.handle_append(part, request.leader, self._clock.monotonic_s())
            parts.append(answered.part)
            ticket = max(ticket, answered.ticket)
        try:
            self._journal.sync(ticket)
        except JournalClosedError:
            # This node stops: it acknowledges nothing any more.
            return AppendAnswer(self.own, ())
        return AppendAnswer(self.own, tuple(parts))

    def handle_vote_request(self, sender: Sender, request: VoteRequest) -> None:
        """Vote, durably, and answer."""
        replica = self._replicas.get(request.shard)
        if replica is None:
            return
        answer = replica.handle_vote_request(request, self._clock.monotonic_s())
        if answer is None:
            return
        with suppress(JournalClosedError):
            self._journal.sync()
            self._transport.send(sender.address, answer)

    def handle_vote_answer(self, sender: Sender, answer: VoteAnswer) -> None:
        """Count a vote."""
        replica = self._replicas.get(answer.shard)
        if replica is not None:
            self._send_votes(replica.handle_vote_answer(answer, self._clock.monotonic_s()))
            if replica.leader == self.own:
                self.elected()

    def handle_elect_now(self, sender: Sender, message: ElectNow) -> None:
        """Take over the leadership."""
        replica = self._replicas.get(message.shard)
        if replica is not None:
            self._send_votes(replica.handle_elect_now(message, self._clock.monotonic_s()))

    def handle_snapshot_part(self, sender: Sender, part: SnapshotPart) -> SnapshotAnswer | None:
        """Take a part of a snapshot; install it with its last part."""
        replica = self._replica_for(part.shard, part.generation, part.target)
        if replica is None or replica.generation != part.generation:
            return SnapshotAnswer(0, False, 0)
        if part.term < replica.term or part.total_bytes > MAXIMUM_SNAPSHOT_BYTES:
            return SnapshotAnswer(replica.term, False, 0)
        if replica.commit_index >= part.index:
            # Its last part came before, and the answer was late: it need not be sent anew.
            return self._installed_before(replica, part)
        with self._lock:
            incoming = self._incoming.get(part.shard)
            if incoming is None or not incoming.fits(part):
                incoming = IncomingSnapshot(part.leader, part.term, part.index)
                self._incoming[part.shard] = incoming
            incoming.add(part)
            if not incoming.is_complete(part):
                return SnapshotAnswer(replica.term, True, len(incoming.state))
            del self._incoming[part.shard]
        return self._install(replica, part, bytes(incoming.state))

    def _installed_before(self, replica: Replica, part: SnapshotPart) -> SnapshotAnswer:
        # What is committed in memory may still be on its way to the disk, and the leader counts on
        # the disk.
        try:
            self._journal.sync()
        except JournalClosedError:
            return SnapshotAnswer(0, False, 0)
        return SnapshotAnswer(replica.term, True, part.total_bytes)

    def _install(self, replica: Replica, part: SnapshotPart, state: bytes) -> SnapshotAnswer:
        snapshot = StoredSnapshot(part.index, part.index_term, part.replicas, state)
        now_s = self._clock.monotonic_s()
        ticket = replica.install_snapshot(snapshot, part.term, part.leader, now_s)
        if ticket is None:
            return SnapshotAnswer(replica.term, False, 0)
        try:
            self._journal.sync(ticket)
        except JournalClosedError:
            return SnapshotAnswer(0, False, 0)
        emit(SNAPSHOT_INSTALLED, shard=part.shard, index=part.index)
        return SnapshotAnswer(replica.term, True, part.total_bytes)

    def _replica_for(self, shard: int, generation: int, target: ReplicaId) -> Replica | None:
        """The replica a leader means; made empty, as a learner, when there is none yet."""
        if target != self.own:
            return None
        replica = self._replicas.get(shard)
        if replica is None or replica.generation < generation:
            replica = self._start_empty(shard, generation)
        return replica

    def _start_empty(self, shard: int, generation: int) -> Replica:
        with self._making:
            replica = self._replicas.get(shard)
            if replica is not None and replica.generation >= generation:
                return replica
            self._journal.buffer(ForgetShard(shard))
            self._journal.sync(self._journal.buffer(SaveTerm(shard, generation, 0, None)))
            stored = StoredShard(shard, generation, 0, None, None, ())
            replica = self._make_replica(shard, stored)
            self._add(replica)
            return replica

    def forget(self, replica: Replica, generation: int) -> None:
        """Drop a replica whose shard was recovered without it; it rejoins as a learner."""
        emit(SHARD_FORGOTTEN, shard=replica.shard, generation=generation)
        self._start_empty(replica.shard, generation)


def _not_known_by_all() -> OutcomeFuture:
    """The outcome of a command that a replica's build may not know."""
    refused: OutcomeFuture = Future()
    detail = "not every replica is known to be of a build that can apply it"
    refused.set_result(Failure(LedgerError(LedgerErrorKind.UNAVAILABLE, detail)))
    return refused
