"""State of one replica of one shard, and the changes of it that all roles share.

Source of the protocol, for this module and `voting`, `following` and `leading`: D. Ongaro,
"Consensus: Bridging Theory and Practice" (2014): chapters 3 (log), 4 (changes of the replica set,
one replica at a time), 5 (snapshots), 6.4 (reads by read index), 9.6 (pre-vote).

Methods do no I/O: what they change is buffered in the journal, and the caller makes the returned
ticket durable before it sends the returned message. Each public method takes the replica's lock
and completes futures after it has released it.
"""

import random
import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Failure

from bellweir.events.log import emit
from bellweir.ledger.applier import Applier, release
from bellweir.ledger.entries import Entry, EntryKind, ReplicaId, ReplicaSet
from bellweir.ledger.interface import (
    LedgerError,
    LedgerErrorKind,
    Query,
    Reply,
    StateMachine,
)
from bellweir.ledger.journal import (
    AppendEntries,
    Journal,
    SaveSnapshot,
    SaveTerm,
    StoredShard,
    StoredSnapshot,
)
from bellweir.ledger.leadership import Leadership
from bellweir.ledger.log import ReplicatedLog
from bellweir.ledger.log_events import LEADER_RESIGNED, REPLICA_LOADED, SHARD_RECOVERED
from bellweir.ledger.placement import ShardHome

LOG_BYTES = 8 << 20
"""Payloads that the log may hold in memory beside twice the state's size."""
SNAPSHOT_BYTES_PER_ENTRY = 256
"""State that may be saved again for each new entry; see `compact_when_due`."""


class Role(Enum):
    """Role of a replica in its shard."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class ReplicaTiming:
    """Times and sizes of a replica."""

    election_timeout_s: float
    snapshot_entries: int


class ReplicaState:
    """Base of a replica of `shard` with identity `own`; empty when `stored` is None."""

    def __init__(
        self,
        shard: int,
        own: ReplicaId,
        journal: Journal,
        applier: Applier,
        timing: ReplicaTiming,
        newest_round: Callable[[], int],
        now_s: float,
        stored: StoredShard | None = None,
    ) -> None:
        self.shard = shard
        self.own = own
        self._lock = threading.RLock()
        self._journal = journal
        self._applier = applier
        self._timing = timing
        self._newest_round = newest_round
        self._random = random.Random(f"{shard}/{own.node}/{own.disk}")
        self.generation = stored.generation if stored else 1
        self.term = stored.term if stored else 0
        self._voted_for = stored.voted_for if stored else None
        self.log = _stored_log(stored)
        self.commit_index = self.log.base_index
        self._snapshot_bytes = 0
        if stored is not None and stored.snapshot is not None:
            applier.load(stored.snapshot.index, stored.snapshot.state)
            self._snapshot_bytes = len(stored.snapshot.state)
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self._leader_heard_s = now_s - timing.election_timeout_s
        self._election_due_s = now_s + self._random_timeout_s()
        self._leaderless_since_s = now_s
        self._leaderless_told_s = now_s
        self._votes: set[ReplicaId] = set()
        self._handed_over = False
        self.stands = True
        """Whether it stands for election; a node that leaves does not."""
        self._leadership: Leadership | None = None
        self._not_durable: deque[tuple[int, int]] = deque()
        self._last_ticket = 0
        if stored is not None:
            self._tell_loaded()

    def _tell_loaded(self) -> None:
        replicas = self.log.replicas
        emit(
            REPLICA_LOADED,
            shard=self.shard,
            disk=self.own.disk,
            term=self.term,
            snapshot_index=self.commit_index,
            last_index=self.log.last_index,
            voters=shown(replicas.voters),
            learners=shown(replicas.learners),
        )

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the replica's lock; complete futures once it is released."""
        with self._lock:
            yield
            completed = self._applier.take_completed()
        release(completed)

    def machine(self, made: type[StateMachine]) -> StateMachine | None:
        """The state machine of one class; to be read under `locked` or for hints only."""
        return self._applier.machines.machine(made)

    def peek(self, query: Query) -> Reply:
        """Answer a query from what is applied here, with nobody asked whether it is the newest."""
        with self.locked():
            return self._applier.machines.answer(query)

    def is_settled(self) -> bool:
        """Whether the newest replica set is committed."""
        with self.locked():
            return self.log.replicas_index <= self.commit_index

    def home(self, known: ShardHome) -> ShardHome:
        """Where the shard is, for the placement; `known` is an older home of it."""
        with self.locked():
            return msgspec.structs.replace(
                known,
                generation=self.generation,
                replicas=self.log.replicas,
                replicas_index=self.log.replicas_index,
            )

    def _append_own(self, kind: EntryKind, payload: bytes) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, int(kind), payload)
        self.log.append(entry)
        self._last_ticket = self._journal.buffer(AppendEntries(self.shard, (entry,)))
        self._not_durable.append((self._last_ticket, entry.index))
        return entry

    def _commit(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self._applier.applied_index < index:
            if not self._applier.apply(self.log.entry(self._applier.applied_index + 1)):
                break

    def _follow(self, term: int, leader: ReplicaId | None) -> None:
        if self._leadership is not None:
            self._resign("a newer term began")
        if term > self.term:
            self._save_term(term, None)
        self.role = Role.FOLLOWER
        self._handed_over = False
        self.leader = leader

    def _resign(self, cause: str) -> None:
        leadership, self._leadership = self._leadership, None
        self.role = Role.FOLLOWER
        self.leader = None
        self._not_durable.clear()
        for read in leadership.reads if leadership else ():
            failure = LedgerError(LedgerErrorKind.UNAVAILABLE, f"leader resigned: {cause}")
            self._applier.complete(read.future, Failure(failure))
        emit(LEADER_RESIGNED, shard=self.shard, term=self.term, cause=cause)

    def _save_term(self, term: int, voted_for: ReplicaId | None) -> None:
        self.term = term
        self._voted_for = voted_for
        operation = SaveTerm(self.shard, self.generation, term, voted_for)
        self._last_ticket = self._journal.buffer(operation)

    def _hear_leader(self, leader: ReplicaId, now_s: float) -> None:
        self.leader = leader
        self._leader_heard_s = now_s
        self._election_due_s = now_s + self._random_timeout_s()

    def _snapshot(self) -> StoredSnapshot:
        index = self._applier.applied_index
        term = self.log.term_at(index) or 0
        state = self._applier.machines.save()
        return StoredSnapshot(index, term, self.log.replicas_at(index), state)

    def _other_voters(self) -> list[ReplicaId]:
        return [voter for voter in self.log.replicas.voters if voter != self.own]

    def _random_timeout_s(self) -> float:
        return self._timing.election_timeout_s * self._random.uniform(1.0, 2.0)

    def compact_when_due(self) -> bool:
        """Take a snapshot when the log has grown; keep some entries for followers close behind."""
        with self.locked():
            if self._applier.is_held:
                return False
            # A large state is saved less often, so that a commit's share of saving it is bounded.
            limit = max(
                self._timing.snapshot_entries, self._snapshot_bytes // SNAPSHOT_BYTES_PER_ENTRY
            )
            kept = self._timing.snapshot_entries // 4
            held = self._applier.applied_index - self.log.base_index
            if self.log.payload_bytes > LOG_BYTES + 2 * self._snapshot_bytes:
                # Few but large entries: only the newest stay for followers close behind.
                kept = min(kept, held // 4)
            elif held < limit + kept:
                return False
            snapshot = self._snapshot()
            self._snapshot_bytes = len(snapshot.state)
            self._journal.buffer(SaveSnapshot(self.shard, snapshot))
            self.log.compact_to(snapshot.index - kept)
            return True

    def give_up(self, cause: str) -> None:
        """Lead no more, and stand no more."""
        with self.locked():
            self.stands = False
            if self._leadership is not None:
                self._resign(cause)
            self._applier.abandon(cause)

    def recover(self, generation: int, at_s: float) -> None:
        """Become the only voter, by an operator's word that the other voters are gone for good.

        What others acknowledged and this replica does not hold is lost; the state machines are
        told, at the same place of the log on every later replica. Leads from its next election,
        which it wins alone.
        """
        with self.locked():
            if generation <= self.generation:
                return
            self._follow(self.term, None)
            self.generation = generation
            self._save_term(self.term + 1, None)
            self._append_own(EntryKind.REPLICAS, ReplicaSet((self.own,)).encode())
            self._append_own(EntryKind.RECOVERED, msgspec.msgpack.encode(at_s))
            self._not_durable.clear()
            emit(SHARD_RECOVERED, shard=self.shard, generation=generation)


def shown(replicas: Iterable[ReplicaId]) -> list[str]:
    """Replicas as log lines show them.

    >>> shown([ReplicaId("store-1", "4f2a")])
    ['store-1/4f2a']
    """
    return [f"{one.node}/{one.disk}" for one in replicas]


def _stored_log(stored: StoredShard | None) -> ReplicatedLog:
    if stored is None:
        return ReplicatedLog()
    snapshot = stored.snapshot
    if snapshot is None:
        return ReplicatedLog(entries=stored.entries)
    return ReplicatedLog(snapshot.index, snapshot.term, snapshot.replicas, stored.entries)
