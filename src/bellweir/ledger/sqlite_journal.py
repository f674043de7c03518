"""The journal in a sqlite3 file on the data folder.

sqlite3 cuts a torn tail by itself, but it drops whatever follows a damaged frame of its
write-ahead log without a word, and it has no checksum on its pages. So each row carries a
checksum, indexes must be contiguous, and the number of the last durable group is also written to
a mark file behind each commit: a database older than its mark, or with a bad row, is damaged.
Marks go to the slots of a ring in turn and are synced now and then, so that a loss of power,
which may tear every slot written since, always leaves older whole ones: too old is harmless.
A start syncs all files and their folder before it gives anything back: what a killed process had
written may not be durable yet, and what sqlite3 had removed may come back.
A damaged journal keeps what can be proved whole but gets a new disk identity, so that the
replica rejoins as a learner and refetches the rest from its peers. The ways weighed and their
figures are in docs/design/ledger.md.
"""

import os
import sqlite3
import struct
import uuid
from collections.abc import Sequence
from pathlib import Path

import msgspec
import xxhash

from bellweir.events.log import emit
from bellweir.ledger.durable_files import make_folder, sync_file, sync_folder
from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet
from bellweir.ledger.journal import (
    AppendEntries,
    ForgetShard,
    Journal,
    JournalClosedError,
    JournalUnavailableError,
    Operation,
    SaveSnapshot,
    SaveTerm,
    StoredShard,
    StoredSnapshot,
    TruncateLog,
)
from bellweir.ledger.log_events import JOURNAL_DAMAGED

DATABASE_NAME = "ledger.sqlite3"
DATABASE_SUFFIXES = ("", "-journal", "-wal", "-shm")
"""Of the files that sqlite3 keeps for a database."""
MARK_NAME = "ledger.mark"
MARK_FORMAT = struct.Struct("<QQ")
"""Number of the last durable group, and the checksum of that number."""
MARK_SLOTS = 64
MARKS_SYNCED = MARK_SLOTS // 2
"""The mark file is synced once in so many groups, before its ring comes round."""
PASSING_CODES = (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_NOMEM, sqlite3.SQLITE_CANTOPEN)
"""What sqlite3 says of a process that lacks memory or descriptors, not of its files."""

SCHEMA = """
CREATE TABLE IF NOT EXISTS identity (disk TEXT NOT NULL, last_group INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS terms (
    shard INTEGER PRIMARY KEY, generation INTEGER NOT NULL, term INTEGER NOT NULL,
    voted_for BLOB NOT NULL, checksum INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS snapshots (
    shard INTEGER PRIMARY KEY, last_index INTEGER NOT NULL, term INTEGER NOT NULL,
    replicas BLOB NOT NULL, state BLOB NOT NULL, checksum INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS entries (
    shard INTEGER NOT NULL, position INTEGER NOT NULL, term INTEGER NOT NULL,
    kind INTEGER NOT NULL, payload BLOB NOT NULL, checksum INTEGER NOT NULL,
    PRIMARY KEY (shard, position)) WITHOUT ROWID;
"""


class SqliteJournal(Journal):
    """The journal of one node, in `ledger.sqlite3` of its data folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        make_folder(folder)
        self._folder = folder
        self._group = 0
        self._disk = ""
        self._mark = os.open(folder / MARK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        self._connection: sqlite3.Connection
        self._is_open = False

    @property
    def disk(self) -> str:
        """Identity of the disk, known once `load` has run."""
        return self._disk

    def load(self) -> tuple[StoredShard, ...]:
        """Read everything; damage is reported, and what is whole is kept under a new identity.

        What is given back is durable: a former process may have been killed before its sync, and
        a replica answers for what it has read. Raises `JournalUnavailableError` when the files
        can't be opened or written now, which says nothing of them.
        """
        with self._write_lock:
            if self._closed:
                raise JournalClosedError("the journal is closed")
            return self._load_and_write()

    def _load_and_write(self) -> tuple[StoredShard, ...]:
        try:
            shards = self._load()
            # A replica that can read but not write would be a voter that never answers.
            self._write(())
        except (OSError, MemoryError, sqlite3.OperationalError) as failure:
            raise JournalUnavailableError(f"{self._folder}: {failure!r}") from failure
        return shards

    def _load(self) -> tuple[StoredShard, ...]:
        self._sync_files()
        shards: Sequence[StoredShard] = ()
        try:
            self._open()
            shards, findings = self._read_shards()
            findings += self._identity_findings()
        except Exception as failure:
            if _is_passing(failure):
                raise
            # Damaged bytes make sqlite3 and the decoders raise whatever they like.
            shards, findings = (), [repr(failure)]
        if findings:
            emit(JOURNAL_DAMAGED, folder=str(self._folder), findings=findings)
            self._start_over(shards)
        # Names that sqlite3 removes without a sync come back with the power. The journal of a
        # first transaction would empty the database.
        sync_folder(self._folder)
        return tuple(shards)

    def _release(self) -> None:
        os.close(self._mark)
        self._close_database()

    def _close_database(self) -> None:
        if self._is_open:
            self._is_open = False
            self._connection.close()

    def _sync_files(self) -> None:
        # Before sqlite3 opens them: closing a second descriptor would give up its locks.
        for suffix in DATABASE_SUFFIXES:
            sync_file(self._folder / (DATABASE_NAME + suffix))
        os.fdatasync(self._mark)

    def _open(self) -> None:
        path = self._folder / DATABASE_NAME
        self._connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self._is_open = True
        # One process uses the file; without the mode, WAL wants memory shared between processes.
        self._connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        self._connection.execute("PRAGMA journal_mode=WAL")
        self._connection.execute("PRAGMA synchronous=FULL")
        self._connection.executescript(SCHEMA)

    def _start_over(self, kept: Sequence[StoredShard]) -> None:
        """Put the damaged files aside; begin a new database, under a new identity, with `kept`.

        The mark goes first, durably: whatever a loss of power brings back of the files then, they
        are never again taken for whole.
        """
        os.ftruncate(self._mark, 0)
        os.fdatasync(self._mark)
        self._close_database()
        for suffix in DATABASE_SUFFIXES:
            path = self._folder / (DATABASE_NAME + suffix)
            if path.exists():
                path.replace(path.with_name(f"damaged-{path.name}"))
        sync_folder(self._folder)
        self._open()
        self._begin(kept)

    def _identity_findings(self) -> list[str]:
        row = self._connection.execute("SELECT disk, last_group FROM identity").fetchone()
        marked = self._read_mark()
        if row is None:
            if marked is not None:
                return ["the database is empty but its mark is not"]
            self._begin(())
            return []
        self._disk, self._group = str(row[0]), int(row[1])
        if marked is None:
            return ["the mark file is missing or damaged"]
        if marked > self._group:
            return [f"acknowledged up to group {marked}, found up to {self._group}"]
        return []

    def _begin(self, kept: Sequence[StoredShard]) -> None:
        """Give the empty database an identity and what is kept, both or neither."""
        self._disk = uuid.uuid4().hex[:16]
        self._group = 1
        with self._connection:
            self._connection.execute("BEGIN")
            self._connection.execute("INSERT INTO identity VALUES (?, ?)", (self._disk, 1))
            for stored in kept:
                for operation in _operations_of(stored):
                    self._write_one(operation)
        # Marks of a former identity are of higher groups.
        os.ftruncate(self._mark, 0)
        self._write_mark()

    # --- reading ------------------------------------------------------------------------------

    def _read_shards(self) -> tuple[list[StoredShard], list[str]]:
        findings: list[str] = []
        shards = [
            self._read_shard(row, findings)
            for row in self._connection.execute("SELECT * FROM terms ORDER BY shard").fetchall()
        ]
        known = {stored.shard for stored in shards}
        for table in ("snapshots", "entries"):
            rows = self._connection.execute(f"SELECT DISTINCT shard FROM {table}")
            findings += [f"shard {row[0]}: no term" for row in rows if row[0] not in known]
        return shards, findings

    def _read_shard(
        self, row: tuple[int, int, int, bytes, int], findings: list[str]
    ) -> StoredShard:
        shard, generation, term, voted_for, checksum = row
        if checksum != checksum_of(shard, generation, term, voted_for):
            findings.append(f"shard {shard}: bad checksum of its term")
        snapshot = self._read_snapshot(shard, findings)
        first_index = snapshot.index + 1 if snapshot else 1
        entries = self._read_entries(shard, first_index, findings)
        vote = msgspec.msgpack.decode(voted_for, type=ReplicaId | None)
        return StoredShard(shard, generation, term, vote, snapshot, entries)

    def _read_snapshot(self, shard: int, findings: list[str]) -> StoredSnapshot | None:
        row = self._connection.execute(
            "SELECT last_index, term, replicas, state, checksum FROM snapshots WHERE shard = ?",
            (shard,),
        ).fetchone()
        if row is None:
            return None
        index, term, replicas, state, checksum = row
        if checksum != checksum_of(shard, index, term, replicas, state):
            findings.append(f"shard {shard}: bad checksum of its snapshot")
            return None
        return StoredSnapshot(index, term, msgspec.msgpack.decode(replicas, type=ReplicaSet), state)

    def _read_entries(self, shard: int, first_index: int, findings: list[str]) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        rows = self._connection.execute(
            "SELECT position, term, kind, payload, checksum FROM entries "
            "WHERE shard = ? ORDER BY position",
            (shard,),
        )
        for position, term, kind, payload, checksum in rows:
            if position != first_index + len(entries):
                findings.append(f"shard {shard}: entry {first_index + len(entries)} is missing")
                break
            if checksum != checksum_of(shard, position, term, kind, payload):
                findings.append(f"shard {shard}: bad checksum of entry {position}")
                break
            entries.append(Entry(position, term, kind, payload))
        return tuple(entries)

    # --- writing ------------------------------------------------------------------------------

    def _write(self, operations: Sequence[Operation]) -> None:
        connection = self._connection
        with connection:
            connection.execute("BEGIN IMMEDIATE")
            for operation in operations:
                self._write_one(operation)
            connection.execute("UPDATE identity SET last_group = ?", (self._group + 1,))
        self._group += 1
        self._write_mark()

    def _write_one(self, operation: Operation) -> None:
        match operation:
            case AppendEntries(shard, entries):
                self._connection.executemany(
                    "INSERT INTO entries VALUES (?, ?, ?, ?, ?, ?)",
                    [_row_of(shard, entry) for entry in entries],
                )
            case SaveTerm(shard, generation, term, voted_for):
                vote = msgspec.msgpack.encode(voted_for)
                self._connection.execute(
                    "INSERT OR REPLACE INTO terms VALUES (?, ?, ?, ?, ?)",
                    (shard, generation, term, vote, checksum_of(shard, generation, term, vote)),
                )
            case SaveSnapshot(shard, snapshot):
                self._save_snapshot(shard, snapshot)
            case TruncateLog(shard, from_index):
                self._delete_from(shard, from_index)
            case ForgetShard(shard):
                for table in ("terms", "snapshots", "entries"):
                    self._connection.execute(f"DELETE FROM {table} WHERE shard = ?", (shard,))

    def _delete_from(self, shard: int, index: int) -> None:
        self._connection.execute(
            "DELETE FROM entries WHERE shard = ? AND position >= ?", (shard, index)
        )

    def _save_snapshot(self, shard: int, snapshot: StoredSnapshot) -> None:
        replicas = snapshot.replicas.encode()
        checksum = checksum_of(shard, snapshot.index, snapshot.term, replicas, snapshot.state)
        self._connection.execute(
            "INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?, ?, ?, ?)",
            (shard, snapshot.index, snapshot.term, replicas, snapshot.state, checksum),
        )
        self._connection.execute(
            "DELETE FROM entries WHERE shard = ? AND position <= ?", (shard, snapshot.index)
        )

    # --- the mark -----------------------------------------------------------------------------

    def _write_mark(self) -> None:
        # Behind the commit and mostly without a sync of its own: after a crash of the process it
        # is exact, after a loss of power it can only be too old, never too new.
        mark = MARK_FORMAT.pack(self._group, checksum_of(self._group) & 0xFFFFFFFF)
        os.pwrite(self._mark, mark, self._group % MARK_SLOTS * MARK_FORMAT.size)
        if self._group % MARKS_SYNCED == 1:
            os.fdatasync(self._mark)

    def _read_mark(self) -> int | None:
        """The newest whole mark; None when there is none."""
        content = os.pread(self._mark, MARK_SLOTS * MARK_FORMAT.size, 0)
        whole = len(content) - len(content) % MARK_FORMAT.size
        marks = [
            group
            for group, checksum in MARK_FORMAT.iter_unpack(content[:whole])
            if checksum == checksum_of(group) & 0xFFFFFFFF
        ]
        return max(marks, default=None)


def _is_passing(failure: Exception) -> bool:
    """Whether the files could not be read for want of something that a later start may have."""
    if isinstance(failure, sqlite3.OperationalError):
        # Only what comes from sqlite3 itself bears a code.
        return getattr(failure, "sqlite_errorcode", 0) & 0xFF in PASSING_CODES
    return isinstance(failure, (MemoryError, OSError))


def checksum_of(*fields: int | bytes) -> int:
    """Checksum of a row's fields, as a signed 63-bit number that sqlite3 can hold."""
    digest = xxhash.xxh3_64()
    for field in fields:
        digest.update(field if isinstance(field, bytes) else b"%d;" % field)
    return digest.intdigest() >> 1


def _row_of(shard: int, entry: Entry) -> tuple[int, int, int, int, bytes, int]:
    index, term, kind, payload = entry.index, entry.term, int(entry.kind), entry.payload
    checksum = checksum_of(shard, index, term, kind, payload)
    return (shard, index, term, kind, payload, checksum)


def _operations_of(stored: StoredShard) -> list[Operation]:
    operations: list[Operation] = [
        SaveTerm(stored.shard, stored.generation, stored.term, stored.voted_for)
    ]
    if stored.snapshot is not None:
        operations.append(SaveSnapshot(stored.shard, stored.snapshot))
    if stored.entries:
        operations.append(AppendEntries(stored.shard, stored.entries))
    return operations
