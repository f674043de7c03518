"""The ledger's placement document as an object of the hosting platform's store."""

from collections.abc import Iterator, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.clients.interface.errors import ErrorKind, PlatformError
from bellweir.clients.interface.object_store import (
    ObjectChange,
    ObjectList,
    ObjectStore,
    ObjectStoreProvider,
    StoredObject,
)
from bellweir.hosted.entries import invalid_reason
from bellweir.hosted.interface import (
    RecordKind,
    RecordStore,
    StoredRecord,
    StoreError,
    StoreErrorKind,
)
from bellweir.kernel import names
from bellweir.kernel.service import Service

ERROR_KINDS = {
    StoreErrorKind.NOT_FOUND: ErrorKind.NOT_FOUND,
    StoreErrorKind.CONFLICT: ErrorKind.CONFLICT,
    StoreErrorKind.COMPACTED: ErrorKind.COMPACTED,
    StoreErrorKind.NOT_DONE: ErrorKind.NOT_RUN,
    StoreErrorKind.UNKNOWN: ErrorKind.UNKNOWN,
}


class PlacementObjects(ObjectStore):
    """Object store for the ledger's documents, all kept under the kind `LEDGERS`."""

    def __init__(self, store: RecordStore) -> None:
        self._store = store

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read a document."""
        found = self._store.read(RecordKind.LEDGERS, name)
        return found.alt(_error).bind(lambda record: _usable(kind, record))

    def put(
        self, document: Mapping[str, Any], expected_version: int | None, mutation_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Replace a document if it has the expected version; 0 or None creates it."""
        name = document["metadata"]["name"]
        spec = dict(document)
        if not expected_version:
            written = self._store.create(RecordKind.LEDGERS, name, spec)
        else:
            written = self._store.replace(RecordKind.LEDGERS, name, spec, expected_version)
        return written.map(lambda record: _stored(document["kind"], record)).alt(_error)

    def delete(self, kind: str, name: str, expected_version: int) -> Result[int, PlatformError]:
        """Delete a document."""
        deleted = self._store.delete(RecordKind.LEDGERS, name, expected_version)
        return deleted.map(lambda _: expected_version).alt(_error)

    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """List the documents."""
        found = self._store.list_kind(RecordKind.LEDGERS)
        return found.map(
            lambda listing: ObjectList(
                listing.revision,
                tuple(
                    _stored(record.spec["kind"], record)
                    for record in listing.records
                    if invalid_reason(record) is None
                ),
            )
        ).alt(_error)

    def watch(
        self, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ObjectChange, PlatformError]]:
        """Yield the changes of one watch."""
        found = self._store.watch(RecordKind.LEDGERS, from_revision, timeout_s)
        if not isinstance(found, Success):
            yield Failure(_error(found.failure()))
            return
        for change in found.unwrap().changes:
            if invalid_reason(change.record) is not None:
                continue
            stored = _stored(change.record.spec["kind"], change.record)
            yield Success(ObjectChange(change.record.revision, stored, change.deleted))


class PlacementService(Service, ObjectStoreProvider):
    """Service `platform`: provides the ledger's object store."""

    name = names.PLATFORM

    def __init__(self, store: RecordStore) -> None:
        self._store = store

    def start(self) -> None:
        """Nothing to start."""

    def stop(self) -> None:
        """Nothing to stop."""

    def object_store(self) -> ObjectStore:
        """The documents of the ledger."""
        return PlacementObjects(self._store)


def _stored(kind: str, record: StoredRecord) -> StoredObject:
    return StoredObject(kind, record.name, record.revision, record.spec)


def _usable(kind: str, record: StoredRecord) -> Result[StoredObject, PlatformError]:
    cause = invalid_reason(record)
    if cause is not None:
        return Failure(PlatformError(ErrorKind.INVALID, cause))
    return Success(_stored(kind, record))


def _error(error: StoreError) -> PlatformError:
    return PlatformError(ERROR_KINDS[error.kind], error.detail)
