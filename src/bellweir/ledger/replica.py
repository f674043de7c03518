"""One replica of one shard: log replication and elections after Raft.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014): chapters 3 (log), 4 (changes
of the replica set, one replica at a time), 5 (snapshots), 6.4 (reads by read index), 9.6
(pre-vote). Methods do no I/O: what they change is buffered in the journal, and the caller makes
the returned ticket durable before it sends the returned message. Each public method takes the
replica's lock and completes futures after it has released it.
"""

import random
import threading
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import msgspec
from returns.result import Failure

from bellweir.events.log import emit
from bellweir.ledger.applier import Applier, release
from bellweir.ledger.entries import Entry, EntryKind, ReplicaId, ReplicaSet
from bellweir.ledger.interface import LedgerError, LedgerErrorKind, Query, StateMachine
from bellweir.ledger.journal import (
    AppendEntries,
    Journal,
    SaveSnapshot,
    SaveTerm,
    StoredShard,
    StoredSnapshot,
)
from bellweir.ledger.leadership import Leadership, OutcomeFuture, PendingRead
from bellweir.ledger.log import ReplicatedLog
from bellweir.ledger.log_events import LEADER_ELECTED, LEADER_RESIGNED
from bellweir.ledger.messages import (
    ElectNow,
    ShardAppend,
    ShardAppended,
    VoteAnswer,
    VoteRequest,
)
from bellweir.ledger.placement import ShardHome

BATCH_BYTES = 256 * 1024
"""Payload of one shard in one append message."""
CAUGHT_UP_ENTRIES = 256
"""A learner that lacks no more than this may become a voter."""


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


@dataclass(frozen=True)
class Answered:
    """An append's answer, to be sent once `ticket` is durable."""

    part: ShardAppended
    ticket: int


class Replica:
    """A replica of `shard` with identity `own`; empty when `stored` is None."""

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
        if stored is not None and stored.snapshot is not None:
            applier.load(stored.snapshot.index, stored.snapshot.state)
        self.role = Role.FOLLOWER
        self.leader: ReplicaId | None = None
        self._leader_heard_s = now_s - timing.election_timeout_s
        self._election_due_s = now_s + self._random_timeout_s()
        self._votes: set[ReplicaId] = set()
        self._handed_over = False
        self._leadership: Leadership | None = None
        self._not_durable: deque[tuple[int, int]] = deque()
        self._last_ticket = 0

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Hold the replica's lock; complete futures once it is released."""
        with self._lock:
            yield
            completed = self._applier.take_completed()
        release(completed)

    # --- callers ------------------------------------------------------------------------------

    def propose(self, kind: EntryKind, payload: bytes) -> OutcomeFuture | None:
        """Append an entry as the leader; None when this replica does not take any now."""
        with self.locked():
            leadership = self._leadership
            if leadership is None or leadership.handing_over_to or self._applier.is_full:
                return None
            entry = self._append_own(kind, payload)
            return self._applier.wait_for(entry.index, entry.term)

    def read(self, query: Query) -> OutcomeFuture | None:
        """Answer a query once a majority has proved that this replica leads; None otherwise."""
        with self.locked():
            leadership = self._leadership
            if leadership is None or self._applier.is_full:
                return None
            future: OutcomeFuture = Future()
            index = max(self.commit_index, leadership.barrier_index)
            read = PendingRead(query, future, self._newest_round(), index)
            leadership.reads.append(read)
            self._serve_reads(leadership)
            return future

    def machine(self, made: type[StateMachine]) -> StateMachine | None:
        """The state machine of one class; to be read under `locked` or for hints only."""
        return self._applier.machines.machine(made)

    # --- time ---------------------------------------------------------------------------------

    def tick(self, now_s: float) -> list[VoteRequest]:
        """Start an election when the leader is silent; resign when the followers are."""
        with self.locked():
            leadership = self._leadership
            if leadership is not None:
                heard_s = leadership.heard_majority_s(self.log.replicas, now_s)
                if now_s - heard_s > self._timing.election_timeout_s:
                    self._resign("no majority answers")
                return []
            if now_s < self._election_due_s or self.own not in self.log.replicas.voters:
                return []
            return self._start_election(now_s, preliminary=True)

    def _start_election(self, now_s: float, *, preliminary: bool) -> list[VoteRequest]:
        self._election_due_s = now_s + self._random_timeout_s()
        self._votes = {self.own}
        self.leader = None
        if preliminary:
            self.role = Role.PRE_CANDIDATE
        else:
            self.role = Role.CANDIDATE
            self._save_term(self.term + 1, self.own)
        if self.log.replicas.majority == 1:
            return self._count_votes(now_s)
        return [self._vote_request(voter) for voter in self._other_voters()]

    def _vote_request(self, voter: ReplicaId) -> VoteRequest:
        preliminary = self.role is Role.PRE_CANDIDATE
        return VoteRequest(
            shard=self.shard,
            generation=self.generation,
            term=self.term + 1 if preliminary else self.term,
            candidate=self.own,
            voter=voter,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            preliminary=preliminary,
            handed_over=self._handed_over,
        )

    def _count_votes(self, now_s: float) -> list[VoteRequest]:
        replicas = self.log.replicas
        if len(self._votes.intersection(replicas.voters)) < replicas.majority:
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._start_election(now_s, preliminary=False)
        self._lead(now_s)
        return []

    def _lead(self, now_s: float) -> None:
        self.role = Role.LEADER
        self.leader = self.own
        self._handed_over = False
        self._leadership = Leadership(self.own, self.log.last_index + 1, now_s)
        emit(LEADER_ELECTED, shard=self.shard, term=self.term)
        self._append_own(EntryKind.BARRIER, b"")

    # --- votes --------------------------------------------------------------------------------

    def handle_vote_request(self, request: VoteRequest, now_s: float) -> VoteAnswer | None:
        """Vote; the caller syncs the journal before it sends the answer."""
        with self.locked():
            if request.voter != self.own or request.generation != self.generation:
                return None
            granted = self._grants(request, now_s)
            return VoteAnswer(
                shard=self.shard,
                generation=self.generation,
                term=request.term if granted else self.term,
                candidate=request.candidate,
                voter=self.own,
                preliminary=request.preliminary,
                granted=granted,
            )

    def _grants(self, request: VoteRequest, now_s: float) -> bool:
        if not request.handed_over and self._hears_leader(now_s):
            return False
        own_log = (self.log.last_term, self.log.last_index)
        up_to_date = (request.last_term, request.last_index) >= own_log
        if request.preliminary:
            return up_to_date and request.term > self.term
        if request.term < self.term:
            return False
        if request.term > self.term:
            self._follow(request.term, None)
        if not up_to_date or self._voted_for not in (None, request.candidate):
            return False
        if self._voted_for is None:
            self._save_term(self.term, request.candidate)
        self._election_due_s = now_s + self._random_timeout_s()
        return True

    def _hears_leader(self, now_s: float) -> bool:
        if self._leadership is not None:
            return True
        heard_lately = now_s - self._leader_heard_s < self._timing.election_timeout_s
        return self.leader is not None and heard_lately

    def handle_vote_answer(self, answer: VoteAnswer, now_s: float) -> list[VoteRequest]:
        """Count a vote; may return the requests of the real election after a pre-vote."""
        with self.locked():
            if answer.candidate != self.own or answer.generation != self.generation:
                return []
            if not answer.granted:
                if answer.term > self.term:
                    self._follow(answer.term, None)
                return []
            wanted = Role.PRE_CANDIDATE if answer.preliminary else Role.CANDIDATE
            term = self.term + 1 if answer.preliminary else self.term
            if self.role is not wanted or answer.term != term:
                return []
            self._votes.add(answer.voter)
            return self._count_votes(now_s)

    def handle_elect_now(self, message: ElectNow, now_s: float) -> list[VoteRequest]:
        """Start an election because the leader hands over."""
        with self.locked():
            mine = message.target == self.own and message.generation == self.generation
            is_voter = self.own in self.log.replicas.voters
            if not mine or message.term != self.term or self.role is Role.LEADER or not is_voter:
                return []
            self._handed_over = True
            return self._start_election(now_s, preliminary=False)

    # --- following ----------------------------------------------------------------------------

    def handle_append(self, part: ShardAppend, now_s: float) -> Answered:
        """Take entries from the leader; an older term is refused, which fences its sender."""
        with self.locked():
            if part.term < self.term:
                return self._answered(False, 0)
            if part.term > self.term or self.role is not Role.FOLLOWER:
                self._follow(part.term, part.leader)
            self._hear_leader(part.leader, now_s)
            conflict = self._conflict(part)
            if conflict is not None:
                return self._answered(False, conflict)
            self._take_entries(part)
            match_index = max(part.previous_index + len(part.entries), self.log.base_index)
            self._commit(min(part.commit_index, match_index))
            return self._answered(True, match_index)

    def _hear_leader(self, leader: ReplicaId, now_s: float) -> None:
        self.leader = leader
        self._leader_heard_s = now_s
        self._election_due_s = now_s + self._random_timeout_s()

    def _conflict(self, part: ShardAppend) -> int | None:
        """Index from which the leader should try again; None when the logs join."""
        if part.previous_index > self.log.last_index:
            return self.log.last_index + 1
        if part.previous_index <= self.log.base_index:
            return None
        term = self.log.term_at(part.previous_index)
        if term == part.previous_term:
            return None
        index = part.previous_index
        while index > self.commit_index + 1 and self.log.term_at(index - 1) == term:
            index -= 1
        return index

    def _take_entries(self, part: ShardAppend) -> None:
        fresh = [entry for entry in part.entries if entry.index > self.log.base_index]
        while fresh and self.log.term_at(fresh[0].index) == fresh[0].term:
            del fresh[0]
        if not fresh:
            return
        if fresh[0].index <= self.commit_index:
            raise AssertionError(f"shard {self.shard}: a committed entry would be replaced")
        self.log.truncate_from(fresh[0].index)
        for entry in fresh:
            self.log.append(entry)
        self._last_ticket = self._journal.buffer(AppendEntries(self.shard, fresh))

    def _answered(self, accepted: bool, match_index: int) -> Answered:
        part = ShardAppended(
            self.shard, self.generation, self.term, self.own, accepted, match_index
        )
        return Answered(part, self._last_ticket)

    # --- leading ------------------------------------------------------------------------------

    def make_append(self, target: ReplicaId) -> ShardAppend | None:
        """The next part for a follower; None when not leading or when it needs a snapshot."""
        with self.locked():
            leadership = self._leadership
            if leadership is None:
                return None
            progress = leadership.of(target, self.log.last_index + 1)
            previous_index = progress.next_index - 1
            previous_term = self.log.term_at(previous_index)
            if previous_term is None:
                return None
            return ShardAppend(
                self.shard,
                self.generation,
                self.term,
                self.own,
                target,
                previous_index,
                previous_term,
                self.commit_index,
                self.log.batch(progress.next_index, BATCH_BYTES),
            )

    def needs_snapshot(self, target: ReplicaId) -> bool:
        """Whether the log no longer reaches a follower."""
        with self.locked():
            if self._leadership is None:
                return False
            progress = self._leadership.of(target, self.log.last_index + 1)
            return progress.next_index <= self.log.base_index

    def has_news_for(self, target: ReplicaId) -> bool:
        """Whether a follower lacks entries, or a query waits for it to acknowledge a new round."""
        with self.locked():
            leadership = self._leadership
            if leadership is None:
                return False
            progress = leadership.of(target, self.log.last_index + 1)
            waits = any(read.after_round >= progress.confirmed_round for read in leadership.reads)
            return waits or progress.next_index <= self.log.last_index

    def handle_appended(self, part: ShardAppended, sent_round: int, now_s: float) -> None:
        """Note a follower's answer to the append of `sent_round`."""
        with self.locked():
            if part.term > self.term:
                self._follow(part.term, None)
            leadership = self._leadership
            if leadership is None or part.term != self.term or part.replica == self.own:
                return
            progress = leadership.of(part.replica, self.log.last_index + 1)
            progress.answered_s = now_s
            progress.confirmed_round = max(progress.confirmed_round, sent_round)
            if part.accepted:
                progress.match_index = max(progress.match_index, part.match_index)
                progress.next_index = progress.match_index + 1
            else:
                tried = progress.next_index - 1
                floor = progress.match_index + 1
                progress.next_index = max(floor, min(part.match_index, tried), 1)
            self._advance_commit(leadership)
            self._serve_reads(leadership)

    def note_durable(self, ticket: int) -> None:
        """Everything buffered up to `ticket` is on this node's own disk."""
        with self.locked():
            durable_index = 0
            while self._not_durable and self._not_durable[0][0] <= ticket:
                durable_index = self._not_durable.popleft()[1]
            leadership = self._leadership
            if leadership is None or durable_index <= leadership.durable_index:
                return
            leadership.durable_index = durable_index
            self._advance_commit(leadership)
            self._serve_reads(leadership)

    def change_replicas(self, replicas: ReplicaSet) -> OutcomeFuture | None:
        """Begin a change of the replica set; None unless leading with no change under way.

        Raises `ValueError` when it changes more than one voter: two majorities could then miss
        each other.
        """
        with self.locked():
            leadership = self._leadership
            before = self.log.replicas
            if len(set(before.voters) ^ set(replicas.voters)) > 1 or not replicas.voters:
                raise ValueError("a change may add or remove one voter only")
            settled = self.log.replicas_index <= self.commit_index
            if leadership is None or not settled:
                return None
            # A change before the term's first entry is committed can undo another leader's one.
            if self.commit_index < leadership.barrier_index:
                return None
            entry = self._append_own(EntryKind.REPLICAS, replicas.encode())
            return self._applier.wait_for(entry.index, entry.term)

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

    def caught_up(self) -> frozenset[ReplicaId]:
        """Followers that lack at most `CAUGHT_UP_ENTRIES` entries, as this leader knows."""
        with self.locked():
            if self._leadership is None:
                return frozenset()
            needed = self.log.last_index - CAUGHT_UP_ENTRIES
            known = self._leadership.progress.items()
            return frozenset(one for one, at in known if at.match_index >= max(needed, 1))

    def silent_replicas(self, now_s: float) -> frozenset[ReplicaId]:
        """Followers that have not answered this leader for an election timeout."""
        with self.locked():
            leadership = self._leadership
            if leadership is None:
                return frozenset()
            since_s = now_s - self._timing.election_timeout_s
            return frozenset(
                one
                for one in self.log.replicas.everyone
                if one != self.own and leadership.answered_s(one) < since_s
            )

    def hand_over(self) -> ElectNow | None:
        """Ask the most up-to-date voter to take over; None while nobody is ready to."""
        with self.locked():
            leadership = self._leadership
            others = self._other_voters()
            if leadership is None or not others:
                return None
            target = max(others, key=lambda voter: leadership.of(voter, 1).match_index)
            leadership.handing_over_to = target
            if leadership.of(target, 1).match_index < self.log.last_index:
                return None
            return ElectNow(self.shard, self.generation, self.term, target)

    def _append_own(self, kind: EntryKind, payload: bytes) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, int(kind), payload)
        self.log.append(entry)
        self._last_ticket = self._journal.buffer(AppendEntries(self.shard, (entry,)))
        self._not_durable.append((self._last_ticket, entry.index))
        return entry

    def _advance_commit(self, leadership: Leadership) -> None:
        index = min(leadership.majority_index(self.log.replicas), self.log.last_index)
        # Entries of older terms are committed only along with one of the leader's own term.
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit(index)
            self._leave_when_removed()

    def _leave_when_removed(self) -> None:
        settled = self.log.replicas_index <= self.commit_index
        if settled and self.own not in self.log.replicas.voters:
            self._resign("no longer a voter")

    def _serve_reads(self, leadership: Leadership) -> None:
        if not leadership.reads:
            return
        confirmed = leadership.confirmed_round(self.log.replicas, self._newest_round() + 1)
        later = []
        for read in leadership.reads:
            if confirmed > read.after_round and self._applier.applied_index >= read.index:
                self._applier.answer(read.query, read.future)
            else:
                later.append(read)
        leadership.reads = later

    # --- snapshots ----------------------------------------------------------------------------

    def snapshot(self) -> StoredSnapshot:
        """The state as of the last applied entry."""
        with self.locked():
            return self._snapshot()

    def _snapshot(self) -> StoredSnapshot:
        index = self._applier.applied_index
        term = self.log.term_at(index) or 0
        state = self._applier.machines.save()
        return StoredSnapshot(index, term, self.log.replicas_at(index), state)

    def compact_when_due(self) -> bool:
        """Take a snapshot when the log has grown; keep some entries for followers close behind."""
        with self.locked():
            limit = self._timing.snapshot_entries
            if self._applier.applied_index - self.log.base_index < limit + limit // 4:
                return False
            snapshot = self._snapshot()
            self._journal.buffer(SaveSnapshot(self.shard, snapshot))
            self.log.compact_to(snapshot.index - limit // 4)
            return True

    def install_snapshot(
        self, snapshot: StoredSnapshot, term: int, leader: ReplicaId, now_s: float
    ) -> int | None:
        """Take the leader's snapshot; its ticket, or None when the sender's term is older."""
        with self.locked():
            if term < self.term:
                return None
            self._follow(term, leader)
            self._hear_leader(leader, now_s)
            if snapshot.index > self.commit_index:
                self.log = ReplicatedLog(snapshot.index, snapshot.term, snapshot.replicas)
                self._applier.load(snapshot.index, snapshot.state)
                self.commit_index = snapshot.index
                self._last_ticket = self._journal.buffer(SaveSnapshot(self.shard, snapshot))
            return self._last_ticket

    def snapshot_answered(
        self, target: ReplicaId, index: int, term: int, now_s: float, *, installed: bool
    ) -> None:
        """Note that a follower took a part, or the whole, of a snapshot up to `index`."""
        with self.locked():
            if term > self.term:
                self._follow(term, None)
            if self._leadership is None:
                return
            progress = self._leadership.of(target, index + 1)
            progress.answered_s = now_s
            if installed:
                progress.match_index = max(progress.match_index, index)
                progress.next_index = progress.match_index + 1

    # --- changes of role and term -------------------------------------------------------------

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

    def _commit(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self._applier.applied_index < index:
            self._applier.apply(self.log.entry(self._applier.applied_index + 1))

    def _other_voters(self) -> list[ReplicaId]:
        return [voter for voter in self.log.replicas.voters if voter != self.own]

    def _random_timeout_s(self) -> float:
        return self._timing.election_timeout_s * self._random.uniform(1.0, 2.0)


def _stored_log(stored: StoredShard | None) -> ReplicatedLog:
    if stored is None:
        return ReplicatedLog()
    snapshot = stored.snapshot
    if snapshot is None:
        return ReplicatedLog(entries=stored.entries)
    return ReplicatedLog(snapshot.index, snapshot.term, snapshot.replicas, stored.entries)
