"""Stand-in for the platform's object API: versions, compare-and-set, watches, compaction."""

import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bellweir.clients.answers import ErrorBody
from bellweir.clients.interface import (
    MUTATION_ANNOTATION,
    ErrorKind,
    StoredObject,
)
from bellweir.clients.object_api import Deletion, WatchLine
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
from bellweir_rehearsal.standins.object_state import Key, ObjectStoreState
from bellweir_rehearsal.standins.runlog import Record

HEARTBEAT_S = 1.0
MAXIMUM_WATCH_S = 600.0
OBJECTS_PREFIX = "/objects/"


@dataclass(frozen=True)
class ObjectApiOptions(StandinOptions):
    """Options of the object API."""

    name: str = "object-api"
    kept_changes: int = 1000
    """Changes that a watch can start from; older ones are compacted."""
    maximum_watches: int = 6
    """Watches served at once: it can serve a few readers only."""
    data_path: Path | None = None
    """File that keeps the objects over a restart; without one they are in memory only."""


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


class ObjectApiStandin(Standin):
    """The object API."""

    def __init__(self, options: ObjectApiOptions) -> None:
        super().__init__(options)
        self.state = ObjectStoreState(options.kept_changes, options.data_path)
        self._maximum_watches = options.maximum_watches
        self._watch_lock = threading.Lock()
        self._watches = 0

    def stop(self) -> None:
        """Cut what is in hand and close the file."""
        super().stop()
        self.state.close()

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
            quiet_left_s = quiet_since_s + timeout_s - time.monotonic()
            wait_s = max(0.0, min(HEARTBEAT_S, quiet_left_s))
            changes = self.state.changes_after(revision, wait_s, self._lag_s())
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
