"""Following a leader: its appends and its snapshots."""

from dataclasses import dataclass

from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.journal import (
    AppendEntries,
    SaveSnapshot,
    StoredSnapshot,
    TruncateLog,
)
from bellweir.ledger.log import ReplicatedLog
from bellweir.ledger.messages import ShardAppend, ShardAppended
from bellweir.ledger.replica_state import ReplicaState, Role


@dataclass(frozen=True)
class Answered:
    """An append's answer, to be sent once `ticket` is durable."""

    part: ShardAppended
    ticket: int


class Following(ReplicaState):
    """A replica's part under a leader."""

    def handle_append(self, part: ShardAppend, leader: ReplicaId, now_s: float) -> Answered:
        """Take entries from the leader; an older term is refused, which fences its sender."""
        with self.locked():
            if part.term < self.term:
                return self._answered(False, 0)
            if part.term > self.term or self.role is not Role.FOLLOWER:
                self._follow(part.term, leader)
            self._hear_leader(leader, now_s)
            conflict = self._conflict(part)
            if conflict is not None:
                return self._answered(False, conflict)
            self._take_entries(part)
            match_index = max(part.previous_index + len(part.entries), self.log.base_index)
            self._commit(min(part.commit_index, match_index))
            return self._answered(True, match_index)

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
        if fresh[0].index <= self.log.last_index:
            self.log.truncate_from(fresh[0].index)
            self._journal.buffer(TruncateLog(self.shard, fresh[0].index))
        for entry in fresh:
            self.log.append(entry)
        self._last_ticket = self._journal.buffer(AppendEntries(self.shard, fresh))

    def _answered(self, accepted: bool, match_index: int) -> Answered:
        part = ShardAppended(self.shard, self.generation, self.term, accepted, match_index)
        return Answered(part, self._last_ticket)

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
                # Own entries behind the snapshot may be another leader's.
                self._journal.buffer(TruncateLog(self.shard, snapshot.index + 1))
                self._applier.load(snapshot.index, snapshot.state)
                self.commit_index = snapshot.index
                self._last_ticket = self._journal.buffer(SaveSnapshot(self.shard, snapshot))
            return self._last_ticket
