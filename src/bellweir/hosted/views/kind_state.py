"""All objects of one kind as this process knows them, and what changed lately.

The state is fed by the process's own calls to the store and by peers that relay theirs. Revisions
of the store order both: whatever is not newer than what is known changes nothing, so the sources
need not agree on who is ahead.

>>> state = KindState("servers", lambda listing: None, lambda change: None)
>>> state.apply_listing(Listing(7, ()), as_of_s=0.0)
True
>>> state.apply_listing(Listing(6, ()), as_of_s=1.0)
False
>>> state.update_since(7, now_s=2.0).age_s
1.0
"""

import threading
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from bellweir.hosted.entries import EntryValidator, validation_message
from bellweir.hosted.interface import (
    Changes,
    Listing,
    RecordChange,
    StoredRecord,
    UnreadableRecord,
)

REMEMBERED_CHANGES = 1_024
"""Changes that are told one by one; who knows less gets the whole list."""
NEVER_S = float("-inf")


class KindUpdate(msgspec.Struct, frozen=True):
    """What a peer tells of one kind.

    With a `base`, `records` and `gone` hold what changed after that revision; without one,
    `records` is the whole list.
    """

    kind: str
    base: int | None
    revision: int
    records: tuple[Any, ...]
    """Each a `StoredRecord`, decoded by itself when the news are taken."""
    gone: tuple[str, ...]
    age_s: float
    """Seconds since the teller was last sure to be in touch with the store."""
    grace_s: float = 0.0
    """Seconds for which objects that are gone may still come back: the store was away."""


class KindState:
    """Objects of a kind by name. Safe for threads; the two callbacks run under its lock."""

    __slots__ = (
        "_entries",
        "_floor",
        "_lock",
        "_on_change",
        "_on_list",
        "_on_return",
        "_recent",
        "_records",
        "advanced",
        "current_as_of_s",
        "grace_until_s",
        "kind",
        "relayed_as_of_s",
        "revision",
    )

    def __init__(
        self,
        kind: str,
        on_list: Callable[[Listing], None],
        on_change: Callable[[RecordChange], None],
        on_return: Callable[[float], None] = lambda _until_s: None,
        entries: EntryValidator | None = None,
    ) -> None:
        """`on_return` hears until when objects may come back whose entries have lapsed.

        `entries` sorts out what peers tell and nobody can use.
        """
        self.kind = kind
        self.revision: int | None = None
        """Store revision up to which all changes are known; None before the first list."""
        self.current_as_of_s = NEVER_S
        """Monotonic time at which the state was last known to be the store's."""
        self.relayed_as_of_s = NEVER_S
        """The same, as peers told it."""
        self.advanced: Callable[[], None] = lambda: None
        """Called after each change of the state, off its lock."""
        self.grace_until_s = NEVER_S
        """Monotonic time until which objects that are gone may come back."""
        self._on_list = on_list
        self._on_change = on_change
        self._on_return = on_return
        self._entries = entries if entries is not None else EntryValidator()
        self._lock = threading.Lock()
        self._records: dict[str, StoredRecord] = {}
        self._recent: deque[tuple[int, str]] = deque(maxlen=REMEMBERED_CHANGES)
        self._floor = 0
        """Revision from which on `_recent` is complete."""

    def apply_listing(self, listing: Listing, as_of_s: float) -> bool:
        """Take a whole list; False when it is older than what is known."""
        with self._lock:
            self._confirm(as_of_s)
            known = self.revision
            if known is not None and listing.revision < known:
                return False
            before = self._records
            self._records = {record.name: record for record in listing.records}
            if known is None:
                self._floor = listing.revision
            for name in before.keys() | self._records.keys():
                if before.get(name) != self._records.get(name):
                    self._remember(listing.revision, name)
            self._on_list(listing)
            self.revision = listing.revision
        self.advanced()
        return True

    def apply_changes(self, changes: Changes, as_of_s: float) -> None:
        """Take what a watch told."""
        with self._lock:
            self._confirm(as_of_s)
            if self.revision is None or changes.revision <= self.revision:
                return
            # A watch may have begun before peers told of some of its changes. Its last word on
            # each object is never older than what is known; the words before may be.
            latest = {change.record.name: change for change in changes.changes}
            for change in latest.values():
                self._apply(change, changes.revision)
            self.revision = changes.revision
        if changes.changes:
            self.advanced()

    def apply_update(self, news: KindUpdate, now_s: float) -> bool:
        """Take what a peer tells; False when changes before it are missing here."""
        as_of_s = now_s - news.age_s
        if news.grace_s > 0:
            self.note_return(now_s + news.grace_s)
        told = self._told_records(news)
        if news.base is None:
            self.apply_listing(
                self._entries.validate_listing(Listing(news.revision, told)), as_of_s
            )
        elif self.revision is None or news.base > self.revision:
            return False
        else:
            gone = [RecordChange(self._gone(name), deleted=True) for name in news.gone]
            found = [RecordChange(record, deleted=False) for record in told]
            changes = Changes(news.revision, (*gone, *found))
            self.apply_changes(self._entries.validate_changes(changes), as_of_s)
        self.relayed_as_of_s = max(self.relayed_as_of_s, as_of_s)
        return True

    def update_since(self, revision: int | None, now_s: float) -> KindUpdate | None:
        """What a peer that knows `revision` lacks; None before the first list."""
        with self._lock:
            if self.revision is None:
                return None
            age_s = max(0.0, now_s - self.current_as_of_s)
            grace_s = max(0.0, self.grace_until_s - now_s)
            if revision is None or revision < self._floor:
                whole = tuple(self._records.values())
                return KindUpdate(self.kind, None, self.revision, whole, (), age_s, grace_s)
            names = {name for changed_at, name in self._recent if changed_at > revision}
            records = tuple(self._records[name] for name in names if name in self._records)
            gone = tuple(name for name in names if name not in self._records)
            return KindUpdate(self.kind, revision, self.revision, records, gone, age_s, grace_s)

    def note_return(self, until_s: float) -> None:
        """Note that the store is back after an outage; entries that lapsed may come back."""
        with self._lock:
            if until_s <= self.grace_until_s:
                return
            self.grace_until_s = until_s
        self._on_return(until_s)

    def confirm(self, as_of_s: float) -> None:
        """Note that the store was in touch at a time, with nothing new to tell."""
        with self._lock:
            self._confirm(as_of_s)

    def _confirm(self, as_of_s: float) -> None:
        self.current_as_of_s = max(self.current_as_of_s, as_of_s)

    def _apply(self, change: RecordChange, revision: int) -> None:
        name = change.record.name
        if self._records.get(name) == (None if change.deleted else change.record):
            return
        if change.deleted:
            self._records.pop(name, None)
        else:
            self._records[name] = change.record
        self._remember(revision, name)
        self._on_change(change)

    def _remember(self, revision: int, name: str) -> None:
        if len(self._recent) == REMEMBERED_CHANGES:
            self._floor = max(self._floor, self._recent[0][0])
        self._recent.append((revision, name))

    def _told_records(self, news: KindUpdate) -> tuple[StoredRecord, ...]:
        found: list[StoredRecord] = []
        for told in news.records:
            if isinstance(told, StoredRecord):
                found.append(told)
                continue
            try:
                found.append(msgspec.convert(told, StoredRecord))
            except msgspec.ValidationError as failure:
                cause = validation_message(failure)
                self._entries.log_invalid_entry(
                    UnreadableRecord(self.kind, None, news.revision, cause)
                )
        return tuple(found)

    def _gone(self, name: str) -> StoredRecord:
        known = self._records.get(name)
        return known if known is not None else StoredRecord(self.kind, name, 0, None)
