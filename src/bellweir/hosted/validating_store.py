"""Store wrapper that hides invalid entries; see `entries`."""

from typing import Any

from returns.result import Result, Success

from bellweir.hosted.entries import EntryValidator
from bellweir.hosted.interface import Changes, Listing, RecordStore, StoredRecord, StoreError


class ValidatingStore(RecordStore):
    """Filters invalid entries out of the lists and watches of an inner store."""

    def __init__(self, inner: RecordStore, entries: EntryValidator) -> None:
        self._inner = inner
        self._entries = entries

    def list_kind(self, kind: str, *, stale: bool = False) -> Result[Listing, StoreError]:
        """List the valid objects of a kind."""
        return self._inner.list_kind(kind, stale=stale).map(self._entries.validate_listing)

    def read(self, kind: str, name: str) -> Result[StoredRecord, StoreError]:
        """Read one object, valid or not: the caller needs its revision to replace it."""
        found = self._inner.read(kind, name)
        if isinstance(found, Success):
            self._entries.is_usable(found.unwrap())
        return found

    def watch(self, kind: str, revision: int, wait_s: float) -> Result[Changes, StoreError]:
        """Watch; objects that became invalid are reported as deleted."""
        return self._inner.watch(kind, revision, wait_s).map(self._entries.validate_changes)

    def interrupt_watches(self, kind: str) -> None:
        """Make the pending watches fail."""
        self._inner.interrupt_watches(kind)

    def create(self, kind: str, name: str, spec: Any) -> Result[StoredRecord, StoreError]:
        """Create an object."""
        return self._inner.create(kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's spec."""
        return self._inner.replace(kind, name, spec, revision)

    def replace_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> Result[StoredRecord, StoreError]:
        """Replace an object's status."""
        return self._inner.replace_status(kind, name, status, revision)

    def delete(self, kind: str, name: str, revision: int | None) -> Result[None, StoreError]:
        """Delete an object."""
        return self._inner.delete(kind, name, revision)
