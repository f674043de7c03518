"""A table of documents with one revision, which moves forwards only.

Not safe for threads; its holder guards it.
"""

from collections import deque
from collections.abc import Iterable
from enum import Enum

import xxhash

from bellweir.configuration.messages import NOT_LOADED, Change, TablePosition

HISTORY_CHANGES = 4096
"""Changes kept for peers that are behind and for watches."""
HISTORY_BYTES = 4 << 20
"""Bytes of documents kept in the history."""

Key = tuple[str, str]
"""Kind and name."""


class ApplyOutcome(Enum):
    """What became of an update."""

    APPLIED = "applied"
    OLD = "old"
    """The table is already there or further."""
    GAP = "gap"
    """The update starts after a revision that the table has not reached."""
    DIVERGED = "diverged"
    """The update does not lead to the checksum it names; a whole snapshot is needed."""


def key_of(change: Change) -> Key:
    """Kind and name of the entry that a change is about."""
    return change.kind, change.name


def fingerprint(change: Change) -> int:
    """64 bits that differ for entries that differ in key, version or document."""
    if change.document is None:
        return 0
    digest = xxhash.xxh64(f"{change.kind}/{change.name}\0".encode())
    digest.update(change.document)
    return digest.intdigest()


def newest_of_each(changes: Iterable[Change]) -> dict[Key, Change]:
    """The last change of each entry, in the order of these last changes."""
    newest: dict[Key, Change] = {}
    for change in changes:
        newest.pop(key_of(change), None)
        newest[key_of(change)] = change
    return newest


class ReplicatedTable:
    """Entries by kind and name as of one revision, and the changes that led there."""

    def __init__(self) -> None:
        self.revision = NOT_LOADED
        self.checksum = 0
        self.entries: dict[Key, Change] = {}
        self._history: deque[Change] = deque()
        self._history_bytes = 0
        self._history_start = NOT_LOADED
        """Every change after this revision is in the history."""
        self._skipped: deque[tuple[int, int]] = deque()
        """Spans crossed by a whole table: what came and went inside them was never seen."""

    @property
    def loaded(self) -> bool:
        """Whether the table has ever been filled."""
        return self.revision != NOT_LOADED

    @property
    def position(self) -> TablePosition:
        """Revision and checksum."""
        return TablePosition(self.revision, self.checksum)

    def apply(self, after: int, position: TablePosition, changes: Iterable[Change]) -> ApplyOutcome:
        """Apply all changes between two revisions, or nothing."""
        if position.revision <= self.revision:
            return ApplyOutcome.OLD
        if after > self.revision or not self.loaded:
            return ApplyOutcome.GAP
        newer = newest_of_each(change for change in changes if change.version > self.revision)
        if self._checksum_after(newer.values()) != position.checksum:
            return ApplyOutcome.DIVERGED
        self._commit(position.revision, newer.values())
        return ApplyOutcome.APPLIED

    def append(self, revision: int, changes: Iterable[Change]) -> bool:
        """Apply the changes that follow the table's own revision; False when they are old."""
        if revision <= self.revision or not self.loaded:
            return False
        self._commit(revision, newest_of_each(changes).values())
        return True

    def adopt(self, revision: int, entries: Iterable[Change]) -> tuple[Change, ...] | None:
        """Replace the whole table by a newer one; the differences, or None when it is old.

        The differences enter the history, so that peers and watches that are where this table
        was, or before, go on without a gap. The revision of a deletion is not known then; the
        table's new one stands for it.
        """
        if revision <= self.revision:
            return None
        wanted = {key_of(entry): entry for entry in entries}
        changes = [entry for key, entry in wanted.items() if self.entries.get(key) != entry]
        changes += [
            Change(kind, name, revision, None)
            for kind, name in self.entries
            if (kind, name) not in wanted
        ]
        changes.sort(key=lambda change: change.version)
        if self.loaded:
            self._skipped.append((self.revision, revision))
        else:
            self._history_start = revision
        self._commit(revision, changes, keep_history=self.loaded)
        return tuple(changes)

    def repair(self, entries: Iterable[Change]) -> tuple[Change, ...]:
        """Replace the entries at the same revision, after a divergence; the differences."""
        wanted = {key_of(entry): entry for entry in entries}
        revision = self.revision
        changes = [entry for key, entry in wanted.items() if self.entries.get(key) != entry]
        changes += [
            Change(kind, name, revision, None)
            for kind, name in self.entries
            if (kind, name) not in wanted
        ]
        self._commit(revision, changes, keep_history=False)
        self._forget_history()
        return tuple(changes)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """The newest change of each entry after a revision; None when no longer kept."""
        if not self.loaded or revision < self._history_start:
            return None
        if any(start < revision < end for start, end in self._skipped):
            return None
        recent = (change for change in self._history if change.version > revision)
        return tuple(newest_of_each(recent).values())

    def _checksum_after(self, changes: Iterable[Change]) -> int:
        checksum = self.checksum
        for change in changes:
            before = self.entries.get(key_of(change))
            if before is not None:
                checksum ^= fingerprint(before)
            checksum ^= fingerprint(change)
        return checksum

    def _commit(
        self, revision: int, changes: Iterable[Change], *, keep_history: bool = True
    ) -> None:
        changes = tuple(changes)
        self.checksum = self._checksum_after(changes)
        for change in changes:
            if change.document is None:
                self.entries.pop(key_of(change), None)
            else:
                self.entries[key_of(change)] = change
            if keep_history:
                self._remember(change)
        self.revision = revision

    def _remember(self, change: Change) -> None:
        self._history.append(change)
        self._history_bytes += len(change.document or b"")
        while len(self._history) > HISTORY_CHANGES or self._history_bytes > HISTORY_BYTES:
            dropped = self._history.popleft()
            self._history_bytes -= len(dropped.document or b"")
            self._history_start = max(self._history_start, dropped.version)
        while self._skipped and self._skipped[0][1] <= self._history_start:
            self._skipped.popleft()

    def _forget_history(self) -> None:
        self._history.clear()
        self._skipped.clear()
        self._history_bytes = 0
        self._history_start = self.revision
