"""View of the weight versions that trainers have published in the store."""

from collections.abc import Mapping
from types import MappingProxyType

from bellweir.events.log import emit
from bellweir.hosted.entries import UnusableEntryError, named_version
from bellweir.hosted.interface import Listing, RecordChange, StoredRecord
from bellweir.hosted.log_events import VERSION_NAMED


class VersionsView:
    """Newest published version of each model; versions never decrease."""

    def __init__(self) -> None:
        self._versions: Mapping[str, int] = MappingProxyType({})

    def all(self) -> Mapping[str, int]:
        """Return the newest published version by model."""
        return self._versions

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the store."""
        for record in listing.records:
            self._take(record)

    def apply_change(self, change: RecordChange) -> None:
        """Apply a change; the deletion of a version is ignored."""
        if not change.deleted:
            self._take(change.record)

    def _take(self, record: StoredRecord) -> None:
        try:
            named = named_version(record.spec)
        except UnusableEntryError:
            return
        if named.version > self._versions.get(named.model, 0):
            self._versions = MappingProxyType({**self._versions, named.model: named.version})
            emit(VERSION_NAMED, model=named.model, version=named.version)
