"""Stand-in for the platform's object API: versions, compare-and-set, watches, compaction."""

import threading
import time
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from bellweir.platform.answers import ErrorBody
from bellweir.platform.interface import (
    MUTATION_ANNOTATION,
    ErrorKind,
    ObjectChange,
    ObjectList,
    StoredObject,
)
from bellweir.platform.object_api import Deletion, WatchLine
from bellweir_rehearsal.standins.base import (
    LINES_TYPE,
    RefusalError,
    Request,
    Response,
    Standin,
    StandinOptions,
    StreamBody,
    json_response,
    line,
)
from bellweir_rehearsal.standins.faults import FaultKind, FaultOrder
from bellweir_rehearsal.standins.runlog import Record

HEARTBEAT_S = 1.0
MAXIMUM_WATCH_S = 600.0
OBJECTS_PREFIX = "/objects/"

Key = tuple[str, str]


@dataclass(frozen=True)
class ObjectApiOptions(StandinOptions):
    """Options of the object API."""

    name: str = "object-api"
    kept_changes: int = 1000
    """Changes that a watch can start from; older ones are compacted."""
    maximum_watches: int = 6
    """Watches served at once: it can serve a few readers only."""


class ObjectWrite(Record, frozen=True, kw_only=True):
    """A write or deletion that took effect."""

    kind: str
    name: str
    version: int
    """Store revision."""
    deleted: bool
    mutation_id: str | None
    document: Mapping[str, Any]


class WatchOpened(Record, frozen=True, kw_only=True):
    """A watch began."""

    from_revision: int
    watches: int
    """Watches open now, this one included."""


@dataclass(frozen=True)
class _View:
    """A state of the store for lagging reads."""

    time_s: float
    revision: int
    objects: Mapping[Key, StoredObject]


class ObjectStoreState:
    """Objects, their history and the waiting watches; every write makes a new revision."""

    def __init__(self, kept_changes: int) -> None:
        self._kept_changes = kept_changes
        self._condition = threading.Condition()
        self._objects: dict[Key, StoredObject] = {}
        self._changes: deque[ObjectChange] = deque()
        self._compacted_to = 0
        self._views: deque[_View] = deque([_View(time.monotonic(), 0, {})], maxlen=256)

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
            self._objects[kind, name] = stored
            self._record(ObjectChange(stored.version, stored, deleted=False))
        return stored

    def delete(self, kind: str, name: str, expected: int | None) -> ObjectChange:
        """Delete by compare-and-set."""
        with self._condition:
            found = self._objects.get((kind, name))
            if found is None:
                raise RefusalError(ErrorKind.NOT_FOUND, f"no {kind} {name}")
            _check_version(found, expected)
            del self._objects[kind, name]
            change = ObjectChange(self.revision + 1, found, deleted=True)
            self._record(change)
        return change

    def _record(self, change: ObjectChange) -> None:
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


def _check_version(found: StoredObject | None, expected: int | None) -> None:
    if expected is None:
        return
    version = found.version if found is not None else 0
    if version != expected:
        raise RefusalError(ErrorKind.CONFLICT, f"version is {version}, expected {expected}")


class ObjectApiStandin(Standin):
    """The object API."""

    def __init__(self, options: ObjectApiOptions) -> None:
        super().__init__(options)
        self.state = ObjectStoreState(options.kept_changes)
        self._maximum_watches = options.maximum_watches
        self._watch_lock = threading.Lock()
        self._watches = 0

    def inject(self, order: FaultOrder) -> None:
        """Put a fault in force; compaction happens at once."""
        if order.kind is FaultKind.COMPACT:
            self.state.compact()
        else:
            super().inject(order)

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        match request.method, request.path:
            case "GET", "/objects":
                return json_response(self.state.list_objects(self._lag_s()))
            case "GET", "/watch":
                return self._watch(request)
            case "GET", path if path.startswith(OBJECTS_PREFIX):
                return json_response(self.state.get(*_key(path)))
            case "PUT", path if path.startswith(OBJECTS_PREFIX):
                return self._put(request)
            case "DELETE", path if path.startswith(OBJECTS_PREFIX):
                return self._delete(request)
        raise RefusalError(ErrorKind.INVALID, f"no {request.method} {request.path}")

    def _put(self, request: Request) -> Response:
        kind, name = _key(request.path)
        document = msgspec.json.decode(request.body.read(), type=dict[str, Any])
        stored = self.state.put(kind, name, document, _expected(request))
        self._log_write(stored, stored.version, deleted=False)
        return json_response(stored)

    def _delete(self, request: Request) -> Response:
        change = self.state.delete(*_key(request.path), _expected(request))
        self._log_write(change.stored, change.revision, deleted=True)
        return json_response(Deletion(change.revision))

    def _log_write(self, stored: StoredObject, version: int, *, deleted: bool) -> None:
        annotations = stored.document.get("metadata", {}).get("annotations", {})
        record = ObjectWrite(
            standin=self.name,
            kind=stored.kind,
            name=stored.name,
            version=version,
            deleted=deleted,
            mutation_id=annotations.get(MUTATION_ANNOTATION),
            document=stored.document,
        )
        self.log.append(record)

    def _lag_s(self) -> float:
        fault = self.faults.take(FaultKind.LAGGING_READS)
        return fault.delay_s if fault is not None else 0.0

    def _watch(self, request: Request) -> Response:
        from_revision = int(request.query("from", "0") or 0)
        timeout_s = min(float(request.query("timeout", "30") or 30), MAXIMUM_WATCH_S)
        with self._watch_lock:
            if self._watches >= self._maximum_watches:
                raise RefusalError(ErrorKind.OVERLOADED, "too many watches", 1.0)
            self._watches += 1
            watches = self._watches
        self.log.append(
            WatchOpened(standin=self.name, from_revision=from_revision, watches=watches)
        )
        lines = self._watch_lines(request, from_revision, timeout_s)
        return Response(200, StreamBody(lines, self._watch_closed), (LINES_TYPE,))

    def _watch_closed(self) -> None:
        with self._watch_lock:
            self._watches -= 1

    def _watch_lines(self, request: Request, revision: int, timeout_s: float) -> Iterator[bytes]:
        yield line(WatchLine())
        quiet_since_s = time.monotonic()
        while not self.stopping.is_set() and not request.client_gone():
            changes = self.state.changes_after(revision, HEARTBEAT_S, self._lag_s())
            if changes is None:
                yield line(WatchLine(error=ErrorBody(ErrorKind.COMPACTED.value)))
                return
            for change in changes:
                yield line(WatchLine(change=change))
                revision = change.revision
                quiet_since_s = time.monotonic()
            if time.monotonic() - quiet_since_s >= timeout_s:
                return
            if not changes:
                yield line(WatchLine())


def _key(path: str) -> Key:
    kind, _, name = path.removeprefix(OBJECTS_PREFIX).partition("/")
    if not kind or not name or "/" in name:
        raise RefusalError(ErrorKind.INVALID, f"no object path: {path}")
    return kind, name


def _expected(request: Request) -> int | None:
    given = request.query("expectedVersion")
    return int(given) if given is not None else None
