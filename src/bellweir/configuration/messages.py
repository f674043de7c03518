"""Messages by which nodes spread the configuration.

Two tables are spread alike: the resources, ordered by the store's revision, and the platform's
machine list, ordered by the list's own revision.
"""

from enum import Enum

import msgspec

from bellweir.wire.interface import Message

NOT_LOADED = -1
"""Revision of a table that has not been filled yet."""


class TableName(Enum):
    """Which of the two tables a message is about."""

    RESOURCES = "resources"
    MACHINES = "machines"


class Change(msgspec.Struct, frozen=True):
    """The newest state of one entry: a document, or its deletion."""

    kind: str
    name: str
    version: int
    """Revision of the entry's last change."""
    document: bytes | None
    """The document in CBOR; None is a deletion."""


class TablePosition(msgspec.Struct, frozen=True):
    """How far a node has come with one table."""

    revision: int = NOT_LOADED
    checksum: int = 0
    """Exclusive or of all entries' fingerprints: equal tables have equal checksums."""


class ConfigurationAnnouncement(Message, frozen=True):
    """One-way: the sender has come this far; who is behind may pull from it."""

    resources: TablePosition
    machines: TablePosition


class ConfigurationDigest(Message, frozen=True):
    """Request of anti-entropy, answered by the receiver's own digest."""

    resources: TablePosition
    machines: TablePosition


class ConfigurationUpdate(Message, frozen=True):
    """All changes of a table after one revision up to another; pushed, or the answer to a pull."""

    table: TableName
    after: int
    """Applies to a table at this revision or a later one."""
    position: TablePosition
    """Where the table is once the changes are applied."""
    changes: tuple[Change, ...]


class ConfigurationPull(Message, frozen=True):
    """Request: answered by an update, or by the first chunk of a snapshot."""

    table: TableName
    after: int
    whole: bool = False
    """Ask for a snapshot even where the changes are still kept."""


class ConfigurationSnapshotPull(Message, frozen=True):
    """Request for a further chunk of a snapshot."""

    table: TableName
    revision: int
    chunk: int


class ConfigurationSnapshotChunk(Message, frozen=True):
    """A part of a whole table as of one revision."""

    table: TableName
    position: TablePosition
    chunk: int
    chunks: int
    """Number of chunks of this snapshot."""
    changes: tuple[Change, ...]


class RevisionReport(Message, frozen=True):
    """One-way, from a node to its zone's reader: the revision in force on the node."""

    node: str
    revision: int


class RevisionCount(msgspec.Struct, frozen=True):
    """How many nodes have a revision in force."""

    revision: int
    nodes: int


class ZoneRevisionReport(Message, frozen=True):
    """One-way, from a zone's reader to the one that reports for the cluster."""

    zone: str
    counts: tuple[RevisionCount, ...]
    """Lowest revisions first; what is beyond the last kept one is counted there."""
    behind: tuple[str, ...]
    """Names of a few nodes with the lowest revisions."""
