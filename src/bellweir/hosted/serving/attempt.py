"""A single attempt of a request at a worker, and the connections used for it."""

import http.client
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import BinaryIO

from returns.result import Success

from bellweir.clients.answer_head import SINGLE_FIELDS, Framing
from bellweir.clients.answer_memory import PROCESS_MEMORY, AnswerMemory
from bellweir.clients.interface.errors import ErrorKind
from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import ConnectionPool, HttpCall, is_end_by_peer
from bellweir.events.log import emit
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.log_events import CONNECTION_SILENT
from bellweir.hosted.sight.worker_load import WorkerLoad, parse_load
from bellweir.hosted.views.workers import Worker
from bellweir.http_server.http import HOP_BY_HOP_HEADERS
from bellweir.kernel.clock import elapsed_s

Headers = list[tuple[str, str]]

HOP_BY_HOP = HOP_BY_HOP_HEADERS | {"content-length", "date", "server"}
"""Hop-by-hop headers, and headers that the server sets itself."""
SUCCESS_STATUSES = range(200, 300)
STREAM_STATUS = 200
"""Status of a response whose body is a stream of events; the bodies of others are read whole."""
NOT_RUN_STATUSES = frozenset({421, 429})
"""Statuses that guarantee that the worker has not run the request."""

SILENCE_WINDOW_S = 1.0
COMMON_SILENCE_COUNT = 3
"""Workers with silent connections within the window from which on the network is taken to have
dropped its connections; fewer may be workers whose machines are gone."""


class AttemptState(Enum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    """The worker responded to this request, with any status."""
    REFUSED = "refused"
    """The worker stated that it has not run the request."""
    NOT_SENT = "not_sent"
    """The request did not reach the worker, so it has not run."""
    UNKNOWN = "unknown"
    """May have run: no response, a truncated one, or one to another request."""


@dataclass(frozen=True)
class BufferedResponse:
    """A worker's response with its complete body."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing = Framing.LENGTH
    """What ended the body on the worker's connection."""


@dataclass(frozen=True)
class AttemptOutcome:
    """Result of a completed attempt."""

    state: AttemptState
    detail: str = ""
    response: BufferedResponse | None = None
    """Response of the worker, if any; refusals may have one, too."""
    ended_by_worker: bool = False
    """Whether the worker ended the connection before a whole response."""


@dataclass(frozen=True)
class OpenedAttempt:
    """An attempt whose response headers have been read; the body is read from `opened`."""

    state: AttemptState
    opened: OpenAnswer | None
    detail: str = ""
    ended_by_worker: bool = False
    """Whether the worker ended the connection before a response."""


@dataclass(frozen=True)
class WorkerCall:
    """Request to be sent to a worker."""

    method: str
    path: str
    """Path with query, as the client sent it."""
    host: str
    request_id: str
    headers: Headers
    body: bytes | BinaryIO | None
    gives_up_silent: bool = False
    """End the attempt early if its connection is silent, so that another one may follow."""


class Cancellation:
    """Aborts the current attempt from another thread; also prevents attempts not yet started."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._response: OpenAnswer | None = None
        self.cancelled = threading.Event()

    def attach(self, response: OpenAnswer) -> None:
        """Set the response to abort; aborts it at once if already cancelled."""
        with self._lock:
            self._response = response
        if self.cancelled.is_set():
            response.abort()

    def cancel(self) -> None:
        """Abort the current attempt and prevent further ones."""
        self.cancelled.set()
        with self._lock:
            response = self._response
        if response is not None:
            response.abort()


@dataclass(frozen=True)
class _Silence:
    """A call whose connection turned out to be silent."""

    address: str
    began_s: float
    noted_s: float


class WorkerConnections:
    """Connection pools by worker address."""

    def __init__(
        self,
        headers: HeaderNames,
        on_load: Callable[[Incarnation, WorkerLoad], None] = lambda _worker, _load: None,
        memory: AnswerMemory = PROCESS_MEMORY,
    ) -> None:
        """`on_load` is called with the load that a worker reports in a response header.

        `memory` bounds what responses hold while they are read.
        """
        self._memory = memory
        self.headers = headers
        self._single_fields = SINGLE_FIELDS | headers.of_answers
        self._on_load = on_load
        self.on_stale: Callable[[str], None] = lambda _address: None
        """Called with an address at which an idle connection was found closed by the peer."""
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}
        self._silences: list[_Silence] = []

    def pool(self, address: str) -> ConnectionPool:
        """Return the pool of an address, creating it if needed."""
        with self._lock:
            if address not in self._pools:
                self._pools[address] = ConnectionPool(
                    address,
                    lambda: self.on_stale(address),
                    partial(self._note_silence, address),
                    self._single_fields,
                    self._memory,
                )
            return self._pools[address]

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is open."""
        with self._lock:
            pool = self._pools.get(address)
        return pool is not None and pool.has_idle()

    def renew(self, address: str) -> None:
        """Stop using existing connections to an address, since its worker changed or restarted."""
        with self._lock:
            pool = self._pools.get(address)
        if pool is not None:
            pool.renew()

    def retain(self, addresses: set[str]) -> None:
        """Drop the pools of all addresses but these, closing their idle connections."""
        with self._lock:
            gone = {name: pool for name, pool in self._pools.items() if name not in addresses}
            for name in gone:
                del self._pools[name]
        for pool in gone.values():
            pool.close_idle()

    def _note_silence(self, address: str, began_s: float) -> None:
        """Note a connection that turned out to be silent, in a call begun at a monotonic time.

        If those of several workers do within a short time, the idle connections to the others
        are as doubtful.
        """
        now_s = elapsed_s()
        with self._lock:
            recent = [one for one in self._silences if now_s - one.noted_s <= SILENCE_WINDOW_S]
            self._silences = [*recent, _Silence(address, began_s, now_s)]
            began_s = min(one.began_s for one in self._silences)
            is_common = len({one.address for one in self._silences}) >= COMMON_SILENCE_COUNT
            pools = list(self._pools.values()) if is_common else []
        for pool in pools:
            pool.close_idle_since_before(began_s)
        emit(CONNECTION_SILENT, address=address, is_common=is_common)

    def open(
        self,
        worker: Worker,
        call: WorkerCall,
        timeout_s: float,
        deadline_ms: float,
        cancellation: Cancellation,
    ) -> OpenedAttempt:
        """Send a request and read the response headers.

        Errors raised while the request body is read are propagated.
        """
        names = self.headers
        headers = dict(call.headers)
        headers["Host"] = call.host
        headers[names.request_id] = call.request_id
        headers[names.deadline_ms] = str(max(1, int(deadline_ms)))
        headers[names.expect_instance] = worker.instance
        sent = HttpCall(
            call.method, call.path, timeout_s, headers, gives_up_silent=call.gives_up_silent
        )
        opened = self.pool(worker.address).open(sent, call.body, cancellation.attach)
        if not isinstance(opened, Success):
            error = opened.failure()
            unknown = error.kind is ErrorKind.UNKNOWN
            state = AttemptState.UNKNOWN if unknown else AttemptState.NOT_SENT
            return OpenedAttempt(state, None, error.detail, error.ended_by_peer)
        self._report_load(worker.incarnation, opened.unwrap())
        return self._classify(opened.unwrap(), call.request_id)

    def _report_load(self, worker: Incarnation, opened: OpenAnswer) -> None:
        text = opened.headers.get(self.headers.server_load.lower())
        load = parse_load(text) if text else None
        if load is not None:
            self._on_load(worker, load)

    def _classify(self, opened: OpenAnswer, request_id: str) -> OpenedAttempt:
        names = self.headers
        opened.ends_with_connection = True
        received = opened.headers
        not_run = names.not_executed.lower() in received or opened.status in NOT_RUN_STATUSES
        response_request_id = received.get(names.request_id.lower())
        if response_request_id is None and not_run:
            return OpenedAttempt(AttemptState.REFUSED, opened, f"status {opened.status}")
        if response_request_id != request_id:
            opened.drop()
            detail = f"response to request {response_request_id}"
            return OpenedAttempt(AttemptState.UNKNOWN, None, detail)
        if not_run:
            return OpenedAttempt(AttemptState.REFUSED, opened, f"status {opened.status}")
        if opened.status in SUCCESS_STATUSES and names.stamp.lower() not in received:
            opened.drop()
            return OpenedAttempt(AttemptState.UNKNOWN, None, "success response without a signature")
        return OpenedAttempt(AttemptState.ANSWERED, opened)

    def call(
        self,
        worker: Worker,
        call: WorkerCall,
        timeout_s: float,
        deadline_ms: float,
        cancellation: Cancellation,
    ) -> AttemptOutcome:
        """Send a request and read the complete response."""
        attempt = self.open(worker, call, timeout_s, deadline_ms, cancellation)
        if attempt.opened is None:
            ended = attempt.ended_by_worker
            return AttemptOutcome(attempt.state, attempt.detail, ended_by_worker=ended)
        return read_response(attempt.opened, attempt)


def read_response(opened: OpenAnswer, attempt: OpenedAttempt) -> AttemptOutcome:
    """Read the rest of a response; the outcome of a truncated one is unknown unless refused."""
    try:
        body = opened.read_all()
    except (OSError, http.client.HTTPException, ValueError) as failure:
        opened.drop()
        state = AttemptState.UNKNOWN
        if attempt.state is AttemptState.REFUSED:
            state = attempt.state
        detail = f"response truncated: {failure!r}"
        return AttemptOutcome(state, detail, ended_by_worker=is_end_by_peer(failure))
    response = BufferedResponse(opened.status, response_headers(opened), body, opened.framing)
    opened.finish()
    return AttemptOutcome(attempt.state, attempt.detail, response)


def response_headers(opened: OpenAnswer) -> Headers:
    """Return the headers of a worker's response that are forwarded to the client."""
    return without_hop_by_hop(opened.header_pairs())


def without_hop_by_hop(headers: Headers) -> Headers:
    """Drop hop-by-hop headers, including those named in `Connection`."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return [(key, value) for key, value in headers if key.lower() not in dropped]


class Stopwatch:
    """Measures the time since its creation."""

    def __init__(self, now_s: Callable[[], float] = elapsed_s) -> None:
        self._now_s = now_s
        self._began_s = now_s()

    def seconds(self) -> float:
        """Return the elapsed seconds."""
        return self._now_s() - self._began_s

    def milliseconds(self) -> int:
        """Return the elapsed time, rounded to milliseconds."""
        return round(1000 * self.seconds())
