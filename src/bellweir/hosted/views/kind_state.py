"""Local state of all objects of one kind, with a history of recent changes.

The state is updated from the process's own calls to the store and from updates relayed by peers.
Store revisions order both: anything that is not newer than the state is ignored.

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

MAX_RECENT_CHANGES = 1_024
"""Length of the change history; a subscriber that is further behind gets the whole list."""
NEVER_S = float("-inf")


class KindUpdate(msgspec.Struct, frozen=True):
    """Update of one kind, relayed by a peer.

    With a `base`, `records` and `gone` are the changes after that revision; without one, `records`
    is the whole list.
    """

    kind: str
    base: int | None
    revision: int
    records: tuple[Any, ...]
    """Each a `StoredRecord`, decoded one by one when the update is applied."""
    gone: tuple[str, ...]
    age_s: float
    """Seconds since the sender's state was last known to be current."""
    grace_s: float = 0.0
    """Remaining seconds for which deleted objects may come back after an outage of the store."""


class KindState:
    """Objects of a kind by name. Thread-safe; `on_list` and `on_change` run under its lock."""

    __slots__ = (
        "_entries",
        "_history_start",
        "_lacks_record",
        "_lock",
        "_on_change",
        "_on_list",
        "_on_recovery",
        "_recent_changes",
        "_records",
        "current_as_of_s",
        "grace_until_s",
        "kind",
        "on_advance",
        "relayed_as_of_s",
        "revision",
    )

    def __init__(
        self,
        kind: str,
        on_list: Callable[[Listing], None],
        on_change: Callable[[RecordChange], None],
        on_recovery: Callable[[float], None] = lambda _until_s: None,
        entries: EntryValidator | None = None,
    ) -> None:
        """`on_recovery` is called with the time until which expired objects may come back.

        `entries` filters out unusable entries that peers send.
        """
        self.kind = kind
        self.revision: int | None = None
        """Store revision of the state; None before the first list."""
        self.current_as_of_s = NEVER_S
        """Monotonic time at which the state was last known to be current."""
        self.relayed_as_of_s = NEVER_S
        """The same, from relayed updates only."""
        self.on_advance: Callable[[], None] = lambda: None
        """Called after each change of the state, without the lock."""
        self.grace_until_s = NEVER_S
        """Monotonic time until which deleted objects may come back."""
        self._on_list = on_list
        self._on_change = on_change
        self._on_recovery = on_recovery
        self._entries = entries if entries is not None else EntryValidator()
        self._lock = threading.Lock()
        self._records: dict[str, StoredRecord] = {}
        self._recent_changes: deque[tuple[int, str]] = deque(maxlen=MAX_RECENT_CHANGES)
        self._history_start = 0
        """Revision from which on `_recent_changes` is complete."""
        self._lacks_record = False
        """Whether a peer sent a record whose name can't be read, so that any may be out of date."""

    @property
    def complete_revision(self) -> int | None:
        """Revision up to which all objects are known; None if only a whole list can tell."""
        return None if self._lacks_record else self.revision

    def apply_listing(self, listing: Listing, as_of_s: float) -> bool:
        """Apply a whole list; returns False if it is older than the state."""
        with self._lock:
            known = self.revision
            if known is not None and listing.revision < known:
                self._confirm(as_of_s)
                return False
            self._records = {record.name: record for record in listing.records}
            self._lacks_record = False
            if known is None or listing.revision > known:
                # A list does not name the objects that came and went since the known revision.
                # A peer whose state is from between the two may hold them.
                self._recent_changes.clear()
                self._history_start = listing.revision
            self._on_list(listing)
            self.revision = listing.revision
            # Readers without the lock must not see a new age beside the former objects.
            self._confirm(as_of_s)
        self.on_advance()
        return True

    def apply_changes(self, changes: Changes, as_of_s: float) -> None:
        """Apply the changes of a watch."""
        with self._lock:
            if self.revision is None or changes.revision <= self.revision:
                self._confirm(as_of_s)
                return
            # The watch may have started before some of its changes were relayed. Only the last
            # change of each object is certain not to be older than the state.
            latest = {change.record.name: change for change in changes.changes}
            for change in latest.values():
                self._apply(change, changes.revision)
            self.revision = changes.revision
            self._confirm(as_of_s)
        if changes.changes:
            self.on_advance()

    def apply_update(self, update: KindUpdate, now_s: float) -> bool:
        """Apply a relayed update; returns False if changes before it are missing."""
        as_of_s = now_s - update.age_s
        if update.grace_s > 0:
            self.note_recovery(now_s + update.grace_s)
        decoded, unreadable = self._decode_records(update)
        if update.base is None:
            listing = Listing(update.revision, decoded, unreadable)
            self.apply_listing(self._entries.validate_listing(listing), as_of_s)
        elif self.revision is None or update.base > self.revision:
            return False
        else:
            # An unreadable record counts as absent, its former state must not stay.
            absent = [one.name for one in unreadable if one.name is not None]
            gone = [
                RecordChange(self._deleted_record(name), deleted=True)
                for name in (*update.gone, *absent)
            ]
            found = [RecordChange(record, deleted=False) for record in decoded]
            changes = Changes(update.revision, (*gone, *found), unreadable)
            self.apply_changes(self._entries.validate_changes(changes), as_of_s)
            self._lacks_record |= not changes.is_complete
        self.relayed_as_of_s = max(self.relayed_as_of_s, as_of_s)
        return True

    def update_since(self, revision: int | None, now_s: float) -> KindUpdate | None:
        """Return the update for a peer at `revision`; None before the first list."""
        with self._lock:
            if self.revision is None:
                return None
            age_s = max(0.0, now_s - self.current_as_of_s)
            grace_s = max(0.0, self.grace_until_s - now_s)
            if revision is None or revision < self._history_start:
                whole = tuple(self._records.values())
                return KindUpdate(self.kind, None, self.revision, whole, (), age_s, grace_s)
            names = {name for changed_at, name in self._recent_changes if changed_at > revision}
            records = tuple(self._records[name] for name in names if name in self._records)
            gone = tuple(name for name in names if name not in self._records)
            return KindUpdate(self.kind, revision, self.revision, records, gone, age_s, grace_s)

    def note_recovery(self, until_s: float) -> None:
        """Note that the store has recovered; expired entries may come back until then."""
        with self._lock:
            if until_s <= self.grace_until_s:
                return
            self.grace_until_s = until_s
        self._on_recovery(until_s)

    def _confirm(self, as_of_s: float) -> None:
        self.current_as_of_s = max(self.current_as_of_s, as_of_s)

    def _apply(self, change: RecordChange, revision: int) -> None:
        name = change.record.name
        known = self._records.get(name)
        if known is None and change.deleted:
            # A peer whose state is older may hold the object.
            self._record_change(revision, name)
            return
        if known == change.record and not change.deleted:
            return
        if change.deleted:
            del self._records[name]
        else:
            self._records[name] = change.record
        self._record_change(revision, name)
        self._on_change(change)

    def _record_change(self, revision: int, name: str) -> None:
        if len(self._recent_changes) == MAX_RECENT_CHANGES:
            self._history_start = max(self._history_start, self._recent_changes[0][0])
        self._recent_changes.append((revision, name))

    def _decode_records(
        self, update: KindUpdate
    ) -> tuple[tuple[StoredRecord, ...], tuple[UnreadableRecord, ...]]:
        found: list[StoredRecord] = []
        unreadable: list[UnreadableRecord] = []
        for decoded in update.records:
            if isinstance(decoded, StoredRecord):
                found.append(decoded)
                continue
            try:
                found.append(msgspec.convert(decoded, StoredRecord))
            except msgspec.ValidationError as failure:
                cause = validation_message(failure)
                name = _readable_name(decoded)
                unreadable.append(UnreadableRecord(self.kind, name, update.revision, cause))
        return tuple(found), tuple(unreadable)

    def _deleted_record(self, name: str) -> StoredRecord:
        known = self._records.get(name)
        return known if known is not None else StoredRecord(self.kind, name, 0, None)


def _readable_name(decoded: object) -> str | None:
    name = decoded.get("name") if isinstance(decoded, dict) else None
    return name if isinstance(name, str) else None
