"""Stand-in for an application worker: runs requests, logs every run, answers what it ran."""

import hashlib
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from bellweir.clients.application import (
    ATTEMPT_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    STATE_PATH,
)
from bellweir.clients.interface import ApplicationState
from bellweir_rehearsal.standins.base import (
    JSON_TYPE,
    Request,
    Response,
    Standin,
    StandinOptions,
    StreamBody,
    json_response,
)
from bellweir_rehearsal.standins.records import LeavingChanged, WorkRefused
from bellweir_rehearsal.standins.runlog import Record

LEAVE_PATH = "/-/leave"
RETURN_PATH = "/-/return"
ECHO_PATH = "/echo"
HEADERS_PATH = "/headers"
BYTES_PREFIX = "/bytes/"
BLOCK_BYTES = 64 * 1024
MAXIMUM_GENERATED_BYTES = 1 << 31


@dataclass(frozen=True)
class PathTime:
    """Service time of the paths with a prefix; the longest prefix counts."""

    prefix: str
    service_time_s: float


@dataclass(frozen=True)
class ApplicationOptions(StandinOptions):
    """Options of an application worker."""

    name: str = "application"
    service_time_s: float = 0.005
    """Wall time that a request takes where no path says otherwise."""
    path_times: tuple[PathTime, ...] = ()
    concurrency: int = 32
    """Requests run at once; others wait."""
    maximum_waiting: int = 256
    """Requests that may wait; more are refused as overloaded."""


class ApplicationRun(Record, frozen=True, kw_only=True):
    """A request was run; written as it begins, so that no run is missing after a crash."""

    run: int
    attempt_id: str | None
    request_id: str | None
    """Header `X-Request-Id`."""
    idempotency_key: str | None
    method: str
    path: str
    query: str
    body_sha256: str
    body_bytes: int


class RunAnswer(msgspec.Struct, frozen=True):
    """Body of an answer: what the worker ran."""

    worker: str
    run: int
    attempt_id: str | None
    method: str
    path: str
    query: str
    body_sha256: str
    body_bytes: int


@dataclass
class _Load:
    running: int = 0
    waiting: int = 0
    runs: int = 0


class ApplicationStandin(Standin):
    """An application worker.

    `/echo` answers the request's body, `/headers` its headers, `/bytes/N` N bytes in chunks, every
    other path a `RunAnswer`. `POST /-/leave` and `/-/return` take it out of service and back.
    """

    def __init__(self, options: ApplicationOptions) -> None:
        super().__init__(options)
        self._options = options
        self._condition = threading.Condition()
        self._load = _Load()
        self._leaving = False

    def handle(self, request: Request) -> Response:
        """Answer one call."""
        if request.path == STATE_PATH:
            return json_response(self._state())
        if request.method == "POST" and request.path in (LEAVE_PATH, RETURN_PATH):
            self.set_leaving(leaving=request.path == LEAVE_PATH)
            return json_response(self._state())
        if self._leaving:
            return self._refuse(request, "leaving")
        run = self._begin()
        if run is None:
            return self._refuse(request, "overloaded")
        try:
            return self._run(request, run)
        finally:
            self._end()

    def set_leaving(self, *, leaving: bool) -> None:
        """Refuse new requests, or take them again."""
        self._leaving = leaving
        self.log.append(LeavingChanged(standin=self.name, leaving=leaving))

    def _refuse(self, request: Request, reason: str) -> Response:
        self.log.append(
            WorkRefused(
                standin=self.name,
                attempt_id=request.headers.get(ATTEMPT_HEADER.lower()),
                request_id=request.headers.get("x-request-id"),
                reason=reason,
            )
        )
        return _not_run(reason)

    def _state(self) -> ApplicationState:
        return ApplicationState(self.name, not self._leaving, self._leaving, self._load.running)

    def _begin(self) -> int | None:
        with self._condition:
            if self._load.waiting >= self._options.maximum_waiting:
                return None
            self._load.waiting += 1
            self._condition.wait_for(
                lambda: self._load.running < self._options.concurrency or self.stopping.is_set()
            )
            self._load.waiting -= 1
            self._load.running += 1
            self._load.runs += 1
            return self._load.runs

    def _end(self) -> None:
        with self._condition:
            self._load.running -= 1
            self._condition.notify()

    def _run(self, request: Request, run: int) -> Response:
        body = request.body.read()
        answer = self._log_run(request, run, body)
        self.stopping.wait(self._service_time_s(request.path))
        headers: tuple[tuple[str, str], ...] = (("X-Worker", self.name), ("X-Run", str(answer.run)))
        if self._leaving:
            headers += ((LEAVING_HEADER, "1"),)
        if request.path == ECHO_PATH:
            return Response(200, body, (*headers, ("Content-Type", "application/octet-stream")))
        if request.path == HEADERS_PATH:
            return Response(200, msgspec.json.encode(request.headers), (*headers, JSON_TYPE))
        if request.path.startswith(BYTES_PREFIX):
            count = min(MAXIMUM_GENERATED_BYTES, int(request.path.removeprefix(BYTES_PREFIX)))
            blocks = StreamBody(generated_bytes(count), lambda: None)
            return Response(200, blocks, (*headers, ("Content-Type", "application/octet-stream")))
        return Response(200, msgspec.json.encode(answer), (*headers, JSON_TYPE))

    def _log_run(self, request: Request, run: int, body: bytes) -> RunAnswer:
        digest = hashlib.sha256(body).hexdigest()
        attempt_id = request.headers.get(ATTEMPT_HEADER.lower())
        self.log.append(
            ApplicationRun(
                standin=self.name,
                run=run,
                attempt_id=attempt_id,
                request_id=request.headers.get("x-request-id"),
                idempotency_key=request.headers.get("idempotency-key"),
                method=request.method,
                path=request.path,
                query=request.raw_query,
                body_sha256=digest,
                body_bytes=len(body),
            )
        )
        return RunAnswer(
            self.name,
            run,
            attempt_id,
            request.method,
            request.path,
            request.raw_query,
            digest,
            len(body),
        )

    def _service_time_s(self, path: str) -> float:
        matching = [found for found in self._options.path_times if path.startswith(found.prefix)]
        if not matching:
            return self._options.service_time_s
        return max(matching, key=lambda found: len(found.prefix)).service_time_s


def generated_bytes(count: int) -> Iterator[bytes]:
    """Yield `count` bytes in blocks; byte i is i modulo 251."""
    period = bytes(range(251))
    pattern = period * (2 + BLOCK_BYTES // len(period))
    sent = 0
    while sent < count:
        size = min(BLOCK_BYTES, count - sent)
        offset = sent % len(period)
        yield pattern[offset : offset + size]
        sent += size


def _not_run(reason: str) -> Response:
    headers = ((NOT_RUN_HEADER, reason), ("Retry-After", "1"), JSON_TYPE)
    return Response(503, b"{}", headers)
