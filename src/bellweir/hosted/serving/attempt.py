"""One attempt at one worker: sent, answered or failed, and what is known of it."""

import http.client
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import BinaryIO

from returns.result import Success

from bellweir.clients.interface.errors import ErrorKind
from bellweir.clients.open_answer import OpenAnswer
from bellweir.clients.pool import ConnectionPool, HttpCall
from bellweir.hosted.incarnation import Incarnation
from bellweir.hosted.interface import HeaderNames
from bellweir.hosted.sight.worker_load import WorkerLoad, parse_load
from bellweir.hosted.views.workers import Worker
from bellweir.http_server.http import HOP_BY_HOP_HEADERS

Headers = list[tuple[str, str]]

HOP_BY_HOP = HOP_BY_HOP_HEADERS | {"content-length", "date", "server"}
"""Headers that concern one connection, and those that the server sets itself."""
SUCCESS_STATUSES = range(200, 300)
NOT_RUN_STATUSES = frozenset({421, 429})
"""Statuses with which a worker surely has not run a request."""


class AttemptState(Enum):
    """What is known of an attempt."""

    ANSWERED = "answered"
    """The worker answered, whatever its status; the answer is its own."""
    REFUSED = "refused"
    """The worker says that it has not run the request."""
    NOT_SENT = "not_sent"
    """Surely not run: nothing reached the worker."""
    UNKNOWN = "unknown"
    """It may have run: no answer, a broken one, or another request's."""


@dataclass(frozen=True)
class BufferedResponse:
    """A worker's answer with its whole body."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class AttemptOutcome:
    """How an attempt ended."""

    state: AttemptState
    detail: str = ""
    answer: BufferedResponse | None = None
    """The worker's answer; also of a refusal, where there was one."""


@dataclass(frozen=True)
class OpenedAttempt:
    """An attempt whose answer's headers are read; its body is to be read from `opened`."""

    state: AttemptState
    opened: OpenAnswer | None
    detail: str = ""


@dataclass(frozen=True)
class WorkerCall:
    """What is sent to a worker."""

    method: str
    path: str
    """Path with query, as the client sent it."""
    host: str
    request_id: str
    headers: Headers
    body: bytes | BinaryIO | None


class Cancellation:
    """Ends the attempt in hand from another thread, once or before it begins."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._answer: OpenAnswer | None = None
        self.cancelled = threading.Event()

    def attach(self, answer: OpenAnswer) -> None:
        """Note the attempt in hand."""
        with self._lock:
            self._answer = answer
        if self.cancelled.is_set():
            answer.abort()

    def cancel(self) -> None:
        """End the attempt in hand, and let none begin."""
        self.cancelled.set()
        with self._lock:
            answer = self._answer
        if answer is not None:
            answer.abort()


class WorkerConnections:
    """Connection pools by worker address."""

    def __init__(
        self,
        headers: HeaderNames,
        on_load: Callable[[Incarnation, WorkerLoad], None] = lambda _worker, _load: None,
    ) -> None:
        """`on_load` gets what a worker says of its own load on an answer."""
        self.headers = headers
        self._on_load = on_load
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def pool(self, address: str) -> ConnectionPool:
        """The pool of one address."""
        with self._lock:
            if address not in self._pools:
                self._pools[address] = ConnectionPool(address)
            return self._pools[address]

    def has_idle(self, address: str) -> bool:
        """Whether a connection to an address is open and free."""
        with self._lock:
            pool = self._pools.get(address)
        return pool is not None and pool.has_idle()

    def renew(self, address: str) -> None:
        """Use no connection of before: another worker is there, or one that started again."""
        with self._lock:
            pool = self._pools.get(address)
        if pool is not None:
            pool.renew()

    def forget_others(self, addresses: set[str]) -> None:
        """Close the idle connections to addresses that no worker has any more."""
        with self._lock:
            gone = {name: pool for name, pool in self._pools.items() if name not in addresses}
            for name in gone:
                del self._pools[name]
        for pool in gone.values():
            pool.close_idle()

    def open(
        self,
        worker: Worker,
        call: WorkerCall,
        timeout_s: float,
        deadline_ms: float,
        cancellation: Cancellation,
    ) -> OpenedAttempt:
        """Send a request and read the answer's headers.

        Raises what reading the body raises.
        """
        names = self.headers
        headers = dict(call.headers)
        headers["Host"] = call.host
        headers[names.request_id] = call.request_id
        headers[names.deadline_ms] = str(max(1, int(deadline_ms)))
        headers[names.expect_instance] = worker.instance
        sent = HttpCall(call.method, call.path, timeout_s, headers)
        opened = self.pool(worker.address).open(sent, call.body, cancellation.attach)
        if not isinstance(opened, Success):
            error = opened.failure()
            unknown = error.kind is ErrorKind.UNKNOWN
            state = AttemptState.UNKNOWN if unknown else AttemptState.NOT_SENT
            return OpenedAttempt(state, None, error.detail)
        self._note_load(worker.incarnation, opened.unwrap())
        return self._judge(opened.unwrap(), call.request_id)

    def _note_load(self, worker: Incarnation, opened: OpenAnswer) -> None:
        text = opened.headers.get(self.headers.server_load.lower())
        load = parse_load(text) if text else None
        if load is not None:
            self._on_load(worker, load)

    def _judge(self, opened: OpenAnswer, request_id: str) -> OpenedAttempt:
        names = self.headers
        opened.ends_with_connection = True
        found = opened.headers
        not_run = names.not_executed.lower() in found or opened.status in NOT_RUN_STATUSES
        answered_id = found.get(names.request_id.lower())
        if answered_id is None and not_run:
            return OpenedAttempt(AttemptState.REFUSED, opened, f"status {opened.status}")
        if answered_id != request_id:
            opened.drop()
            detail = f"an answer to request {answered_id}"
            return OpenedAttempt(AttemptState.UNKNOWN, None, detail)
        if not_run:
            return OpenedAttempt(AttemptState.REFUSED, opened, f"status {opened.status}")
        if opened.status in SUCCESS_STATUSES and names.stamp.lower() not in found:
            opened.drop()
            return OpenedAttempt(AttemptState.UNKNOWN, None, "a success without a signature")
        return OpenedAttempt(AttemptState.ANSWERED, opened)

    def call(
        self,
        worker: Worker,
        call: WorkerCall,
        timeout_s: float,
        deadline_ms: float,
        cancellation: Cancellation,
    ) -> AttemptOutcome:
        """Send a request and read the whole answer."""
        began = self.open(worker, call, timeout_s, deadline_ms, cancellation)
        if began.opened is None:
            return AttemptOutcome(began.state, began.detail)
        return read_response(began.opened, began)


def read_response(opened: OpenAnswer, began: OpenedAttempt) -> AttemptOutcome:
    """Read the rest of an answer; one that is cut leaves its run unknown."""
    try:
        body = opened.read_all()
    except (OSError, http.client.HTTPException, ValueError) as failure:
        opened.drop()
        state = AttemptState.UNKNOWN
        if began.state is AttemptState.REFUSED:
            state = began.state
        return AttemptOutcome(state, f"answer cut: {failure!r}")
    answer = BufferedResponse(opened.status, response_headers(opened), body)
    opened.finish()
    return AttemptOutcome(began.state, began.detail, answer)


def response_headers(opened: OpenAnswer) -> Headers:
    """Headers of a worker's answer that go on to the client."""
    return without_hop_by_hop(list(opened.response.headers.items()))


def without_hop_by_hop(headers: Headers) -> Headers:
    """Drop headers that concern one connection, those named in `Connection` included."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return [(key, value) for key, value in headers if key.lower() not in dropped]


class Stopwatch:
    """Time since its making, in seconds and whole milliseconds."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._began_s = now_s()

    def seconds(self) -> float:
        """Seconds passed."""
        return self._now_s() - self._began_s

    def milliseconds(self) -> int:
        """Whole milliseconds passed."""
        return round(1000 * self.seconds())
