"""What a replica keeps: operations are buffered and made durable in groups.

Callers buffer operations under their own locks and get a ticket; `sync` makes everything up to a
ticket durable, and whoever comes first does so for all who wait (group commit). The lock held
during the write is there for nothing else.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet

CLOSE_WAIT_S = 2.0
"""Time for which a journal that is closed waits for whoever reads or writes it."""


@dataclass(frozen=True)
class StoredSnapshot:
    """State of a shard after applying the entry at `index`."""

    index: int
    term: int
    replicas: ReplicaSet
    state: bytes


@dataclass(frozen=True)
class StoredShard:
    """A shard as found in the files."""

    shard: int
    generation: int
    term: int
    voted_for: ReplicaId | None
    snapshot: StoredSnapshot | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class AppendEntries:
    """Add entries behind the last one kept."""

    shard: int
    entries: Sequence[Entry]


@dataclass(frozen=True)
class SaveTerm:
    """Keep a shard's generation, term and vote."""

    shard: int
    generation: int
    term: int
    voted_for: ReplicaId | None


@dataclass(frozen=True)
class SaveSnapshot:
    """Keep a snapshot and drop the entries up to its index."""

    shard: int
    snapshot: StoredSnapshot


@dataclass(frozen=True)
class TruncateLog:
    """Drop the entries from an index on."""

    shard: int
    from_index: int


@dataclass(frozen=True)
class ForgetShard:
    """Drop everything of a shard."""

    shard: int


Operation = AppendEntries | SaveTerm | SaveSnapshot | TruncateLog | ForgetShard


class JournalUnavailableError(OSError):
    """The files can't be opened or written now, which says nothing of what they hold."""


class JournalFailedError(RuntimeError):
    """A write failed once: what is on disk is not known, so nothing is written any more."""


class JournalClosedError(RuntimeError):
    """The node stops; nothing is kept any more, and nothing may be acknowledged."""


class Journal(ABC):
    """Durable storage of all replicas of a node."""

    def __init__(self) -> None:
        self._buffer_lock = threading.Lock()
        self._buffer: list[Operation] = []
        self._buffered_ticket = 0
        self._durable_ticket = 0
        self._write_lock = threading.Lock()
        self._failed = False
        self._closed = False
        self._released = False

    @property
    @abstractmethod
    def disk(self) -> str:
        """Identity of the disk; a new one after loss or damage."""

    @abstractmethod
    def load(self) -> tuple[StoredShard, ...]:
        """Read everything; called once, before anything is buffered.

        Raises `JournalUnavailableError` when that can't be done now, or nothing could be kept, and
        `JournalClosedError` when the node stops.
        """

    @abstractmethod
    def _release(self) -> None:
        """Release the files."""

    @abstractmethod
    def _write(self, operations: Sequence[Operation]) -> None:
        """Make the operations durable, all or none, in their order."""

    def close(self) -> None:
        """Release the files; a second call does nothing.

        Closed under a thread that uses them, a descriptor may be another file's by then, and
        sqlite3 may end the process. So this waits for that thread; not for ever, since a disk may
        hang. The files then go with the process.
        """
        self._closed = True
        if not self._write_lock.acquire(timeout=CLOSE_WAIT_S):
            return
        try:
            if not self._released:
                self._released = True
                self._release()
        finally:
            self._write_lock.release()

    def buffer(self, operation: Operation) -> int:
        """Add an operation to the next group; return its ticket. Does no I/O."""
        with self._buffer_lock:
            self._buffer.append(operation)
            self._buffered_ticket += 1
            return self._buffered_ticket

    def sync(self, ticket: int | None = None) -> int:
        """Make everything up to `ticket` durable (or everything buffered); return what now is.

        Raises `JournalFailedError` now and for ever once a write has failed: the node must not
        answer for operations that may be lost. Raises `JournalClosedError` when the node stops.
        """
        if ticket is None:
            with self._buffer_lock:
                ticket = self._buffered_ticket
        with self._write_lock:
            if self._durable_ticket < ticket:
                self._write_buffered()
            return self._durable_ticket

    def _write_buffered(self) -> None:
        if self._closed:
            raise JournalClosedError("the journal is closed")
        if self._failed:
            raise JournalFailedError("an earlier write to the journal failed")
        with self._buffer_lock:
            operations, self._buffer = self._buffer, []
            ticket = self._buffered_ticket
        try:
            self._write(operations)
        except Exception as failure:
            self._failed = True
            raise JournalFailedError(f"write to the journal failed: {failure!r}") from failure
        self._durable_ticket = ticket
