"""What all stand-ins share: HTTP in, typed answers out, faults, the log, start and stop."""

import json
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any, BinaryIO
from urllib.parse import parse_qs

import msgspec
from waitress.channel import ClientDisconnected

from bellweir.clients.answers import ErrorBody
from bellweir.clients.interface import ErrorKind
from bellweir_rehearsal.standins.faults import FaultBoard, FaultKind, FaultOrder
from bellweir_rehearsal.standins.records import AnswerDropped
from bellweir_rehearsal.standins.runlog import RunLog
from bellweir_rehearsal.standins.server import WsgiServer

JSON_TYPE = ("Content-Type", "application/json")
LINES_TYPE = ("Content-Type", "application/jsonl")
FAULTS_PATH = "/faults"

STATUS_OF_ERROR = {
    ErrorKind.CONFLICT: 409,
    ErrorKind.FENCED: 409,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.COMPACTED: 410,
    ErrorKind.INVALID: 400,
    ErrorKind.OVERLOADED: 503,
    ErrorKind.LEAVING: 503,
    ErrorKind.NOT_RUN: 503,
    ErrorKind.UNKNOWN: 500,
}


@dataclass(frozen=True)
class StandinOptions:
    """Options that all stand-ins share."""

    name: str = "standin"
    host: str = "127.0.0.1"
    port: int = 0
    """0 lets the system choose."""
    log_path: Path | None = None
    """File of JSON lines; without one the records are kept in memory."""
    threads: int = 64
    """Calls that run at once, streams included."""


@dataclass(frozen=True)
class Request:
    """One HTTP request."""

    method: str
    path: str
    """Decoded path without the query."""
    raw_query: str
    headers: Mapping[str, str]
    """By lower-case name."""
    body: BinaryIO
    client_gone: Callable[[], bool]
    """Whether the client has closed its connection."""

    def query(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a query parameter."""
        values = parse_qs(self.raw_query).get(name)
        return values[0] if values else default


class StreamBody:
    """Body of blocks with a clean-up that runs once, also when no block was ever asked for.

    A generator alone would not do: closing one that never started runs none of its code.
    """

    def __init__(self, blocks: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._blocks = iter(blocks)
        self._on_close = on_close
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Return the blocks."""
        return self._blocks

    def close(self) -> None:
        """Clean up; called by the server when the answer has ended, whichever way."""
        if not self._closed:
            self._closed = True
            self._on_close()


@dataclass(frozen=True)
class Response:
    """One HTTP answer; with a body of blocks it is sent in chunks as they come."""

    status: int = 200
    body: bytes | StreamBody = b""
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)


@dataclass
class RefusalError(Exception):
    """Raised by a handler to refuse a call; nothing was run."""

    kind: ErrorKind
    detail: str = ""
    retry_after_s: float | None = None


def json_response(value: object, status: int = 200) -> Response:
    """Return `value` as JSON."""
    return Response(status, msgspec.json.encode(value))


def line(value: object) -> bytes:
    """Return `value` as one JSON line."""
    return msgspec.json.encode(value) + b"\n"


@dataclass
class _Parked:
    lock: threading.Lock = field(default_factory=threading.Lock)
    count: int = 0


class Standin(ABC):
    """One stand-in: `start`, use it at `address`, `stop`."""

    def __init__(self, options: StandinOptions) -> None:
        self.name = options.name
        self.log = RunLog(options.name, options.log_path)
        self.faults = FaultBoard()
        self.stopping = threading.Event()
        self._threads = options.threads
        self._parked = _Parked()
        self._server = WsgiServer(self._serve, options.host, options.port, options.threads)

    @property
    def address(self) -> str:
        """`host:port`."""
        return self._server.address

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Cut what is in hand and end every thread; safe to call twice."""
        self.stopping.set()
        self.faults.clear()
        self._server.stop()
        self.log.close()

    @abstractmethod
    def handle(self, request: Request) -> Response:
        """Answer one call; raise `RefusalError` to refuse it."""

    def _serve(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        request = _request(environ)
        if request.path == FAULTS_PATH:
            response = self._control_faults(request)
        else:
            self._suffer_before(request)
            response = self._suffer_after(request, self._answer(request))
        headers = list(response.headers)
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} {HTTPStatus(response.status).phrase}", headers)
        if request.method == "HEAD":
            _close(response.body)
            return []
        return [response.body] if isinstance(response.body, bytes) else response.body

    def _answer(self, request: Request) -> Response:
        try:
            if self.faults.take(FaultKind.REFUSE, request.method, request.path):
                raise RefusalError(ErrorKind.OVERLOADED, "fault injected", 1.0)
            return self.handle(request)
        except RefusalError as refused:
            return _refused(refused)
        except (msgspec.MsgspecError, RecursionError) as failure:
            return _refused(RefusalError(ErrorKind.INVALID, str(failure)))

    def _suffer_before(self, request: Request) -> None:
        call = (request.method, request.path)
        if self.faults.take(FaultKind.DOWN, *call):
            raise ClientDisconnected
        slow = self.faults.take(FaultKind.SLOW, *call)
        if slow is not None:
            self.stopping.wait(slow.delay_s)
        self._hang(request)

    def _hang(self, request: Request) -> None:
        with self._parked.lock:
            # Calls that hang hold a thread each; the last few stay free so that the fault can
            # still be ended from outside.
            crowded = self._parked.count >= self._threads // 2
            self._parked.count += 1
        try:
            if not crowded:
                self.faults.wait_while(FaultKind.HANG, request.method, request.path)
            elif self.faults.take(FaultKind.HANG, request.method, request.path):
                raise ClientDisconnected
        finally:
            with self._parked.lock:
                self._parked.count -= 1
        if self.stopping.is_set():
            raise ClientDisconnected

    def _suffer_after(self, request: Request, response: Response) -> Response:
        call = (request.method, request.path)
        if self.faults.take(FaultKind.ANSWER_LOST, *call):
            self._log_dropped(request)
            _close(response.body)
            raise ClientDisconnected
        if isinstance(response.body, bytes) and self.faults.take(FaultKind.ANSWER_CUT, *call):
            self._log_dropped(request)
            cut = StreamBody(_half(response.body), lambda: None)
            length = ("Content-Length", str(len(response.body)))
            return Response(response.status, cut, (*response.headers, length))
        return response

    def _log_dropped(self, request: Request) -> None:
        self.log.append(AnswerDropped(standin=self.name, method=request.method, path=request.path))

    def _control_faults(self, request: Request) -> Response:
        if request.method == "POST":
            try:
                order = msgspec.json.decode(request.body.read(), type=FaultOrder)
            except msgspec.MsgspecError as failure:
                return _refused(RefusalError(ErrorKind.INVALID, str(failure)))
            self.inject(order)
        elif request.method == "DELETE":
            self.clear_faults()
        return json_response(self.faults.in_force())

    def inject(self, order: FaultOrder) -> None:
        """Put a fault in force."""
        self.faults.inject(order)

    def clear_faults(self) -> None:
        """End all faults."""
        self.faults.clear()


def _request(environ: dict[str, Any]) -> Request:
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    for key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        if environ.get(key):
            headers[key.replace("_", "-").lower()] = environ[key]
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"].encode("latin-1").decode(errors="replace"),
        environ.get("QUERY_STRING", ""),
        headers,
        environ["wsgi.input"],
        environ["waitress.client_disconnected"],
    )


def _refused(refused: RefusalError) -> Response:
    headers: tuple[tuple[str, str], ...] = (JSON_TYPE,)
    if refused.retry_after_s is not None:
        headers += (("Retry-After", f"{refused.retry_after_s:g}"),)
    body = msgspec.json.encode(ErrorBody(refused.kind.value, refused.detail))
    return Response(STATUS_OF_ERROR[refused.kind], body, headers)


def _close(body: bytes | StreamBody) -> None:
    if isinstance(body, StreamBody):
        body.close()


def _half(body: bytes) -> Iterator[bytes]:
    yield body[: max(1, len(body) // 2)]
    raise ClientDisconnected


def write_ready_file(path: Path, name: str, address: str) -> None:
    """Write name and address as JSON, whole at once."""
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps({"name": name, "address": address}))
    partial.replace(path)
