"""The objects of the stand-in of the hosting platform's store, with revisions and history."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any


class WriteRefusal(Enum):
    """Why a write was not done."""

    MISSING = "missing"
    CONFLICT = "conflict"


@dataclass(frozen=True)
class KeptObject:
    """One object as of one revision."""

    name: str
    revision: int
    created: int
    spec: Any
    status: Any = None

    def document(self) -> dict[str, Any]:
        """The object as the store shows it."""
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created": self.created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": self.spec,
            "status": self.status,
        }


@dataclass(frozen=True)
class KeptChange:
    """One change in the history."""

    revision: int
    kind: str
    found: KeptObject
    deleted: bool


class HistoryGoneError(LookupError):
    """A watch asks for history that was dropped."""


@dataclass
class ObjectRecords:
    """All kinds of objects. Safe for threads; one counter of revisions for all changes."""

    revision: int = 1
    _objects: dict[str, dict[str, KeptObject]] = field(default_factory=dict)
    _history: list[KeptChange] = field(default_factory=list)
    _oldest: int = 1
    _changed: threading.Condition = field(default_factory=threading.Condition)

    def listing(self, kind: str) -> tuple[int, list[KeptObject]]:
        """The store's revision and the objects of a kind by name."""
        with self._changed:
            found = sorted(self._objects.get(kind, {}).values(), key=lambda each: each.name)
            return self.revision, found

    def get(self, kind: str, name: str) -> KeptObject | None:
        """One object."""
        with self._changed:
            return self._objects.get(kind, {}).get(name)

    def create(self, kind: str, name: str, spec: Any) -> KeptObject | WriteRefusal:
        """Create an object."""
        with self._changed:
            if name in self._objects.get(kind, {}):
                return WriteRefusal.CONFLICT
            made = KeptObject(name, self.revision + 1, self.revision + 1, spec)
            return self._keep(kind, made)

    def replace(
        self, kind: str, name: str, revision: int | None, **fields: Any
    ) -> KeptObject | WriteRefusal:
        """Replace `spec` or `status` of an object, if it still has `revision`."""
        with self._changed:
            found = self._objects.get(kind, {}).get(name)
            if found is None:
                return WriteRefusal.MISSING
            if revision is not None and found.revision != revision:
                return WriteRefusal.CONFLICT
            return self._keep(kind, replace(found, revision=self.revision + 1, **fields))

    def put(self, kind: str, name: str, spec: Any) -> KeptObject:
        """Create or replace an object, whatever its revision: the operator's and workers' way."""
        with self._changed:
            found = self._objects.get(kind, {}).get(name)
            created = found.created if found else self.revision + 1
            status = found.status if found else None
            return self._keep(kind, KeptObject(name, self.revision + 1, created, spec, status))

    def delete(self, kind: str, name: str, revision: int | None = None) -> WriteRefusal | None:
        """Remove an object, if it still has `revision`."""
        with self._changed:
            found = self._objects.get(kind, {}).get(name)
            if found is None:
                return WriteRefusal.MISSING
            if revision is not None and found.revision != revision:
                return WriteRefusal.CONFLICT
            del self._objects[kind][name]
            self.revision += 1
            self._note(KeptChange(self.revision, kind, found, True))
            return None

    def changes(self, kind: str, after: int, wait_s: float) -> tuple[int, list[KeptChange]]:
        """The store's revision and the changes after a revision, waiting for the first one.

        Raises `HistoryGoneError`.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._after(kind, after) != [], wait_s)
            if after + 1 < self._oldest:
                raise HistoryGoneError(f"history begins at {self._oldest}")
            return self.revision, self._after(kind, after)

    def compact(self) -> None:
        """Drop the whole history."""
        with self._changed:
            self._history.clear()
            self.revision += 1
            self._oldest = self.revision + 1

    def _after(self, kind: str, after: int) -> list[KeptChange]:
        return [each for each in self._history if each.kind == kind and each.revision > after]

    def _keep(self, kind: str, made: KeptObject) -> KeptObject:
        self._objects.setdefault(kind, {})[made.name] = made
        self.revision = made.revision
        self._note(KeptChange(made.revision, kind, made, False))
        return made

    def _note(self, change: KeptChange) -> None:
        self._history.append(change)
        self._changed.notify_all()


def documents(found: Iterable[KeptObject]) -> list[dict[str, Any]]:
    """Objects as the store shows them."""
    return [each.document() for each in found]
