"""Entries of a shard's log, the identity of a replica and the set of replicas of a shard."""

from enum import IntEnum

import msgspec


class ReplicaId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A replica's identity: the node and the disk that holds its files.

    A lost or damaged disk gets a new `disk` value, so that the replica never votes, and is never
    counted, on the strength of a log that it no longer has.
    """

    node: str
    disk: str


class EntryKind(IntEnum):
    """What an entry carries."""

    COMMAND = 1
    """A command of a state machine."""
    REPLICAS = 2
    """A set of replicas, in force as soon as it is in the log, committed or not.

    The first entry of each term is one, with the set unchanged: committing it tells a new leader
    what else is committed.
    """
    RECOVERED = 3
    """An operator recovered the shard from a minority; carries the time."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of a shard's log."""

    index: int
    term: int
    kind: int
    payload: bytes


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a shard. Voters count for majorities; learners only receive."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()
    released: tuple[ReplicaId, ...] = ()
    """Replicas that the operator was told may go: whoever leads, they come in no more."""

    @property
    def majority(self) -> int:
        """Voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def everyone(self) -> tuple[ReplicaId, ...]:
        """Voters, then learners."""
        return self.voters + self.learners

    def encode(self) -> bytes:
        """Bytes of an entry of kind `REPLICAS`."""
        return msgspec.msgpack.encode(self)


def decode_replica_set(payload: bytes) -> ReplicaSet:
    """Inverse of `ReplicaSet.encode`."""
    return msgspec.msgpack.decode(payload, type=ReplicaSet)
