"""Pooled HTTP connections to one address, and calls whose failures are typed truthfully.

A failed call is `NOT_RUN` only where that is proved: no connection was made, or not one byte of
the request was handed to the operating system. Everything later is `UNKNOWN`, also when a
kept-alive connection turns out to have been closed by the peer: the request may have been read.
"""

import http.client
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import BinaryIO

from returns.result import Failure, Result, Success

from bellweir.platform.connection import (
    BodyReadError,
    CountingConnection,
    RequestBody,
)
from bellweir.platform.interface import ErrorKind, PlatformError
from bellweir.platform.open_answer import OpenAnswer

IDLE_CONNECTIONS = 64
"""Idle connections kept for one address."""
IDLE_LIFETIME_S = 30.0
"""Idle connections older than this are closed; servers close theirs after a minute or more."""


@dataclass(frozen=True)
class HttpCall:
    """One HTTP request."""

    method: str
    path: str
    timeout_s: float
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None


@dataclass(frozen=True)
class HttpAnswer:
    """A whole HTTP answer."""

    status: int
    headers: Mapping[str, str]
    """By lower-case name; of repeated ones the last."""
    body: bytes


class ConnectionPool:
    """Connections to one `host:port`, reused most recent first."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._lock = threading.Lock()
        self._idle: list[tuple[CountingConnection, float]] = []
        self._busy: set[CountingConnection] = set()
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
        unknown outcome is tried once more while time is left.
        """
        started_s = time.monotonic()
        first = self.call(call)
        if isinstance(first, Success) or first.failure().kind is not ErrorKind.UNKNOWN:
            return first
        left_s = call.timeout_s - (time.monotonic() - started_s)
        if left_s <= 0:
            return first
        again = HttpCall(call.method, call.path, left_s, call.headers, call.body)
        return self.call(again)

    def open(
        self,
        call: HttpCall,
        body: BinaryIO | bytes | None,
    ) -> Result[OpenAnswer, PlatformError]:
        """Send a request and read the answer's headers.

        What reading `body` raises is raised again as it is: that is the caller's failure. The
        peer sees its request end short.
        """
        deadline_s = time.monotonic() + call.timeout_s
        try:
            connection = self._take(deadline_s)
        except OSError as failure:
            return Failure(PlatformError(ErrorKind.NOT_RUN, f"no connection: {failure}"))
        answer = OpenAnswer(connection, self)
        # Some servers send a body to HEAD: left on the connection, it would be taken for the
        # answer to the next request.
        answer.reusable = call.method != "HEAD"
        try:
            answer.reusable &= _send(connection, call, body)
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

    def _take(self, deadline_s: float) -> CountingConnection:
        connection = self._take_idle() or self._connect(deadline_s)
        connection.begin_call(deadline_s)
        with self._lock:
            if not self._closed:
                self._busy.add(connection)
                return connection
        connection.close()
        raise ConnectionError("the pool is closed")

    def _connect(self, deadline_s: float) -> CountingConnection:
        connection = CountingConnection(*_host_and_port(self.address))
        connection.open(deadline_s)
        return connection

    def _take_idle(self) -> CountingConnection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection, since_s = self._idle.pop()
            old = time.monotonic() - since_s > IDLE_LIFETIME_S
            if not old and not connection.deadline_socket.is_stale():
                return connection
            connection.close()

    def give_back(self, connection: CountingConnection) -> None:
        """Keep a connection whose last answer was read whole."""
        with self._lock:
            self._busy.discard(connection)
            if not self._closed and len(self._idle) < IDLE_CONNECTIONS:
                self._idle.append((connection, time.monotonic()))
                return
        connection.close()

    def forget(self, connection: CountingConnection) -> None:
        """Stop tracking a connection that its user closes."""
        with self._lock:
            self._busy.discard(connection)

    def close_old_connections(self) -> None:
        """Close connections that have been idle for too long."""
        oldest_s = time.monotonic() - IDLE_LIFETIME_S
        with self._lock:
            old = [connection for connection, since_s in self._idle if since_s < oldest_s]
            self._idle = [entry for entry in self._idle if entry[1] >= oldest_s]
        for connection in old:
            connection.close()

    def close(self) -> None:
        """Close idle connections and abort the calls in hand."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
            busy = list(self._busy)
        for connection, _ in idle:
            connection.close()
        for connection in busy:
            connection.deadline_socket.abort()


def _host_and_port(address: str) -> tuple[str, int]:
    """Split `host:port`; raises `OSError`, since nobody can be reached at anything else."""
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or not port.isdigit():
        raise OSError(f"{address!r} is no host:port")
    return host.strip("[]"), int(port)


def _send(connection: CountingConnection, call: HttpCall, body: BinaryIO | bytes | None) -> bool:
    """Send a request; returns whether all of it was sent.

    A server may answer and close before it has read the whole body, such as one that is too
    long for it. Its answer is there to be read although writing has failed.
    """
    try:
        connection.request(call.method, call.path, _as_sent(body), dict(call.headers))
        connection.flush()
    except ConnectionError:
        if not connection.deadline_socket.bytes_written:
            raise
        return False
    return True


def _as_sent(body: BinaryIO | bytes | None) -> RequestBody | bytes | None:
    return body if body is None or isinstance(body, bytes) else RequestBody(body)


def _typed_failure(failure: Exception, bytes_written: int) -> PlatformError:
    if bytes_written == 0:
        return PlatformError(ErrorKind.NOT_RUN, f"nothing written: {failure!r}")
    return PlatformError(ErrorKind.UNKNOWN, f"no answer after a write: {failure!r}")
