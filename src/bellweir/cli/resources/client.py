"""HTTP client of a node's resource API."""

import http.client
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from bellweir.clients.answer_reader import AnswerReader, split_lines
from bellweir.resources.interface import ResourceFinding
from bellweir.resources.reference import plural_of

ROOT = "/apis/bellweir.dev/v1"
TIMEOUT_S = 30.0
"""Time for one call, in seconds."""
WATCH_MARGIN_S = 10.0
"""Time beyond a watch's own after which its silence counts as a lost connection, in seconds."""


class CallFailure(Enum):
    """Why a call has no result."""

    UNREACHABLE = "unreachable"
    """The node can't be reached, or what it needs; a write has not taken effect."""
    UNKNOWN = "unknown"
    """The answer to a write was lost."""
    INVALID = "invalid"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    OTHER = "other"


_FAILURE_OF_STATUS = {
    400: CallFailure.INVALID,
    422: CallFailure.INVALID,
    404: CallFailure.NOT_FOUND,
    409: CallFailure.CONFLICT,
    503: CallFailure.UNREACHABLE,
}


@dataclass(frozen=True)
class CallError:
    """A failed call, with the findings of its problem document."""

    failure: CallFailure
    detail: str
    findings: tuple[ResourceFinding, ...] = ()


@dataclass(frozen=True)
class Call:
    """One call."""

    method: str
    path: str
    query: Mapping[str, str]
    document: Mapping[str, Any] | None = None


Answer = Result[dict[str, Any], CallError]


class GatewayClient:
    """Speaks to one node's gateway; a connection for each call."""

    def __init__(self, address: str, token: str | None) -> None:
        self._address = address
        self._token = token

    def list_resources(self, kind: str) -> Answer:
        """All resources of a kind, as `metadata` and `items`."""
        return self._call(Call("GET", _path(kind), {}))

    def get(self, kind: str, name: str) -> Answer:
        """One resource."""
        return self._call(Call("GET", _path(kind, name), {}))

    def create(self, document: Mapping[str, Any], *, dry_run: bool) -> Answer:
        """Create a resource."""
        path = _path(str(document["kind"]))
        return self._call(Call("POST", path, _dry_run(dry_run), document))

    def replace(self, document: Mapping[str, Any], *, dry_run: bool) -> Answer:
        """Replace a resource at the version that its metadata names."""
        path = _path(str(document["kind"]), str(document["metadata"]["name"]))
        return self._call(Call("PUT", path, _dry_run(dry_run), document))

    def delete(self, kind: str, name: str, *, dry_run: bool) -> Answer:
        """Delete a resource."""
        return self._call(Call("DELETE", _path(kind, name), _dry_run(dry_run)))

    def status(self) -> Answer:
        """The node's overview."""
        return self._call(Call("GET", "/status", {}))

    def watch(self, kind: str, revision: int | None, timeout_s: float) -> Iterator[Answer]:
        """Events of a watch as `type` and `object`, until its time is over."""
        query = {"watch": "true", "timeoutSeconds": f"{timeout_s:g}"}
        if revision is not None:
            query["resourceVersion"] = str(revision)
        call = Call("GET", _path(kind), query)
        connection = self._connection(timeout_s + WATCH_MARGIN_S)
        try:
            answer = self._send(connection, call)
            if answer.head.status != http.client.OK:
                yield Failure(_error(answer.head.status, b"".join(answer.read_blocks())))
                return
            for line in split_lines(answer.read_blocks()):
                yield Success(json.loads(line))
        except (OSError, http.client.HTTPException, ValueError) as failure:
            yield Failure(CallError(CallFailure.UNREACHABLE, f"{self._address}: {failure!r}"))
        finally:
            connection.close()

    def _call(self, call: Call) -> Answer:
        connection = self._connection(TIMEOUT_S)
        try:
            try:
                connection.connect()
            except OSError as failure:
                detail = f"{self._address}: {failure}"
                return Failure(CallError(CallFailure.UNREACHABLE, detail))
            return self._answer(connection, call)
        finally:
            connection.close()

    def _answer(self, connection: http.client.HTTPConnection, call: Call) -> Answer:
        try:
            answer = self._send(connection, call)
            body = b"".join(answer.read_blocks())
            if answer.head.status < http.client.MULTIPLE_CHOICES:
                return Success(json.loads(body))
            return Failure(_error(answer.head.status, body))
        except (OSError, http.client.HTTPException, ValueError) as failure:
            reads = call.method == "GET" or call.query.get("dryRun") == "true"
            kind = CallFailure.UNREACHABLE if reads else CallFailure.UNKNOWN
            return Failure(CallError(kind, f"{self._address}: answer lost: {failure!r}"))

    def _connection(self, timeout_s: float) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(self._address, timeout=timeout_s)
        connection.response_class = cast("type[http.client.HTTPResponse]", AnswerReader)
        return connection

    def _send(self, connection: http.client.HTTPConnection, call: Call) -> AnswerReader:
        headers = {"Accept": "application/json"}
        if self._token is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        body = None
        if call.document is not None:
            headers["Content-Type"] = "application/json"
            body = json.dumps(call.document, default=str).encode()
        path = f"{call.path}?{urlencode(call.query)}" if call.query else call.path
        connection.request(call.method, path, body, headers)
        return cast(AnswerReader, connection.getresponse())


def _path(kind: str, name: str | None = None) -> str:
    path = f"{ROOT}/{plural_of(kind)}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _dry_run(dry_run: bool) -> dict[str, str]:
    return {"dryRun": "true"} if dry_run else {}


def _error(status: int, body: bytes) -> CallError:
    """The error of a problem document (RFC 9457)."""
    try:
        problem = json.loads(body)
    except ValueError:
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    failure = _FAILURE_OF_STATUS.get(status, CallFailure.OTHER)
    if problem.get("run_state") == CallFailure.UNKNOWN.value:
        failure = CallFailure.UNKNOWN
    findings = tuple(
        ResourceFinding(str(each["path"]), str(each["found"]), str(each["allowed"]))
        for each in problem.get("findings", ())
    )
    detail = str(problem.get("detail") or f"HTTP status {status}")
    return CallError(failure, detail, findings)
