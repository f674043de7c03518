"""Messages between the ledgers of two nodes."""

import msgspec

from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet
from bellweir.ledger.placement import Placement
from bellweir.wire.interface import FIRST_LEVEL, Message


class VoteRequest(Message, frozen=True, tag=True):
    """A candidate asks for a vote; `preliminary` ones change no state (pre-vote)."""

    shard: int
    generation: int
    term: int
    candidate: ReplicaId
    voter: ReplicaId
    last_index: int
    last_term: int
    preliminary: bool
    handed_over: bool
    """The leader asked for this election: voters need not have lost touch with it."""


class VoteAnswer(Message, frozen=True, tag=True):
    """Answer to a `VoteRequest`, as a one-way message."""

    shard: int
    generation: int
    term: int
    candidate: ReplicaId
    voter: ReplicaId
    preliminary: bool
    granted: bool


class ShardAppend(msgspec.Struct, frozen=True, array_like=True):
    """One shard's part of an `AppendRequest`; without entries it is a heartbeat."""

    shard: int
    generation: int
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class AppendRequest(Message, frozen=True, tag=True):
    """All shards that one node leads and another one follows, in one message.

    Both identities stand once for all parts: they are most of what a heartbeat has to say.
    """

    leader: ReplicaId
    target: ReplicaId
    parts: tuple[ShardAppend, ...]


class ShardAppended(msgspec.Struct, frozen=True, array_like=True):
    """One shard's part of an `AppendAnswer`."""

    shard: int
    generation: int
    term: int
    accepted: bool
    match_index: int
    """Accepted: last index that is surely equal and durable. Refused: where to try next."""


class AppendAnswer(Message, frozen=True, tag=True):
    """Answer to an `AppendRequest`; without parts when the target is another replica."""

    replica: ReplicaId
    parts: tuple[ShardAppended, ...]


class SnapshotPart(Message, frozen=True, tag=True):
    """A piece of a snapshot, sent to a replica that the log no longer reaches."""

    shard: int
    generation: int
    term: int
    leader: ReplicaId
    target: ReplicaId
    index: int
    index_term: int
    replicas: ReplicaSet
    offset: int
    total_bytes: int
    data: bytes


class SnapshotAnswer(Message, frozen=True, tag=True):
    """Answer to a `SnapshotPart`: where the next part begins."""

    term: int
    accepted: bool
    next_offset: int


class ElectNow(Message, frozen=True, tag=True):
    """The leader hands over: the target starts an election at once."""

    shard: int
    generation: int
    term: int
    target: ReplicaId


class CallRequest(Message, frozen=True, tag=True):
    """A command or query sent to the node believed to lead; answered at once with acceptance."""

    call_id: str
    shard: int
    is_query: bool
    payload: bytes
    patience_s: float
    """Time for which the caller waits for the outcome."""
    command_level: int = FIRST_LEVEL
    """Level since which the command is known: a leader that does not know it must not append it."""

    @property
    def level(self) -> int:
        """As the command's."""
        return self.command_level


class RelayedCall(Message, frozen=True, tag=True):
    """A call that its sender can't bring to the ledger itself; answered at once with acceptance.

    Its `CallOutcome` follows as of a call to the leader.
    """

    call_id: str
    key: str
    is_query: bool
    payload: bytes
    patience_s: float
    """Time for which the caller waits for the outcome."""
    command_level: int = FIRST_LEVEL
    """As of a `CallRequest`."""

    @property
    def level(self) -> int:
        """As the command's."""
        return self.command_level


class CallAccepted(Message, frozen=True, tag=True):
    """The call was taken up; its `CallOutcome` follows as a one-way message."""


class CallRefused(Message, frozen=True, tag=True):
    """The node does not lead: the call surely was not appended."""

    leader_node: str | None


class CallOutcome(Message, frozen=True, tag=True):
    """Outcome of an accepted call."""

    call_id: str
    reply: bytes | None
    error_kind: str | None
    detail: str


class PeekRequest(Message, frozen=True, tag=True):
    """A query for whatever the asked node's replica has applied, which may not be the newest."""

    shard: int
    payload: bytes


class PeekAnswer(Message, frozen=True, tag=True):
    """Answer to a `PeekRequest`; None without a replica."""

    reply: bytes | None


class PlacementRequest(Message, frozen=True, tag=True):
    """Ask a node with a data folder who holds the shards."""


class PlacementAnswer(Message, frozen=True, tag=True):
    """Answer to a `PlacementRequest`."""

    disk: str
    """Identity of the answering node's disk."""
    placement: Placement | None
    """None before the ledger was created, as far as that node knows."""
