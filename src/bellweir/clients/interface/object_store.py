"""The platform's object API: versions, compare-and-set writes, watches."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Result

from bellweir.clients.interface.errors import PlatformError


@dataclass(frozen=True)
class StoredObject:
    """One object of the platform's store: a resource document with its version."""

    kind: str
    name: str
    version: int
    """Store revision of the object's last write."""
    document: Mapping[str, Any]
    """The resource document (apiVersion, kind, metadata, spec, status) without the version."""


@dataclass(frozen=True)
class ObjectList:
    """All objects as of one store revision."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class ObjectChange:
    """One change seen by a watch; `deleted` objects carry their last document."""

    revision: int
    stored: StoredObject
    deleted: bool


MUTATION_ANNOTATION = "bellweir.dev/mutation-id"
"""Annotation in which a written document carries the id of its write."""


class ObjectStore(ABC):
    """The platform's object API with versions and watches; it can serve a few readers only."""

    @abstractmethod
    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """Read all objects."""

    @abstractmethod
    def watch(
        self, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ObjectChange, PlatformError]]:
        """Yield changes after `from_revision` until `timeout_s` without change, or an error.

        An error ends the iteration; `COMPACTED` asks for a new list.
        """

    @abstractmethod
    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object, linearizably."""

    @abstractmethod
    def put(
        self, document: Mapping[str, Any], expected_version: int | None, mutation_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Write one object. `expected_version` 0 creates; a number replaces that version.

        `mutation_id` is stored in the document's metadata annotations, so that after an
        `UNKNOWN` answer the writer can read back whether its write took effect.
        """

    @abstractmethod
    def delete(self, kind: str, name: str, expected_version: int) -> Result[int, PlatformError]:
        """Delete that version; the success is the store revision of the deletion."""


class ObjectStoreProvider(ABC):
    """Makes the client of the object API. Service `platform`."""

    @abstractmethod
    def object_store(self) -> ObjectStore:
        """Client of the object API."""
