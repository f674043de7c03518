"""Client of the object API; wire format in docs/PLATFORM.md."""

import copy
import http.client
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from returns.result import Failure, Result, Success

from bellweir.clients.answers import STATUS_OK, ErrorBody, decode_answer, decode_json, refusal
from bellweir.clients.interface import (
    MUTATION_ANNOTATION,
    ErrorKind,
    ObjectChange,
    ObjectList,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import ConnectionPool, HttpCall

WATCH_MARGIN_S = 5.0
"""A watch without a line for its time-out and this much more is given up as lost."""
JSON_HEADERS = {"Content-Type": "application/json"}


class WatchLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a watch: a change, an error, or neither as a heartbeat."""

    change: ObjectChange | None = None
    error: ErrorBody | None = None


class Deletion(msgspec.Struct, frozen=True):
    """Answer to a deletion."""

    revision: int


class HttpObjectStore(ObjectStore):
    """Speaks to the object API over a pool of connections."""

    def __init__(self, pool: ConnectionPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    def list_objects(self) -> Result[ObjectList, PlatformError]:
        """Read all objects; repeated once when the connection was lost."""
        answer = self._pool.call_repeatable(HttpCall("GET", "/objects", self._timeout_s))
        return answer.bind(lambda found: decode_answer(found, ObjectList))

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object; repeated once when the connection was lost."""
        answer = self._pool.call_repeatable(
            HttpCall("GET", _object_path(kind, name), self._timeout_s)
        )
        return answer.bind(lambda found: decode_answer(found, StoredObject))

    def put(
        self, document: Mapping[str, Any], expected_version: int | None, mutation_id: str
    ) -> Result[StoredObject, PlatformError]:
        """Write one object once; never repeated here, since a lost answer proves nothing."""
        marked = with_mutation_id(document, mutation_id)
        path = _object_path(marked["kind"], marked["metadata"]["name"])
        if expected_version is not None:
            path += "?" + urlencode({"expectedVersion": expected_version})
        body = msgspec.json.encode(marked)
        answer = self._pool.call(HttpCall("PUT", path, self._timeout_s, JSON_HEADERS, body))
        return answer.bind(lambda found: decode_answer(found, StoredObject, writes=True))

    def delete(self, kind: str, name: str, expected_version: int) -> Result[int, PlatformError]:
        """Delete one version; never repeated here."""
        query = urlencode({"expectedVersion": expected_version})
        path = f"{_object_path(kind, name)}?{query}"
        answer = self._pool.call(HttpCall("DELETE", path, self._timeout_s))
        decoded = answer.bind(lambda found: decode_answer(found, Deletion, writes=True))
        return decoded.map(lambda deletion: deletion.revision)

    def watch(
        self, from_revision: int, timeout_s: float
    ) -> Iterator[Result[ObjectChange, PlatformError]]:
        """Stream changes until `timeout_s` passed without one, or an error."""
        query = urlencode({"from": from_revision, "timeout": timeout_s})
        call = HttpCall("GET", f"/watch?{query}", self._timeout_s)
        opened = self._pool.open(call, None)
        if not isinstance(opened, Success):
            yield Failure(opened.failure())
            return
        answer = opened.unwrap()
        try:
            yield from _changes(answer, timeout_s)
        except (OSError, http.client.HTTPException, ValueError) as failure:
            yield Failure(PlatformError(ErrorKind.UNKNOWN, f"watch cut: {failure!r}"))
        finally:
            answer.finish()


def with_mutation_id(document: Mapping[str, Any], mutation_id: str) -> dict[str, Any]:
    """Return a copy of `document` whose annotations name the mutation."""
    marked = copy.deepcopy(dict(document))
    metadata = marked.setdefault("metadata", {})
    metadata.setdefault("annotations", {})[MUTATION_ANNOTATION] = mutation_id
    return marked


def _changes(answer: OpenAnswer, timeout_s: float) -> Iterator[Result[ObjectChange, PlatformError]]:
    if answer.status != STATUS_OK:
        yield Failure(refusal(answer.status, answer.headers, answer.read_all()))
        return
    answer.set_timeout(timeout_s + WATCH_MARGIN_S)
    for line in answer.read_lines():
        answer.set_timeout(timeout_s + WATCH_MARGIN_S)
        parsed = decode_json(line, WatchLine)
        if parsed.error is not None:
            yield Failure(PlatformError(ErrorKind(parsed.error.error), parsed.error.detail))
            return
        if parsed.change is not None:
            yield Success(parsed.change)


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"
