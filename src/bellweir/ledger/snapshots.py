"""Sending a snapshot in parts to a follower that the log no longer reaches, and taking it."""

from dataclasses import dataclass, field

from bellweir.ledger.entries import ReplicaId
from bellweir.ledger.journal import StoredSnapshot
from bellweir.ledger.messages import SnapshotPart

PART_BYTES = 256 * 1024
"""State carried by one part."""
MAXIMUM_SNAPSHOT_BYTES = 1 << 30
"""A larger announced snapshot is refused before anything is kept of it."""


@dataclass
class OutgoingSnapshot:
    """A snapshot on its way to one follower."""

    snapshot: StoredSnapshot
    offset: int = 0

    def part(
        self, shard: int, generation: int, term: int, leader: ReplicaId, target: ReplicaId
    ) -> SnapshotPart:
        """The part at the current offset."""
        state = self.snapshot.state
        return SnapshotPart(
            shard=shard,
            generation=generation,
            term=term,
            leader=leader,
            target=target,
            index=self.snapshot.index,
            index_term=self.snapshot.term,
            replicas=self.snapshot.replicas,
            offset=self.offset,
            total_bytes=len(state),
            data=state[self.offset : self.offset + PART_BYTES],
        )


@dataclass
class IncomingSnapshot:
    """Parts received so far, of one snapshot of one leader."""

    leader: ReplicaId
    term: int
    index: int
    state: bytearray = field(default_factory=bytearray)

    def fits(self, part: SnapshotPart) -> bool:
        """Whether a part belongs to this snapshot."""
        return (self.leader, self.term, self.index) == (part.leader, part.term, part.index)

    def add(self, part: SnapshotPart) -> None:
        """Take a part, if it is the next one; parts that come twice change nothing."""
        if part.offset == len(self.state):
            self.state += part.data

    def is_complete(self, part: SnapshotPart) -> bool:
        """Whether nothing is missing any more."""
        return len(self.state) == part.total_bytes
