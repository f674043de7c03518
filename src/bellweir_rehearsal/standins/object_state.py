"""State of the object API stand-in: objects, history, watches that wait, and a file of changes."""

import threading
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bellweir.clients.interface import ErrorKind, ObjectChange, ObjectList, StoredObject
from bellweir_rehearsal.standins.base import RefusalError

Key = tuple[str, str]


@dataclass(frozen=True)
class _View:
    """A state of the store for lagging reads."""

    time_s: float
    revision: int
    objects: Mapping[Key, StoredObject]


class ObjectStoreState:
    """Objects, their history and the waiting watches; every write makes a new revision."""

    def __init__(self, kept_changes: int, data_path: Path | None = None) -> None:
        self._kept_changes = kept_changes
        self._condition = threading.Condition()
        self._objects: dict[Key, StoredObject] = {}
        self._changes: deque[ObjectChange] = deque()
        self._compacted_to = 0
        self._views: deque[_View] = deque([_View(time.monotonic(), 0, {})], maxlen=256)
        self._file = ChangeFile(data_path) if data_path is not None else None
        if self._file is not None:
            with self._condition:
                for change in self._file.load():
                    self._apply(change)

    @property
    def revision(self) -> int:
        """Revision of the last write."""
        return self._views[-1].revision

    def put(
        self, kind: str, name: str, document: Mapping[str, Any], expected: int | None
    ) -> StoredObject:
        """Write by compare-and-set; `expected` 0 creates, None writes over anything."""
        with self._condition:
            found = self._objects.get((kind, name))
            _check_version(found, expected)
            stored = StoredObject(kind, name, self.revision + 1, document)
            self._record(ObjectChange(stored.version, stored, deleted=False))
        return stored

    def delete(self, kind: str, name: str, expected: int | None) -> ObjectChange:
        """Delete by compare-and-set."""
        with self._condition:
            found = self._objects.get((kind, name))
            if found is None:
                raise RefusalError(ErrorKind.NOT_FOUND, f"no {kind} {name}")
            _check_version(found, expected)
            change = ObjectChange(self.revision + 1, found, deleted=True)
            self._record(change)
        return change

    def _record(self, change: ObjectChange) -> None:
        # The file is written under the lock so that its order is that of the revisions; it is
        # one local write.
        if self._file is not None:
            self._file.append(change)
        self._apply(change)

    def _apply(self, change: ObjectChange) -> None:
        key = (change.stored.kind, change.stored.name)
        if change.deleted:
            del self._objects[key]
        else:
            self._objects[key] = change.stored
        self._changes.append(change)
        while len(self._changes) > self._kept_changes:
            self._compacted_to = self._changes.popleft().revision
        view = _View(time.monotonic(), change.revision, dict(self._objects))
        self._views.append(view)
        self._condition.notify_all()

    def get(self, kind: str, name: str) -> StoredObject:
        """Read one object."""
        with self._condition:
            found = self._objects.get((kind, name))
        if found is None:
            raise RefusalError(ErrorKind.NOT_FOUND, f"no {kind} {name}")
        return found

    def list_objects(self, lag_s: float) -> ObjectList:
        """List the objects as they were `lag_s` ago, as far back as views are kept."""
        view = self._view(lag_s)
        return ObjectList(view.revision, tuple(view.objects.values()))

    def _view(self, lag_s: float) -> _View:
        with self._condition:
            latest_s = time.monotonic() - lag_s
            old_enough = [view for view in self._views if view.time_s <= latest_s]
            return old_enough[-1] if old_enough else self._views[0]

    def changes_after(
        self, revision: int, wait_s: float, lag_s: float
    ) -> tuple[ObjectChange, ...] | None:
        """Return changes after a revision, waiting for the first; None when compacted away."""
        with self._condition:
            if revision < self._compacted_to:
                return None
            if self.revision <= revision:
                self._condition.wait(wait_s)
            if revision < self._compacted_to:
                return None
            found = tuple(change for change in self._changes if change.revision > revision)
        if not lag_s:
            return found
        shown = self._view(lag_s).revision
        return tuple(change for change in found if change.revision <= shown)

    def compact(self) -> None:
        """Forget all changes."""
        with self._condition:
            self._changes.clear()
            self._compacted_to = self.revision
            self._condition.notify_all()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


class ChangeFile:
    """All changes as JSON lines, so that a restarted store goes on from its last revision."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file = path.open("ab", buffering=0)

    def load(self) -> list[ObjectChange]:
        """Read all changes; a last line without its end, from a kill within a write, is cut."""
        whole = self._path.read_bytes().rpartition(b"\n")[0]
        self._file.truncate(len(whole) + 1 if whole else 0)
        return [msgspec.json.decode(line, type=ObjectChange) for line in whole.splitlines()]

    def append(self, change: ObjectChange) -> None:
        """Write one change."""
        self._file.write(msgspec.json.encode(change) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _check_version(found: StoredObject | None, expected: int | None) -> None:
    if expected is None:
        return
    version = found.version if found is not None else 0
    if version != expected:
        raise RefusalError(ErrorKind.CONFLICT, f"version is {version}, expected {expected}")
