"""Leading a shard: proposals, replication, reads and changes of the replica set."""

from collections.abc import Callable
from concurrent.futures import Future

from bellweir.ledger.entries import EntryKind, ReplicaId, ReplicaSet
from bellweir.ledger.interface import Query
from bellweir.ledger.journal import StoredSnapshot
from bellweir.ledger.leadership import Leadership, OutcomeFuture, PendingRead
from bellweir.ledger.messages import ElectNow, ShardAppend, ShardAppended
from bellweir.ledger.replica_state import ReplicaState

BATCH_BYTES = 256 * 1024
"""Payload of one shard in one append message."""
CAUGHT_UP_ENTRIES = 256
"""A learner that lacks no more than this may become a voter."""


class Leading(ReplicaState):
    """A replica's part as the leader."""

    def propose(self, kind: EntryKind, payload: bytes) -> OutcomeFuture | None:
        """Append an entry as the leader; None when this replica does not take any now."""
        with self.locked():
            leadership = self._leadership
            if leadership is None or leadership.handing_over_to or self._applier.is_full:
                return None
            if self._applier.is_held:
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
                previous_index,
                previous_term,
                self.commit_index,
                () if progress.is_silent else self.log.batch(progress.next_index, BATCH_BYTES),
            )

    def note_silence(self, target: ReplicaId) -> None:
        """Note that a follower did not answer an append: its disk may be another one now."""
        with self.locked():
            if self._leadership is not None:
                self._leadership.of(target, self.log.last_index + 1).is_silent = True

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
            if progress.is_silent:
                return False
            waits = any(read.after_round >= progress.confirmed_round for read in leadership.reads)
            return waits or progress.next_index <= self.log.last_index

    def handle_appended(
        self, part: ShardAppended, follower: ReplicaId, sent_round: int, now_s: float
    ) -> None:
        """Note a follower's answer to the append of `sent_round`."""
        with self.locked():
            if part.term > self.term:
                self._follow(part.term, None)
            leadership = self._leadership
            if leadership is None or part.term != self.term or follower == self.own:
                return
            progress = leadership.of(follower, self.log.last_index + 1)
            progress.answered_s = now_s
            progress.is_silent = False
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

        Raises `ValueError` when it changes more than one voter, so that two majorities could miss
        each other, or names a replica twice, which would count twice.
        """
        with self.locked():
            leadership = self._leadership
            before = self.log.replicas
            if len(set(before.voters) ^ set(replicas.voters)) > 1 or not replicas.voters:
                raise ValueError("a change may add or remove one voter only")
            if len(set(replicas.everyone)) != len(replicas.everyone):
                raise ValueError("a replica is named twice")
            settled = self.log.replicas_index <= self.commit_index
            if leadership is None or not settled:
                return None
            # A change before the term's first entry is committed can undo another leader's one.
            if self.commit_index < leadership.barrier_index:
                return None
            entry = self._append_own(EntryKind.REPLICAS, replicas.encode())
            return self._applier.wait_for(entry.index, entry.term)

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

    def hand_over(self, able: Callable[[str], bool], now_s: float) -> ElectNow | None:
        """Ask the most up-to-date voter on an `able` node to take over; None while none is ready.

        No proposal is taken any more, so that the target can catch up. A voter that does not
        answer, such as one whose disk was lost, is not asked.
        """
        with self.locked():
            leadership = self._leadership
            if leadership is None:
                return None
            since_s = now_s - self._timing.election_timeout_s
            others = [
                voter
                for voter in self._other_voters()
                if able(voter.node) and leadership.answered_s(voter) >= since_s
            ]
            if not others:
                leadership.handing_over_to = None
                return None
            target = max(others, key=lambda voter: leadership.of(voter, 1).match_index)
            leadership.handing_over_to = target
            if leadership.of(target, 1).match_index < self.log.last_index:
                return None
            return ElectNow(self.shard, self.generation, self.term, target)

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

    def snapshot(self) -> StoredSnapshot:
        """The state as of the last applied entry."""
        with self.locked():
            return self._snapshot()

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
