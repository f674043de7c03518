"""Pooled HTTP connections to one address, and calls whose failures are typed truthfully.

A failed call is `NOT_RUN` only where that is proved: no connection was made, or not one byte of
the request was handed to the operating system. Everything later is `UNKNOWN`, also when a
kept-alive connection turns out to have been closed by the peer: the request may have been read.
"""

import http.client
import math
import re
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from typing import BinaryIO

from returns.result import Failure, Result, Success

from bellweir.clients.answer_head import SINGLE_FIELDS
from bellweir.clients.answer_memory import PROCESS_MEMORY, AnswerMemory
from bellweir.clients.connection import (
    BodyReadError,
    CountingConnection,
    RequestBody,
    SilentConnectionError,
)
from bellweir.clients.interface import ErrorKind, PlatformError
from bellweir.clients.open_answer import OpenAnswer
from bellweir.kernel.addresses import split_address
from bellweir.kernel.clock import elapsed_s

IDLE_CONNECTIONS = 64
"""Idle connections kept for one address."""
IDLE_LIFETIME_S = 30.0
"""Idle connections older than this are closed, unless the server told a shorter time."""
IDLE_MARGIN_S = 0.5
"""Time before the end of a server's own idle time from which on a connection is not used again."""
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)


@dataclass(frozen=True)
class HttpCall:
    """One HTTP request."""

    method: str
    path: str
    timeout_s: float
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    gives_up_silent: bool = False
    """Fail early if the connection turns out to be silent; for calls that are then repeated."""


@dataclass(frozen=True)
class HttpAnswer:
    """A whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    """By lower-case name; of repeated ones the last."""
    body: bytes


class ConnectionPool:
    """Connections to one `host:port`, reused most recent first."""

    def __init__(
        self,
        address: str,
        on_stale: Callable[[], None] = lambda: None,
        on_silence: Callable[[float], None] = lambda _began_s: None,
        single_fields: frozenset[str] = SINGLE_FIELDS,
        memory: AnswerMemory = PROCESS_MEMORY,
    ) -> None:
        """`on_stale` is called when an idle connection is found closed by the peer.

        `on_silence` is called when the peer's system does not acknowledge a request, with the
        monotonic time at which its call began. `single_fields` are headers of which an answer has
        one value, by lower-case name. `memory` bounds what answers hold while they are read.
        """
        self._memory = memory
        self.address = address
        self._single_fields = single_fields
        self._on_stale = on_stale
        self._on_silence = on_silence
        self._lock = threading.Lock()
        self._idle: list[tuple[CountingConnection, float]] = []
        self._busy: set[CountingConnection] = set()
        self._former: set[CountingConnection] = set()
        """Connections in use that are not to be kept."""
        self._closed = False

    def call(self, call: HttpCall) -> Result[HttpAnswer, PlatformError]:
        """Make a call and read the whole answer."""
        match self.open(call, call.body):
            case Success(opened):
                return self._read_whole(opened)
            case failure:
                return Result.from_failure(failure.failure())

    def call_repeatable(self, call: HttpCall) -> Result[HttpAnswer, PlatformError]:
        """Make a call that does no harm when it runs twice.

        A kept-alive connection may be closed by the peer just as the request is written, so an
        unknown outcome is tried once more while time is left. A silent connection is given up
        early, to leave time for that.
        """
        started_s = elapsed_s()
        first = self.call(replace(call, gives_up_silent=True))
        if isinstance(first, Success) or first.failure().kind is not ErrorKind.UNKNOWN:
            return first
        left_s = call.timeout_s - (elapsed_s() - started_s)
        if left_s <= 0:
            return first
        again = HttpCall(call.method, call.path, left_s, call.headers, call.body)
        return self.call(again)

    def open(
        self,
        call: HttpCall,
        body: BinaryIO | bytes | None,
        begun: Callable[[OpenAnswer], None] = lambda _answer: None,
    ) -> Result[OpenAnswer, PlatformError]:
        """Send a request and read the answer's headers.

        `begun` gets the answer before anything is written, so that another thread may drop it.

        What reading `body` raises is raised again as it is: that is the caller's failure. The
        peer sees its request end short.
        """
        deadline_s = elapsed_s() + call.timeout_s
        try:
            connection = self._take(call, deadline_s)
        except OSError as failure:
            return Failure(PlatformError(ErrorKind.NOT_RUN, f"no connection: {failure}"))
        answer = OpenAnswer(connection, self, self._memory)
        begun(answer)
        # Some servers send a body to HEAD: left on the connection, it would be taken for the
        # answer to the next request.
        answer.reusable = call.method != "HEAD"
        try:
            answer.is_request_sent = _send(connection, call, body)
            answer.read_headers()
        except (OSError, http.client.HTTPException, ValueError) as failure:
            written = connection.deadline_socket.bytes_written
            answer.drop()
            return Failure(_typed_failure(failure, written))
        except BodyReadError as failure:
            answer.drop()
            raise failure.failure from failure
        except BaseException:
            answer.drop()
            raise
        return Success(answer)

    def _read_whole(self, opened: OpenAnswer) -> Result[HttpAnswer, PlatformError]:
        try:
            body = opened.read_all()
        except (OSError, http.client.HTTPException, ValueError) as failure:
            opened.drop()
            return Failure(PlatformError(ErrorKind.UNKNOWN, f"answer cut: {failure!r}"))
        answer = HttpAnswer(opened.status, opened.headers, body)
        opened.finish()
        return Success(answer)

    def _take(self, call: HttpCall, deadline_s: float) -> CountingConnection:
        connection = self._take_idle() or self._connect(deadline_s)
        connection.begin_call(deadline_s, partial(self._note_silence, call, elapsed_s()))
        with self._lock:
            if not self._closed:
                self._busy.add(connection)
                return connection
        connection.close()
        raise ConnectionError("the pool is closed")

    def _note_silence(self, call: HttpCall, began_s: float) -> None:
        """Doubt the connections that were idle when a call began which the peer's system ignores.

        Raises `SilentConnectionError` where the call gives up silent connections.
        """
        self.close_idle_since_before(began_s)
        self._on_silence(began_s)
        if call.gives_up_silent:
            raise SilentConnectionError("no byte acknowledged")

    def _connect(self, deadline_s: float) -> CountingConnection:
        connection = CountingConnection(*split_address(self.address), self._single_fields)
        connection.open(deadline_s)
        return connection

    def _take_idle(self) -> CountingConnection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection, until_s = self._idle.pop()
            is_young = elapsed_s() < until_s
            if is_young and not connection.deadline_socket.is_stale():
                return connection
            connection.close()
            if is_young:
                self._on_stale()

    def give_back(self, connection: CountingConnection, keep_alive: str | None) -> None:
        """Keep a connection whose last answer, with this `Keep-Alive`, was read whole."""
        connection.idle_since_s = elapsed_s()
        until_s = connection.idle_since_s + _idle_lifetime_s(keep_alive)
        with self._lock:
            self._busy.discard(connection)
            is_former = connection in self._former
            self._former.discard(connection)
            if not self._closed and not is_former and len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append((connection, until_s))
                return
        connection.close()

    def forget(self, connection: CountingConnection) -> None:
        """Stop tracking a connection that its user closes."""
        with self._lock:
            self._busy.discard(connection)
            self._former.discard(connection)

    def close_old_connections(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = elapsed_s()
        with self._lock:
            old = [connection for connection, until_s in self._idle if until_s <= now_s]
            self._idle = [entry for entry in self._idle if entry[1] > now_s]
        for connection in old:
            connection.close()

    def has_idle(self) -> bool:
        """Whether a connection waits that can probably be used again."""
        with self._lock:
            return bool(self._idle) and self._idle[-1][1] > elapsed_s()

    def abort_calls(self, begun_before_s: float = math.inf) -> None:
        """Have the calls in hand fail now that began before a time; the pool goes on."""
        with self._lock:
            busy = [one for one in self._busy if one.begun_s < begun_before_s]
        for connection in busy:
            connection.deadline_socket.abort()

    def close_idle(self) -> None:
        """Close idle connections; calls in hand go on."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()

    def close_idle_since_before(self, time_s: float) -> None:
        """Close the connections that have been idle since before a monotonic time."""
        with self._lock:
            old = [one for one, _ in self._idle if one.idle_since_s < time_s]
            self._idle = [entry for entry in self._idle if entry[0].idle_since_s >= time_s]
        for connection in old:
            connection.close()

    def renew(self) -> None:
        """The server has started again: use no connection of before for another call.

        Calls in hand go on: whether theirs are connections to the former server is not known.
        """
        with self._lock:
            self._former |= self._busy
        self.close_idle()

    def close(self) -> None:
        """Close idle connections and abort the calls in hand."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()
        self.abort_calls()


def _idle_lifetime_s(keep_alive: str | None) -> float:
    told = KEEP_ALIVE_TIMEOUT.search(keep_alive or "")
    if told is None:
        return IDLE_LIFETIME_S
    return min(IDLE_LIFETIME_S, int(told.group(1)) - IDLE_MARGIN_S)


def _send(connection: CountingConnection, call: HttpCall, body: BinaryIO | bytes | None) -> bool:
    """Send a request; returns whether all of it was sent.

    A server may answer and close before it has read the whole body, such as one that is too
    long for it. Its answer is there to be read although writing has failed.
    """
    try:
        connection.request(call.method, call.path, _as_sent(call, body), dict(call.headers))
        connection.flush()
    except ConnectionError:
        if not connection.deadline_socket.bytes_written:
            raise
        return False
    return True


def _as_sent(call: HttpCall, body: BinaryIO | bytes | None) -> RequestBody | bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    lengths = (value for name, value in call.headers.items() if name.lower() == "content-length")
    declared = next(lengths, None)
    return RequestBody(body, int(declared) if declared is not None else None)


def is_end_by_peer(failure: BaseException) -> bool:
    """Whether an exception of a call says that the peer ended the connection.

    >>> is_end_by_peer(ConnectionResetError()), is_end_by_peer(TimeoutError())
    (True, False)
    """
    return isinstance(failure, ConnectionError | http.client.IncompleteRead)


def _typed_failure(failure: Exception, bytes_written: int) -> PlatformError:
    if bytes_written == 0:
        return PlatformError(ErrorKind.NOT_RUN, f"nothing written: {failure!r}")
    detail = f"no answer after a write: {failure!r}"
    return PlatformError(ErrorKind.UNKNOWN, detail, ended_by_peer=is_end_by_peer(failure))
