"""Properties of the ledger's files: kills and damage at any byte."""

import errno
import os
import shutil
import tempfile
import threading
from pathlib import Path
from unittest import mock

import hypothesis.strategies as st
from behave import given as given_step
from behave import then
from features.support.ledger_simulation import Disk
from hypothesis import given, settings

from bellweir.ledger import segment_files
from bellweir.ledger.entries import Entry, ReplicaId, ReplicaSet
from bellweir.ledger.journal import (
    AppendEntries,
    JournalClosedError,
    JournalFailedError,
    SaveSnapshot,
    SaveTerm,
    StoredSnapshot,
    TruncateLog,
)
from bellweir.ledger.segment_files import SegmentFiles, digest_of
from bellweir.ledger.sqlite_journal import DATABASE_NAME, MARK_NAME, SqliteJournal

BOUNDED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
WAL_NAME = DATABASE_NAME + "-wal"
FILES = (DATABASE_NAME, WAL_NAME, MARK_NAME)
REPLICAS = ReplicaSet((ReplicaId("a", "disk"),))


def groups():
    """Groups of operations on two shards, as replicas make them."""
    yield [SaveTerm(shard, 1, 1, ReplicaId("a", "disk")) for shard in (0, 1)]
    for first in range(1, 40, 4):
        entries = [Entry(first + at, 1, 1, b"payload %d" % first * 20) for at in range(4)]
        yield [AppendEntries(shard, entries) for shard in (0, 1)]
        if first == 21:
            yield [SaveSnapshot(0, StoredSnapshot(12, 1, REPLICAS, b"state" * 100))]
        if first == 29:
            yield [TruncateLog(1, 31), AppendEntries(1, [Entry(31, 2, 1, b"other")])]
            yield [AppendEntries(1, [Entry(32, 2, 1, b"other")])]


class History:
    """The files of a journal after each group, copied while it was open, and what it then held."""

    def __init__(self):
        self.root = Path(tempfile.mkdtemp(prefix="ledger-journal-"))
        self.held = []
        self.synced_mark = b""
        self.synced_marks = []
        with mock.patch.object(os, "fdatasync", self._note_sync):
            self._write()

    def _note_sync(self, number):
        mark = self.root / "live" / MARK_NAME
        if os.fstat(number).st_ino == mark.stat().st_ino:
            self.synced_mark = mark.read_bytes()

    def _write(self):
        journal = SqliteJournal(self.root / "live")
        journal.load()
        self.disk = journal.disk
        model = Disk(journal.disk)
        self._keep(model)
        for operations in groups():
            for operation in operations:
                journal.buffer(operation)
                model.write(operation)
            journal.sync()
            self._keep(model)
        journal.close()

    def _keep(self, model):
        folder = self.root / f"after-{len(self.held)}"
        folder.mkdir()
        for name in FILES:
            shutil.copy(self.root / "live" / name, folder / name)
        self.held.append(dict(model.shards))
        self.synced_marks.append(self.synced_mark)

    def copy(self, number):
        target = self.root / "copy"
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(self.root / f"after-{number}", target)
        return target

    def close(self):
        shutil.rmtree(self.root)


def load(folder):
    journal = SqliteJournal(folder)
    try:
        return journal.disk, {stored.shard: stored for stored in journal.load()}, journal.disk
    finally:
        journal.close()


def load_again(folder):
    _, shards, disk = load(folder)
    return disk, shards


@then("a ledger journal killed at any byte of a write gives what it had acknowledged")
def then_killed(context):
    history = History()
    context.add_cleanup(history.close)

    @BOUNDED
    @given(number=st.integers(1, len(history.held) - 1), share=st.floats(0, 1))
    def killed(number, share):
        before, after = (history.root / f"after-{at}" for at in (number - 1, number))
        folder = history.copy(number)
        # The group's bytes reach the write-ahead log in order; its mark comes after all of them.
        start, end = ((at / WAL_NAME).stat().st_size for at in (before, after))
        with (folder / WAL_NAME).open("r+b") as file:
            file.truncate(start + int((end - start) * share))
        shutil.copy(before / MARK_NAME, folder / MARK_NAME)
        disk, shards = load_again(folder)
        assert disk == history.disk
        assert shards in (history.held[number - 1], history.held[number])

    killed()


@then("a ledger journal whose unsynced marks are lost or torn keeps its identity and its entries")
def then_power_lost(context):
    history = History()
    context.add_cleanup(history.close)

    @BOUNDED
    @given(
        number=st.integers(1, len(history.held) - 1),
        kept=st.lists(st.sampled_from(("new", "old", "torn")), min_size=64, max_size=64),
    )
    def lost(number, kept):
        folder = history.copy(number)
        synced, written = history.synced_marks[number], (folder / MARK_NAME).read_bytes()
        (folder / MARK_NAME).write_bytes(after_power_loss(synced, written, kept))
        disk, shards = load_again(folder)
        assert disk == history.disk, "a loss of power alone cost the disk its identity"
        assert shards == history.held[number]

    lost()


def after_power_loss(synced, written, kept):
    """What a file holds: each 16 bytes written since its last sync are there, missing or torn."""
    found = bytearray(synced.ljust(len(written), b"\0"))
    for at in range(0, len(written), 16):
        new = written[at : at + 16]
        if bytes(found[at : at + 16]) == new or kept[at // 16 % len(kept)] == "old":
            continue
        torn = kept[at // 16 % len(kept)] == "torn"
        found[at : at + 16] = new[:7] + b"\xa5" * 9 if torn else new
    return bytes(found)


@then("a ledger journal damaged at any byte is whole or has a new identity")
def then_damaged(context):
    history = History()
    context.add_cleanup(history.close)
    found = {"whole": 0, "damaged": 0}

    @settings(parent=BOUNDED, max_examples=120)
    @given(
        number=st.integers(1, len(history.held) - 1),
        name=st.sampled_from((*FILES, WAL_NAME)),
        place=st.floats(0, 1, exclude_max=True),
        how=st.sampled_from(("cut", "flip", "zero", "remove")),
    )
    def damaged(number, name, place, how):
        folder = history.copy(number)
        damage(folder / name, place, how)
        disk, shards = load_again(folder)
        if disk == history.disk:
            assert shards == history.held[number], "acknowledged data was dropped in silence"
            found["whole"] += 1
            return
        found["damaged"] += 1
        for shard, stored in shards.items():
            assert_was_held(stored, [held[shard] for held in history.held[1 : number + 1]])
        # And the new identity lasts.
        assert load_again(folder) == (disk, shards)

    damaged()
    assert min(found.values()) > 10, f"the damage tried is too one-sided: {found}"


def damage(path, place, how):
    if how == "remove":
        path.unlink()
        return
    content = bytearray(path.read_bytes())
    at = int(len(content) * place)
    if how == "cut":
        del content[at:]
    elif content:
        length = 1 if how == "flip" else 512
        for position in range(at, min(at + length, len(content))):
            content[position] = content[position] ^ 0x41 if how == "flip" else 0
    path.write_bytes(content)


def assert_was_held(stored, states):
    """What is kept was acknowledged once; cutting the newest groups brings older ones back."""
    assert stored.snapshot in [state.snapshot for state in states]
    entries = {entry for state in states for entry in state.entries}
    assert set(stored.entries) <= entries


@given_step("a ledger journal whose disk is full")
def given_full(context):
    folder = Path(tempfile.mkdtemp(prefix="ledger-journal-"))
    context.add_cleanup(shutil.rmtree, folder)
    context.journal = SqliteJournal(folder)
    context.add_cleanup(context.journal.close)
    context.journal.load()
    context.journal._connection.execute("PRAGMA max_page_count = 1")


@then("it acknowledges nothing any more")
def then_nothing(context):
    big = [Entry(1, 1, 1, b"x" * 1_000_000)]
    first = context.journal.buffer(AppendEntries(0, big))
    for _ in range(2):
        try:
            context.journal.sync(first)
        except JournalFailedError:
            context.journal._connection.execute("PRAGMA max_page_count = 1000000")
            continue
        raise AssertionError("a failed write was acknowledged")


@then("ledger segments cut at any byte keep all whole blobs and give no other ones")
def then_segments(context):
    root = Path(tempfile.mkdtemp(prefix="ledger-segments-"))
    context.add_cleanup(shutil.rmtree, root)
    blobs = [bytes([number]) * (100 * number + 1) for number in range(12)]
    files = SegmentFiles(root / "live", 1000.0)
    ends = []
    for blob in blobs:
        files.append(blob)
        ends.append(next((root / "live").glob("*.bin")).stat().st_size)
    files.close()

    @BOUNDED
    @given(share=st.floats(0, 1), flips=st.lists(st.floats(0, 1, exclude_max=True), max_size=2))
    def cut(share, flips):
        copy = root / "copy"
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(root / "live", copy)
        path = next(copy.glob("*.bin"))
        content = bytearray(path.read_bytes())
        del content[int(len(content) * share) :]
        for place in flips:
            if content:
                content[int(len(content) * place)] ^= 0x41
        path.write_bytes(content)
        again = SegmentFiles(copy, 1000.0)
        for blob, end in zip(blobs, ends, strict=True):
            found = again.read(digest_of(blob))
            assert found in (None, blob)
            assert found == blob or end > len(content) or flips, "a whole blob was lost"
        again.append(b"new")
        assert again.read(digest_of(b"new")) == b"new"
        again.close()

    cut()


class FailingSystem:
    """The calls of `os`, of which the next ones of some names fail."""

    def __init__(self, **failures):
        self._failures = failures

    def __getattr__(self, name):
        if self._failures.get(name, 0):
            self._failures[name] -= 1
            return self._fail
        return getattr(os, name)

    def _fail(self, *_arguments):
        raise OSError(errno.EIO, "made by the test")


def _put_fails(files, blob):
    try:
        files.append(blob)
    except OSError:
        return True
    return False


def _segments(context):
    root = Path(tempfile.mkdtemp(prefix="ledger-segments-"))
    context.add_cleanup(shutil.rmtree, root)
    return root, SegmentFiles(root, 1000.0)


@then("a segment whose sync failed is not held, and is written again when it is put again")
def then_failed_sync(context):
    root, files = _segments(context)
    files.append(b"before")
    with mock.patch.object(segment_files, "os", FailingSystem(fdatasync=1)):
        assert _put_fails(files, b"lost")
    assert not files.holds(digest_of(b"lost"))
    first = next(root.glob("*.bin")).read_bytes()
    assert b"lost" not in first, "the next start would take it for durable"
    files.append(b"lost")
    assert files.read(digest_of(b"lost")) == b"lost"
    assert files.read(digest_of(b"before")) == b"before"
    files.close()
    again = SegmentFiles(root, 1000.0)
    assert [again.read(digest_of(blob)) for blob in (b"before", b"lost")] == [b"before", b"lost"]
    again.close()


@then("others that waited for the same sync are not acknowledged either")
def then_others_fail(context):
    _, files = _segments(context)
    blobs = [b"blob %d" % number for number in range(6)]
    outcomes = {}

    def put(blob):
        outcomes[blob] = not _put_fails(files, blob)

    with mock.patch.object(segment_files, "os", FailingSystem(fdatasync=1)):
        with files._sync_lock:
            writers = [threading.Thread(target=put, args=(blob,)) for blob in blobs]
            for writer in writers:
                writer.start()
            context.wait_until(lambda: len(files._index) == len(blobs), "all are written")
        for writer in writers:
            writer.join()
    assert outcomes == dict.fromkeys(blobs, False), outcomes
    assert not any(files.holds(digest_of(blob)) for blob in blobs)
    files.close()


@then("a next segment file that can't be opened leaves all other files alone")
def then_failed_open(context):
    root, files = _segments(context)
    files.append(b"first")
    with mock.patch.object(segment_files, "FILE_BYTES", 1):
        with mock.patch.object(segment_files, "os", FailingSystem(open=1)):
            assert _put_fails(files, b"second")
        # It gets the number of the descriptor that was closed.
        with (root / "another").open("w+b") as another:
            files.append(b"third")
            another.seek(0)
            assert another.read() == b"", "written to another file"
    blobs = (b"first", b"second", b"third")
    assert [files.read(digest_of(blob)) for blob in blobs] == list(blobs)
    files.close()


CLOSER_WAIT_S = 0.3
"""Time for which the reading waits for a closing that should wait for it."""


class JournalClosedWhileRead(SqliteJournal):
    """Another thread closes it before its first shard has been read."""

    closer = None

    def _read_shard(self, row, findings):
        if self.closer is None:
            self.closer = threading.Thread(target=self.close)
            self.closer.start()
            self.closer.join(CLOSER_WAIT_S)
        return super()._read_shard(row, findings)


@then("a ledger journal closed in the middle of its reading gives everything first, and keeps it")
def then_closed_while_read(context):
    history = History()
    context.add_cleanup(history.close)
    folder = history.copy(len(history.held) - 1)
    journal = JournalClosedWhileRead(folder)
    try:
        found = {stored.shard: stored for stored in journal.load()}
    finally:
        journal.closer.join()
    assert found == history.held[-1]
    assert journal.disk == history.disk
    try:
        journal.sync(journal.buffer(SaveTerm(0, 1, 9, None)))
    except JournalClosedError:
        pass
    else:
        raise AssertionError("a journal that is closed wrote")
    assert load_again(folder) == (history.disk, history.held[-1])
