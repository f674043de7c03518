"""Compare-and-set writes to the platform's store whose outcome is known also after a lost answer.

Each write carries an id, and each document the ids of its last writes. When an answer is lost,
the document is read again:

- it carries the id: the write took effect, also if another one followed it;
- the version to be replaced is still there: the same write is sent again, which is safe, as only
  one of the two can find that version;
- it was replaced by writes whose ids reach back to the version that was to be replaced, and the
  id is not among them: the write has not taken effect, and now never will;
- otherwise nothing is proved, and the outcome is reported as unknown.
"""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from bellweir.clients.interface import ErrorKind, ObjectStore, PlatformError, StoredObject
from bellweir.events.log import emit
from bellweir.resources.documents import MUTATIONS_ANNOTATION, conflict_findings
from bellweir.resources.interface import ResourceError, ResourceErrorKind
from bellweir.resources.log_events import WRITE_READ_BACK

KEPT_MUTATIONS = 8
"""Write ids kept in a document."""
READ_BACK_ATTEMPTS = 4


def mutations_of(document: Mapping[str, Any]) -> tuple[str, ...]:
    """The ids of a document's last writes, newest first."""
    annotations = document.get("metadata", {}).get("annotations", {})
    return tuple(str(annotations.get(MUTATIONS_ANNOTATION, "")).split())


def _with_mutation(
    document: Mapping[str, Any], base: StoredObject | None, mutation: str
) -> dict[str, Any]:
    earlier = () if base is None else mutations_of(base.document)
    ids = " ".join((mutation, *earlier)[:KEPT_MUTATIONS])
    metadata = dict(document["metadata"])
    metadata["annotations"] = {**metadata.get("annotations", {}), MUTATIONS_ANNOTATION: ids}
    return {**document, "metadata": metadata}


@dataclass(frozen=True)
class _Write:
    """A write under way."""

    document: Mapping[str, Any]
    base: StoredObject | None
    """What it replaces; None for a creation."""
    mutation: str


class CompareAndSetWriter:
    """Writes and deletes objects of the store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def put(
        self, document: Mapping[str, Any], base: StoredObject | None
    ) -> Result[StoredObject, ResourceError]:
        """Write a document over `base`, or create it when there is none."""
        mutation = uuid.uuid4().hex
        write = _Write(_with_mutation(document, base, mutation), base, mutation)
        answer = self._send(write)
        lost = False
        for _ in range(READ_BACK_ATTEMPTS):
            match answer:
                case Success(stored):
                    return Success(stored)
                case Failure(failure):
                    pass
            if failure.kind not in (ErrorKind.UNKNOWN, ErrorKind.CONFLICT, ErrorKind.NOT_FOUND):
                # Nothing but a lost answer leaves the first attempt open.
                return Failure(_unknown(failure) if lost else error_of(failure))
            lost = lost or failure.kind is ErrorKind.UNKNOWN
            verdict = self._read_back(write, lost=lost)
            if verdict is not None:
                if lost:
                    _log(write, verdict)
                return verdict
            answer = self._send(write)
        match answer:
            case Success(stored):
                return Success(stored)
            case Failure(failure):
                return Failure(_unknown(failure))
        raise AssertionError("a result is a success or a failure")

    def delete(self, base: StoredObject) -> Result[int, ResourceError]:
        """Delete the version `base`; the success is the store's revision, or one before it."""
        lost = False
        for _ in range(READ_BACK_ATTEMPTS):
            match self._store.delete(base.kind, base.name, base.version):
                case Success(revision):
                    return Success(revision)
                case Failure(failure):
                    pass
            lost = lost or failure.kind is ErrorKind.UNKNOWN
            if failure.kind is ErrorKind.NOT_FOUND and lost:
                return Success(base.version + 1)
            if failure.kind is ErrorKind.CONFLICT and lost:
                return self._changed_or_unknown(base)
            if failure.kind is ErrorKind.CONFLICT:
                return Failure(self._conflict(base.document, base))
            if failure.kind is not ErrorKind.UNKNOWN:
                return Failure(_unknown(failure) if lost else error_of(failure))
        return Failure(_unknown(failure))

    def _send(self, write: _Write) -> Result[StoredObject, PlatformError]:
        expected = 0 if write.base is None else write.base.version
        return self._store.put(write.document, expected, write.mutation)

    def _read_back(
        self, write: _Write, *, lost: bool
    ) -> Result[StoredObject, ResourceError] | None:
        """What became of a write; None when it may be sent again."""
        kind, name = write.document["kind"], write.document["metadata"]["name"]
        match self._store.get(kind, name):
            case Success(current):
                return _judge(current, write, lost=lost)
            case Failure(failure) if failure.kind is ErrorKind.NOT_FOUND:
                return Failure(_absent(kind, name, write.base, lost=lost))
            case Failure(failure) if lost:
                return Failure(_unknown(failure))
        return Failure(_changed_by_another(kind, name))

    def _changed_or_unknown(self, base: StoredObject) -> Result[int, ResourceError]:
        match self._store.get(base.kind, base.name):
            case Success(current) if _reaches_back(mutations_of(current.document), base):
                return Failure(conflict(current, base.document, base.version))
            case Failure(failure) if failure.kind is ErrorKind.NOT_FOUND:
                return Success(base.version + 1)
        detail = "the answer was lost, and the resource has been written again since"
        return Failure(ResourceError(ResourceErrorKind.UNKNOWN, detail))

    def _conflict(self, document: Mapping[str, Any], base: StoredObject) -> ResourceError:
        match self._store.get(base.kind, base.name):
            case Success(current):
                return conflict(current, document, base.version)
        return _changed_by_another(base.kind, base.name)


def _judge(
    current: StoredObject, write: _Write, *, lost: bool
) -> Result[StoredObject, ResourceError] | None:
    """What the object as it is now tells of a write; None when it may be sent again."""
    ids = mutations_of(current.document)
    if write.mutation in ids:
        # Taken effect; when other writes followed, the caller gets what they made of it.
        return Success(current)
    if write.base is not None and current.version == write.base.version:
        return None
    if not lost or _reaches_back(ids, write.base):
        return Failure(conflict(current, write.document, _version(write.base)))
    detail = (
        f"the answer was lost, and {current.kind} {current.name} has been written too often "
        "since to tell whether the write took effect"
    )
    return Failure(ResourceError(ResourceErrorKind.UNKNOWN, detail))


def _log(write: _Write, verdict: Result[StoredObject, ResourceError]) -> None:
    match verdict:
        case Success(_):
            said = "took effect"
        case Failure(error):
            said = error.kind.value
    kind, name = write.document["kind"], write.document["metadata"]["name"]
    emit(WRITE_READ_BACK, kind=kind, name=name, mutation=write.mutation, verdict=said)


def _changed_by_another(kind: str, name: str) -> ResourceError:
    return ResourceError(ResourceErrorKind.CONFLICT, f"{kind} {name} was changed by another")


def _reaches_back(ids: tuple[str, ...], base: StoredObject | None) -> bool:
    """Whether the ids cover every write since `base`: one of them wrote it.

    Nothing covers a creation: it may have been deleted again before another one followed.
    """
    if base is None:
        return False
    wrote_base = mutations_of(base.document)[:1]
    return bool(wrote_base) and wrote_base[0] in ids


def _version(base: StoredObject | None) -> int | None:
    return None if base is None else base.version


def conflict(
    current: StoredObject, written: Mapping[str, Any], expected: int | None
) -> ResourceError:
    """The error for a write over a version that is no longer there, with what changed."""
    findings = conflict_findings(current.document, written)
    changed = ", ".join(finding.path for finding in findings) or "status only"
    meant = "a creation" if expected is None else f"for version {expected}"
    return ResourceError(
        ResourceErrorKind.CONFLICT,
        f"{current.kind} {current.name} is at version {current.version}, the write was {meant}; "
        f"changed: {changed}",
        findings,
    )


def _absent(kind: str, name: str, base: StoredObject | None, *, lost: bool) -> ResourceError:
    """The error for a write whose object is not there.

    A lost creation is not sent again: it may have taken effect and been deleted since, and a
    second one would undo that deletion.
    """
    if lost:
        detail = f"the answer was lost, and there is no {kind} {name} now; repeat if still wanted"
        return ResourceError(ResourceErrorKind.UNKNOWN, detail)
    if base is None:
        return ResourceError(ResourceErrorKind.CONFLICT, f"{kind} {name} existed a moment ago")
    return ResourceError(ResourceErrorKind.NOT_FOUND, f"{kind} {name} was deleted meanwhile")


def _unknown(failure: PlatformError) -> ResourceError:
    return ResourceError(
        ResourceErrorKind.UNKNOWN,
        f"the store's answer was lost and could not be read back: {failure.detail}",
    )


_KINDS_OF_ERROR = {
    ErrorKind.CONFLICT: ResourceErrorKind.CONFLICT,
    ErrorKind.NOT_FOUND: ResourceErrorKind.NOT_FOUND,
    ErrorKind.COMPACTED: ResourceErrorKind.COMPACTED,
    ErrorKind.INVALID: ResourceErrorKind.INVALID,
    ErrorKind.UNKNOWN: ResourceErrorKind.UNKNOWN,
}


def error_of(failure: PlatformError) -> ResourceError:
    """The resource error for a store call that surely had no effect."""
    kind = _KINDS_OF_ERROR.get(failure.kind, ResourceErrorKind.UNAVAILABLE)
    return ResourceError(kind, failure.detail)
