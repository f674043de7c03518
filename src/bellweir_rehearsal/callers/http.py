"""HTTP client over `http.client` that tells how much of an exchange is known to have happened."""

import contextlib
import http.client
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

CONNECT_TIMEOUT_S = 2.0
IDLE_CONNECTIONS_FOR_EACH_ADDRESS = 64
IDLE_LIFETIME_S = 10.0
READ_SIZE_BYTES = 65_536
MAXIMUM_ANSWER_BYTES = 64 << 20


class NotConnectedError(OSError):
    """No connection could be made: nothing of the request was sent."""


class CutError(OSError):
    """A byte may have been sent, and no whole answer came back."""

    def __init__(
        self, detail: str, *, reused: bool, status: int | None = None, timed_out: bool = False
    ) -> None:
        super().__init__(detail)
        self.timed_out = timed_out
        """Whether the time-out was over, and not the connection."""
        self.reused = reused
        """Whether the request went out on a kept-alive connection."""
        self.status = status
        """Status of the answer, when at least that arrived."""


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    """By lower-case name."""
    body: bytes
    first_byte_s: float
    """When the first byte of the body arrived, seconds since 1970 UTC."""
    reused: bool


class HttpClient:
    """Sends requests over kept-alive connections; safe from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[tuple[http.client.HTTPConnection, float]]] = defaultdict(list)
        self._closed = False

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 30.0,
    ) -> HttpAnswer:
        """Send one request, once, and read its whole answer.

        Raises `NotConnectedError` when nothing was sent and `CutError` when no whole answer came.
        """
        connection, reused = self._connection(address)
        try:
            connection.timeout = timeout_s
            if connection.sock is not None:
                connection.sock.settimeout(timeout_s)
            answer = _exchange(connection, method, path, dict(headers or {}), body, reused)
        except BaseException:
            connection.close()
            raise
        self._keep(address, connection, answer)
        return answer

    def close(self) -> None:
        """Close all idle connections; later ones are not kept."""
        with self._lock:
            self._closed = True
            idle = [connection for entries in self._idle.values() for connection, _ in entries]
            self._idle.clear()
        for connection in idle:
            connection.close()

    def _connection(self, address: str) -> tuple[http.client.HTTPConnection, bool]:
        now = time.monotonic()
        while True:
            with self._lock:
                entries = self._idle[address]
                entry = entries.pop() if entries else None
            if entry is None:
                return _connect(address), False
            connection, since = entry
            if now - since < IDLE_LIFETIME_S and not _closed_by_peer(connection):
                return connection, True
            connection.close()

    def _keep(
        self, address: str, connection: http.client.HTTPConnection, answer: HttpAnswer
    ) -> None:
        wants_close = answer.headers.get("connection", "").lower() == "close"
        with self._lock:
            entries = self._idle[address]
            room = len(entries) < IDLE_CONNECTIONS_FOR_EACH_ADDRESS
            if room and not wants_close and not self._closed and connection.sock is not None:
                entries.append((connection, time.monotonic()))
                return
        connection.close()


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
    except OSError as failure:
        connection.close()
        raise NotConnectedError(f"{address}: {failure}") from failure
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _closed_by_peer(connection: http.client.HTTPConnection) -> bool:
    """Whether the peer has closed an idle connection, as far as can be seen without sending."""
    if connection.sock is None:
        return True
    with contextlib.suppress(BlockingIOError, OSError):
        connection.sock.setblocking(False)
        try:
            # Any readable byte or an end of stream on an idle connection makes it unusable.
            connection.sock.recv(1, socket.MSG_PEEK)
        finally:
            connection.sock.setblocking(True)
        return True
    return False


def _exchange(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None,
    reused: bool,
) -> HttpAnswer:
    status: int | None = None
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        status = response.status
        # `http.client` takes headers that end at a cut for whole ones: without a length or an
        # end marker, nothing would tell such an answer from a whole one.
        if response.length is None and not response.chunked:
            raise CutError("answer without length or end marker", reused=reused, status=status)
        first_byte_s = 0.0
        parts: list[bytes] = []
        size = 0
        while part := response.read1(READ_SIZE_BYTES):
            first_byte_s = first_byte_s or time.time()
            parts.append(part)
            size += len(part)
            if size > MAXIMUM_ANSWER_BYTES:
                raise CutError("answer too long", reused=reused, status=status)
        if response.length:
            raise CutError("answer shorter than its length", reused=reused, status=status)
        response.read()  # frees the connection after the last byte
    except (OSError, http.client.HTTPException) as failure:
        if isinstance(failure, CutError):
            raise
        raise CutError(
            f"{type(failure).__name__}: {failure}",
            reused=reused,
            status=status,
            timed_out=isinstance(failure, TimeoutError),
        ) from failure
    return HttpAnswer(
        status=status,
        headers={name.lower(): value for name, value in response.getheaders()},
        body=b"".join(parts),
        first_byte_s=first_byte_s or time.time(),
        reused=reused,
    )
